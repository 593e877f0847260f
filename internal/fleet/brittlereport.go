package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxReportedBrittle limits the services in one report of brittle services.
	maxReportedBrittle = 4
	// maxBrittleServices limits the services that other VMs' reports can add.
	maxBrittleServices = 256
)

// BrittleReport is what a VM knows of a service whose upstreams are or were brittle. The
// receiver passes it on, so that it reaches all VMs in a few rounds. Ages are in
// milliseconds.
type BrittleReport struct {
	Service string `cbor:"1,keyasint"`
	Limit   int    `cbor:"2,keyasint"`
	// HeardMS is the age of the latest announcement to any VM.
	HeardMS int64 `cbor:"3,keyasint"`
	// FullPercent is the sender's own fullness.
	FullPercent int `cbor:"4,keyasint,omitempty"`
	// EndedMS is the age of the latest end of the brittle time, at least 1; zero for none.
	EndedMS int64 `cbor:"5,keyasint,omitempty"`
}

// BrittleReports returns the reports of the services that are or were brittle lately.
func (f *Fleet) BrittleReports(now time.Time) []BrittleReport {
	if !f.knowsBrittle.Load() {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []BrittleReport
	for service, b := range f.brittle {
		if now.Sub(b.heardAt) > brittleTTL {
			continue
		}
		out = append(out, BrittleReport{
			Service: service, Limit: b.limit, HeardMS: now.Sub(b.heardAt).Milliseconds(), FullPercent: int(100 * b.fullness), EndedMS: ageMS(now, b.endedAt),
		})
	}
	slices.SortFunc(out, func(a, b BrittleReport) int {
		if a.HeardMS != b.HeardMS {
			return int(a.HeardMS - b.HeardMS)
		}
		return strings.Compare(a.Service, b.Service)
	})
	return out[:min(len(out), maxReportedBrittle)]
}

// ageMS returns the age of a time that is not older than brittleTTL, or zero.
func ageMS(now, at time.Time) int64 {
	age := now.Sub(at)
	if at.IsZero() || age > brittleTTL {
		return 0
	}
	return max(age.Milliseconds(), 1)
}

// MergeBrittle applies another VM's report.
func (f *Fleet) MergeBrittle(now time.Time, r BrittleReport) BrittleChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	if b := f.brittle[r.Service]; b == nil && (len(f.brittle) >= maxBrittleServices || r.EndedMS > 0 && r.EndedMS <= r.HeardMS) {
		return BrittleUnchanged
	}
	if r.Limit <= 0 || r.HeardMS < 0 || time.Duration(r.HeardMS)*time.Millisecond > brittleTTL {
		return BrittleUnchanged
	}
	change := f.heardBrittle(age(r.HeardMS), r.Service, r.Limit)
	b := f.brittle[r.Service]
	b.recordReport(now, float64(r.FullPercent)/100)
	if ended := age(r.EndedMS); r.EndedMS > 0 && b.active && ended.Sub(b.heardAt) >= brittleSettleTime {
		b.active, b.endedAt = false, ended
		return BrittleEnded
	}
	return change
}

// ExpireBrittle returns the services whose brittle time has ended because no upstream
// has announced it to any VM for some time.
func (f *Fleet) ExpireBrittle(now time.Time) []string {
	if !f.knowsBrittle.Load() {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for service, b := range f.brittle {
		if now.Sub(b.heardAt) <= brittleTTL {
			continue
		}
		if b.active {
			out = append(out, service)
		}
		delete(f.brittle, service)
	}
	f.knowsBrittle.Store(len(f.brittle) > 0)
	return out
}

// BrittleServices returns the number of services that are brittle.
func (f *Fleet) BrittleServices(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for service := range f.brittle {
		if f.brittleOf(now, service) != nil {
			n++
		}
	}
	return n
}

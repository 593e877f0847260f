package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

func TestWorkTimeFades(t *testing.T) {
	var w workTime
	assert.InDelta(t, 1, w.at(begin), 0)
	for i := range 100 {
		w.record(at(time.Duration(i)*time.Second), []float64{1, 1, 1, 1, 1, 1, 2.5}[i%7])
	}
	now := at(time.Hour)
	w.record(now, 2.5)
	w.record(now, 0) // not reported
	assert.InDelta(t, 2.5, w.at(now), 1e-9)
	assert.InDelta(t, 1.25, w.at(now.Add(workTimeFade)), 0.25, "its own average")
	assert.InDelta(t, (2.5+w.average)/2, w.at(now.Add(workTimeFade/2)), 1e-9)
	w.record(now, 900)
	assert.InDelta(t, maxWorkTime, w.at(now), 0)
}

// Guards against a momentary slowness that counts twice: as reported, and as a lasting one
// learned from the answers that it delayed.
func TestWorkTimeCountsTwice(t *testing.T) {
	for _, engine := range []bool{false, true} {
		f := newFleet("vm", 1)
		q := query()
		q.ModelEngine, q.Model, q.OwnTokens = engine, "m", 600
		now := begin
		for i := range 300 {
			work := []float64{1, 2.5}[i/10%2]
			p := mustPick(t, f, now, q)
			f.FirstByte(now.Add(time.Duration(40*work*float64(ms))), p, &exchange.Load{Running: 1, Slots: 6, WorkTime: work})
			f.Done(now, p, OutcomeSuccess)
			now = now.Add(100 * ms)
		}
		expected := func() float64 { return float64(mustPick(t, f, now, q).ExpectedLatency) / float64(ms) }
		f.members["u0"].work.record(now, 2.5)
		assert.InDelta(t, 100, expected(), 12, "engine: %t", engine)
		f.members["u0"].inflight, f.members["u0"].prefillMs = 0, 0
		f.members["u0"].work.record(now, 1)
		assert.InDelta(t, 40, expected(), 6, "engine: %t", engine)
	}
}

// Guards against a VM that needs minutes to learn how fast a model is, and against one that
// must learn it although the others know.
func TestPrefillTimesAreLearnedSoon(t *testing.T) {
	old := New(Config{VM: "old"})
	for i := range minPrefillSamples {
		old.prefillTimes.record("small", 0.005*(1+0.2*float64(i%4)))
		old.prefillTimes.record("large", 0.047*(1+0.2*float64(i%4)))
	}
	assert.InDelta(t, 0.0055, old.prefillTimes.of("small").msPerToken(), 0.0008)
	assert.InDelta(t, 0.0517, old.prefillTimes.of("large").msPerToken(), 0.008)
	for range 1000 {
		old.prefillTimes.record("odd", []float64{0.01, 0.02, 0.03, 0.06}[old.prefillTimes.of("odd").samples%4])
	}
	assert.InDelta(t, 0.0225, old.prefillTimes.of("odd").msPerToken(), 0.003, "near the first quartile")

	started := New(Config{VM: "started"})
	started.MergePrefill(old.PrefillReports())
	assert.InDelta(t, 0.0055, started.prefillTimes.of("small").msPerToken(), 0.0008)
	assert.Empty(t, started.PrefillReports(), "what it was told does not go back")
	before := old.prefillTimes.of("small")
	old.MergePrefill([]PrefillReport{{Model: "small", NanosPerToken: 1e6, Samples: 1000}, {Model: "other", NanosPerToken: -1, Samples: 9}, {Model: "other", NanosPerToken: 1e12, Samples: 9}})
	assert.Equal(t, before, old.prefillTimes.of("small"))
	assert.InDelta(t, defaultMsPerToken, old.prefillTimes.of("other").msPerToken(), 0)
}

// Guards against a VM that takes an upstream for slow after a call or two, or that knows
// nothing of upstreams to which it does not send.
func TestCallTimesOfOtherVMs(t *testing.T) {
	f, other := localFleet("a", "b", "c", "d"), localFleet("a", "b", "c", "d")
	for range 2 * minReportedSamples {
		other.members["u1"].calls.record(begin, 90)
		f.members["u0"].calls.record(begin, 30)
	}
	f.members["u2"].calls.record(begin, 300)
	f.MergeCallTimes(begin, append(other.CallTimeReports(begin), CallTimeReport{Upstream: "u3", Micros: -5, Samples: 9}, CallTimeReport{Upstream: "gone", Micros: 5, Samples: 9}))
	estimate := func(id string, now time.Time) float64 {
		return f.members[id].calls.estimate(now, averageCallTime(now, f.membersOf(pool)))
	}
	assert.InDelta(t, 80, estimate("u1", begin), 8)
	assert.InDelta(t, 35, estimate("u0", begin), 8)
	assert.Less(t, estimate("u2", begin), 110.0, "one sample")
	assert.InDelta(t, 60, estimate("u3", begin), 10, "the average")
	assert.InDelta(t, averageCallTime(at(time.Minute), f.membersOf(pool)), estimate("u1", at(time.Minute)), 1e-9, "a report that has ended")
	assert.Empty(t, f.CallTimeReports(at(time.Minute)))
	assert.Empty(t, newFleet("vm", 9).CallTimeReports(begin))
}

// Guards against a first sample of a model that counts twice, for the model and for the
// upstream: a stopping VM then refused requests that it could finish.
func TestFirstSampleOfAModelCountsTwice(t *testing.T) {
	f := newFleet("vm", 1)
	q := query()
	q.ModelEngine, q.Model, q.OwnTokens = true, "m", 600
	var last *Pick
	for i := range 4 {
		now := at(time.Duration(i) * time.Second)
		last = mustPick(t, f, now, q)
		f.FirstByte(now.Add(200*ms), last, nil)
		f.Done(now.Add(200*ms), last, OutcomeSuccess)
	}
	assert.InDelta(t, 200, last.ExpectedLatency.Milliseconds(), 10)
}

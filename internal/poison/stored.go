package poison

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

const (
	// storedFormat is the format of the stored records. One with another number is left
	// to the builds that know it.
	storedFormat = 1
	// maxStoredContents limits the stored contents.
	maxStoredContents = 64
)

// ErrOtherFormat is the error for records that another build has stored.
var ErrOtherFormat = trace.NotImplemented("the records are in a format of another build")

// storedRecords are the blocked contents as they lie in the platform's store.
type storedRecords struct {
	Format   int             `json:"format"`
	Contents []storedContent `json:"contents"`
}

type storedContent struct {
	Key   Key          `json:"key,string"`
	Depth int          `json:"depth,omitempty"`
	Marks []storedMark `json:"marks"`
}

// storedMark is a crash that counts.
type storedMark struct {
	Crash uint32 `json:"crash"`
	// CrashedAt is in Unix milliseconds by the clock of the VM that stored it.
	CrashedAt int64 `json:"crashedAt"`
	RanMS     int64 `json:"ranMs"`
}

// Stored returns the blocked contents for the platform's store, and their number.
func (c *Core) Stored(now time.Time) (raw json.RawMessage, contents int, err error) {
	c.judge(now)
	records := storedRecords{Format: storedFormat, Contents: []storedContent{}}
	for k, s := range c.suspects {
		if !s.blocked {
			continue
		}
		content := storedContent{Key: k, Depth: s.depth}
		for _, m := range s.marks {
			if !m.cleared {
				content.Marks = append(content.Marks, storedMark{Crash: uint32(m.crash), CrashedAt: m.crashedAt.UnixMilli(), RanMS: m.ran.Milliseconds()})
			}
		}
		records.Contents = append(records.Contents, content)
	}
	slices.SortFunc(records.Contents, func(a, b storedContent) int {
		if n := len(b.Marks) - len(a.Marks); n != 0 {
			return n
		}
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	records.Contents = records.Contents[:min(len(records.Contents), maxStoredContents)]
	raw, err = json.Marshal(records)
	return raw, len(records.Contents), trace.Wrap(err)
}

// Restore applies stored records and returns the number of contents. The crashes of
// upstreams that the VM knows otherwise stay as it knows them.
func (c *Core) Restore(now time.Time, raw json.RawMessage) (int, error) {
	var records storedRecords
	if err := json.Unmarshal(raw, &records); err != nil {
		return 0, trace.Wrap(err)
	}
	if records.Format != storedFormat {
		return 0, ErrOtherFormat
	}
	var shared []Suspect
	for _, content := range records.Contents[:min(len(records.Contents), maxStoredContents)] {
		s := Suspect{Key: content.Key, Depth: max(content.Depth, 0)}
		for _, m := range content.Marks {
			age := max(now.UnixMilli()-m.CrashedAt, 0)
			s.Marks = append(s.Marks, Mark{Crash: m.Crash, AgeMS: age, RanMS: max(m.RanMS, 0)})
		}
		shared = append(shared, s)
	}
	c.Merge(now, shared)
	return len(shared), nil
}

// SameContents reports whether two records hold the same contents with as many crashes of
// each. VMs date crashes slightly differently.
func SameContents(a, b json.RawMessage) bool {
	crashesOf := func(raw json.RawMessage) (map[Key]int, bool) {
		var records storedRecords
		if len(raw) > 0 && json.Unmarshal(raw, &records) != nil {
			return nil, false
		}
		crashes := make(map[Key]int)
		for _, content := range records.Contents {
			crashes[content.Key] = len(content.Marks)
		}
		return crashes, true
	}
	crashesA, okA := crashesOf(a)
	crashesB, okB := crashesOf(b)
	return okA && okB && maps.Equal(crashesA, crashesB)
}

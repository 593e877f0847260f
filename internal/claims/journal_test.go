package claims

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// TestApply checks the verdict on an item. In each row, the items in before are
// applied to an empty journal first.
func TestApply(t *testing.T) {
	a, b := Claimer{VM: "a", Number: 1}, Claimer{VM: "b", Number: 1}
	claim := func(by, over Claimer, print uint64) Item { return Item{Claimer: by, Supersedes: over, Print: print} }
	end := func(by Claimer, run result.RunState) Item {
		return Item{Claimer: by, Outcome: &StoredOutcome{Run: run}}
	}
	for _, row := range []struct {
		name    string
		before  []Item
		item    Item
		verdict Verdict
		changed bool
	}{
		{"the first claim is granted", nil, claim(a, Claimer{}, 0), Granted, true},
		{"the same claim again is granted and changes nothing", []Item{claim(a, Claimer{}, 0)}, claim(a, Claimer{}, 0), Granted, false},
		{"a second claimer is rejected", []Item{claim(a, Claimer{}, 0)}, claim(b, Claimer{}, 0), ClaimedByOther, false},
		{"a claim that its claimer abandoned is superseded", []Item{claim(a, Claimer{}, 0)}, claim(b, a, 0), Granted, true},
		{"a claim that ran is never superseded", []Item{claim(a, Claimer{}, 0), end(a, result.Ran)}, claim(b, a, 0), ClaimedByOther, false},
		{"a claim that may have run is never superseded", []Item{claim(a, Claimer{}, 0), end(a, result.Unknown)}, claim(b, a, 0), ClaimedByOther, false},
		{"a claim that did not run is superseded", []Item{claim(a, Claimer{}, 0), end(a, result.NotRun)}, claim(b, a, 0), Granted, true},
		{"a claim that did not run is not superseded by another body", []Item{claim(a, Claimer{}, 0), end(a, result.NotRun)}, claim(b, a, 7), ClaimedByOther, false},
		{"a superseded claim that arrives late is rejected", []Item{claim(a, Claimer{}, 0), claim(b, a, 0)}, claim(a, Claimer{}, 0), ClaimedByOther, false},
		{"an outcome is recorded", []Item{claim(a, Claimer{}, 0)}, end(a, result.Ran), OutcomeRecorded, true},
		{"an outcome is recorded only once", []Item{claim(a, Claimer{}, 0), end(a, result.Ran)}, end(a, result.Ran), OutcomeRecorded, false},
		{"the outcome of a missing claim is rejected", nil, end(a, result.Ran), ClaimMissing, false},
		{"the outcome of a superseded claim is rejected", []Item{claim(a, Claimer{}, 0), claim(b, a, 0)}, end(a, result.NotRun), ClaimMissing, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			j := newJournal(objectLimits)
			for _, it := range row.before {
				j.apply(it)
			}
			raw, err := j.encode()
			require.NoError(t, err)
			j, err = decodeJournal(raw)
			require.NoError(t, err)
			v, _, changed := j.apply(row.item)
			require.Equal(t, row.verdict, v)
			require.Equal(t, row.changed, changed)
		})
	}
}

// TestJournalIsBounded fills a journal with records and answers of the maximum
// size. Its encoding must stay below platform.MaxValue.
func TestJournalIsBounded(t *testing.T) {
	j := newJournal(objectLimits)
	granted, kept := 0, 0
	vm := fmt.Sprintf("%064d", 1)
	for i := range maxRecords + 10 {
		k := Key{Team: "a", Value: fmt.Sprint(i), IssuedAt: time.UnixMilli(1)}
		c := Claimer{VM: vm, Incarnation: 1 << 63, Number: 1 << 63}
		it := Item{Digest: k.Digest(), Print: 1 << 63, Claimer: c}
		if v, _, _ := j.apply(it); v != Granted {
			require.Equal(t, JournalFull, v)
			continue
		}
		granted++
		out := Outcome{Run: result.Ran, Status: 200, Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, maxStoredBodyBytes)}
		it.Outcome = storedOutcome(out)
		v, r, _ := j.apply(it)
		require.Equal(t, OutcomeRecorded, v)
		if r.Outcome.Kept {
			kept++
		} else {
			require.Equal(t, result.AnswerNotStored, r.Outcome.outcome().Code)
		}
	}
	raw, err := j.encode()
	require.NoError(t, err)
	require.Less(t, len(raw), platform.MaxValueBytes)
	require.Equal(t, maxRecords, granted)
	require.Greater(t, kept, 100)
	j.closed = true
	v, _, _ := j.apply(Item{Claimer: Claimer{VM: "a"}})
	require.Equal(t, JournalClosed, v)
	v, _, _ = j.apply(Item{Claimer: Claimer{VM: "a"}, Outcome: &StoredOutcome{Run: result.Ran}})
	require.Equal(t, JournalClosed, v)
}

// TestStaleCacheKeepsOutcomes: a home whose cached journal lacks a claim must read
// the journal before it gives a final verdict on the claim's outcome. Otherwise
// the claimer removes its entry, later reports the run as abandoned, and the key
// runs twice.
func TestStaleCacheKeepsOutcomes(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	c := NewCore("home", 1, simSecret, Limits{})
	k := Key{Team: "a", Value: "k", IssuedAt: now}
	id := journalOf(k, k.Digest())
	w := c.writer(id)
	w.cached, w.version = newJournal(objectLimits), 5
	it := Item{Digest: k.Digest(), Claimer: Claimer{VM: "other", Number: 1}, Outcome: &StoredOutcome{Run: result.Ran}}
	c.Step(now, PeerPut{Call: 1, Body: PutBody{Journal: id, Item: it}})
	out := c.Step(now.Add(time.Second), Tick{})
	require.Len(t, out, 1)
	require.IsType(t, ReadJournal{}, out[0])
}

// TestSweeper: journals are closed after the window and removed a day later, and
// only after they have been seen closed for minClosedTime.
func TestSweeper(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	objects := map[string]platform.Object{}
	raw, err := newJournal(objectLimits).encode()
	require.NoError(t, err)
	name := JournalID{Bucket: start.UnixMilli() / BucketDuration.Milliseconds()}.Name()
	objects[name] = platform.Object{Name: name, Version: 1, Value: raw}
	s := newSweeper(start, 15*time.Minute)
	var closed, removed time.Duration
	for now := start; now.Sub(start) < 26*time.Hour; now = now.Add(time.Second) {
		job, ok := s.nextJob(now)
		if !ok {
			continue
		}
		var found []platform.Object
		if o, ok := objects[name]; ok && name[:len(job.Prefix)] == job.Prefix {
			found = append(found, o)
		}
		for _, op := range s.plan(now, job, found) {
			if op.Remove {
				removed = now.Sub(start)
				delete(objects, name)
			} else {
				closed = now.Sub(start)
				objects[name] = platform.Object{Name: name, Version: 2, Value: closedValue()}
			}
		}
	}
	require.Greater(t, closed, 25*time.Minute)
	require.Less(t, closed, 26*time.Minute)
	require.Greater(t, removed, 24*time.Hour)
	require.Empty(t, objects)
}

package distribution

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/soak"
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	m.Run()
}

// submission drives one Submission against the world.
type submission struct {
	s      *Submission
	burst  int
	digest string
	out    *Outcome
}

func (w *world) submit(base uint64, burst int) *submission {
	s, err := NewSubmission(small(base, burst), base, 0, w.view(), "demo", w.now.Add(10*time.Second))
	if err != nil {
		panic(err)
	}
	sub := &submission{s: s, burst: burst, digest: s.digest}
	w.next(sub, s.Start())
	return sub
}

func (w *world) next(sub *submission, n Next) {
	if n.Done != nil {
		sub.out = n.Done
		return
	}
	pause := n.Wait + time.Duration(w.random.Int64N(int64(5*time.Millisecond)))
	if w.random.IntN(20) == 0 {
		// The submitter's process stands still before the call.
		pause += time.Duration(w.random.Int64N(int64(3 * time.Second)))
	}
	w.at(pause, func() {
		if n.Read {
			object, err := w.object, error(nil)
			switch {
			case w.down || w.random.Float64() < w.lossy:
				err = result.New(result.PlatformUnavailable, "down")
			case object.Version == 0:
				err = result.New(result.PlatformNotFound, "none")
			}
			w.next(sub, sub.s.HandleRead(w.now, object, err))
			return
		}
		w.next(sub, sub.s.HandleWrite(w.now, w.put(n.Base, n.Write)))
	})
}

// judge checks an outcome against what the service has held.
func (w *world) judge(t *testing.T, sub *submission) {
	require.NotNil(t, sub.out, "a submission must end")
	held := false
	for _, d := range w.history {
		held = held || d == sub.digest
	}
	if sub.out.Err == nil {
		require.Equal(t, sub.digest, w.history[sub.out.Generation])
		return
	}
	if result.From(sub.out.Err).Run == result.NotRun {
		require.False(t, held, "%v, but it was accepted", sub.out.Err)
	}
	if result.Is(sub.out.Err, result.DocumentConflict) {
		require.NotEmpty(t, w.history[sub.out.Generation], "the winner's generation must exist")
	}
}

// TestRandomSchedules lets operators race while VMs freeze and restart, zones
// are cut off and the platform fails, and then heals all.
func TestRandomSchedules(t *testing.T) {
	for seed := range soak.Seeds(12, 30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(seed, 3, 3)
			var subs []*submission
			for i := range 30 {
				w.disturb()
				newest := uint64(0)
				if d, err := DecodeStored(w.object.Value); err == nil {
					newest = d.Generation
				}
				for race := range 1 + w.random.IntN(2) {
					subs = append(subs, w.submit(newest, 1+2*i+race))
				}
				w.run(time.Duration(w.random.Int64N(int64(4 * time.Second))))
			}
			w.heal()
			// The limit counts from the last write: a submission that began
			// under the faults may still be accepted after them.
			for w.lastPut = w.now; w.now.Sub(w.lastPut) < 9*time.Second; {
				w.run(100 * time.Millisecond)
			}
			newest, err := DecodeStored(w.object.Value)
			require.NoError(t, err)
			for _, n := range w.nodes {
				require.Equal(t, newest.Generation, n.state.Current().Generation, "%s, 9s after all healed", n.name)
			}
			w.run(20 * time.Second)
			for _, s := range subs {
				w.judge(t, s)
			}
		})
	}
}

func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(8) {
	case 0:
		n.frozen = true
	case 1:
		w.wake(n)
	case 2:
		n.held, n.frozen = nil, false
		w.boot(n)
	case 3:
		w.cutPeers[n.zone] = true
	case 4:
		w.cutPlatform[n.zone] = true
	case 5:
		w.down = !w.down
	case 6:
		w.lossy = w.random.Float64() * 0.5
	case 7:
		clear(w.cutPeers)
		clear(w.cutPlatform)
	}
}

func (w *world) heal() {
	w.down, w.lossy = false, 0
	clear(w.cutPeers)
	clear(w.cutPlatform)
	for _, n := range w.nodes {
		w.wake(n)
	}
}

// TestSpread measures how long one document takes to each VM under a fault.
func TestSpread(t *testing.T) {
	rows := []struct {
		name  string
		fault func(w *world)
		limit time.Duration
	}{
		{"nothing fails", func(*world) {}, time.Second},
		{"a zone is cut off from the platform but not from the others", func(w *world) { w.cutPlatform["az-1"] = true }, time.Second},
		{"a zone is cut off from the others but not from the platform", func(w *world) { w.cutPeers["az-1"] = true }, time.Second},
		{"the first watchers of a zone are paused", func(w *world) {
			for _, m := range Ranked(w.view())["az-1"][:1] {
				w.find(m.VM).frozen = true
			}
		}, 9 * time.Second},
		{"every watcher of a zone is paused", func(w *world) {
			for _, m := range Ranked(w.view())["az-1"][:watchers] {
				w.find(m.VM).frozen = true
			}
		}, 9 * time.Second},
		{"half of the platform's answers are lost", func(w *world) { w.lossy = 0.5 }, 9 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(1, 3, 8)
			require.NoError(t, w.put(0, stored(1, 1)))
			w.run(5 * time.Second)
			row.fault(w)
			w.history[2] = mustDigest(t, 2)
			w.object = platform.Object{Version: w.object.Version + 1, Value: stored(2, 2)}
			for _, f := range w.watchers {
				f()
			}
			w.watchers = nil
			begin := w.now
			for w.now.Sub(begin) < row.limit && !w.allAt(2) {
				w.run(10 * time.Millisecond)
			}
			require.True(t, w.allAt(2), "after %v", row.limit)
			t.Logf("in force on 24 VMs after %v", w.now.Sub(begin))
		})
	}
}

func mustDigest(t *testing.T, burst int) string {
	d, err := DecodeStored(stored(2, burst))
	require.NoError(t, err)
	return d.Digest
}

func (w *world) allAt(g uint64) bool {
	for _, n := range w.nodes {
		if !n.frozen && n.state.Current().Generation < g {
			return false
		}
	}
	return true
}

// TestCallsToThePlatform bounds the reads of a fleet at rest, in an outage and
// on the platform's return.
func TestCallsToThePlatform(t *testing.T) {
	w := newWorld(2, 7, 47)
	require.NoError(t, w.put(0, stored(1, 1)))
	w.run(time.Minute)
	count := func(d time.Duration) float64 {
		w.reads = 0
		w.run(d)
		return float64(w.reads) / d.Seconds()
	}
	rest := count(2 * time.Minute)
	w.down = true
	first := count(10 * time.Second)
	outage := count(10 * time.Minute)
	w.down = false
	most := 0.0
	for range 30 {
		most = max(most, count(time.Second))
	}
	t.Logf("reads a second of 329 VMs: %.1f at rest, %.1f in the first ten seconds of an outage, %.1f in it, at most %.0f on return", rest, first, outage, most)
	require.Less(t, rest, 5.0)
	require.Less(t, first, 60.0)
	require.Less(t, outage, 60.0)
	require.Less(t, most, 200.0)
}

func TestWhatIsNotApplied(t *testing.T) {
	newer := []byte("schema: 99\ngeneration: 7\nfleet: demo\nnew_key: 1\n")
	rows := []struct {
		name    string
		text    []byte
		refused uint64
		code    result.Code
	}{
		{"an older generation", stored(2, 9), 0, 0},
		{"the same generation again", stored(3, 9), 0, 0},
		{"a schema that this build does not know", newer, 7, result.DocumentUnsupported},
		{"a broken document", []byte("schema: 1\ngeneration: 8\nfleet: [\n"), 0, result.DocumentInvalid},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := New(Config{VM: "a", Zone: "z"}, newWorld(1, 1, 1).random)
			s.Step(time.UnixMilli(1), ReadResult{Source: FromPlatform, Text: stored(3, 1)})
			before := s.Current()
			var refused []Reject
			for _, a := range s.Step(time.UnixMilli(2), ReadResult{Source: FromPeer, Text: row.text}) {
				require.IsNotType(t, Publish{}, a)
				if r, ok := a.(Reject); ok {
					refused = append(refused, r)
				}
			}
			require.Equal(t, before, s.Current(), "the old document stays whole")
			require.Equal(t, row.refused, s.RejectedGeneration())
			if row.code == 0 {
				require.Empty(t, refused)
				return
			}
			require.Len(t, refused, 1)
			require.Equal(t, row.code, result.From(refused[0].Err).Code)
		})
	}
}

func TestSubmissionIsRefusedBeforeItIsWritten(t *testing.T) {
	_, err := NewSubmission([]byte("schema: 99\nfleet: demo\n"), 0, 0, membership.View{}, "demo", time.Time{})
	require.True(t, result.Is(err, result.DocumentUnsupported), "%v", err)
	_, err = NewSubmission(small(0, 1), 0, 0, membership.View{}, "other", time.Time{})
	require.True(t, result.Is(err, result.DocumentInvalid))
}

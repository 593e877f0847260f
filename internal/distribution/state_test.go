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
	state   *Submission
	burst   int
	digest  string
	outcome *Outcome
}

func (w *world) submit(base uint64, burst int) *submission {
	s, err := NewSubmission(validDocument(base, burst), base, 0, w.view(), "demo", w.now.Add(10*time.Second))
	if err != nil {
		panic(err)
	}
	sub := &submission{state: s, burst: burst, digest: s.digest}
	w.runStep(sub, s.Start())
	return sub
}

func (w *world) runStep(sub *submission, n Next) {
	if n.Done != nil {
		sub.outcome = n.Done
		return
	}
	pause := n.Wait + time.Duration(w.random.Int64N(int64(5*time.Millisecond)))
	if w.random.IntN(20) == 0 {
		// The submitter's process is paused before the call.
		pause += time.Duration(w.random.Int64N(int64(3 * time.Second)))
	}
	w.after(pause, func() {
		if n.Read {
			object, err := w.object, error(nil)
			switch {
			case w.platformDown || w.random.Float64() < w.responseLossRate:
				err = result.New(result.PlatformUnavailable, "down")
			case object.Version == 0:
				err = result.New(result.PlatformNotFound, "none")
			}
			w.runStep(sub, sub.state.HandleRead(w.now, object, err))
			return
		}
		w.runStep(sub, sub.state.HandleWrite(w.now, w.write(n.BaseVersion, n.Write)))
	})
}

// checkOutcome checks an outcome against the documents that were stored.
func (w *world) checkOutcome(t *testing.T, sub *submission) {
	require.NotNil(t, sub.outcome, "the submission must have an outcome")
	accepted := false
	for _, d := range w.history {
		accepted = accepted || d == sub.digest
	}
	if sub.outcome.Err == nil {
		require.Equal(t, sub.digest, w.history[sub.outcome.Generation])
		return
	}
	if result.From(sub.outcome.Err).Run == result.NotRun {
		require.False(t, accepted, "%v, but it was accepted", sub.outcome.Err)
	}
	if result.Is(sub.outcome.Err, result.DocumentConflict) {
		require.NotEmpty(t, w.history[sub.outcome.Generation], "the reported generation must have been accepted")
	}
}

// TestRandomSchedules submits concurrent documents while VMs freeze and restart,
// zones are partitioned and the platform fails. After the faults end, all VMs
// must apply the newest document, and each outcome must match what was stored.
func TestRandomSchedules(t *testing.T) {
	for seed := range soak.Seeds(12, 30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(seed, 3, 3)
			var subs []*submission
			for i := range 30 {
				w.injectFault()
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
			// The limit starts at the last write, since a submission that
			// started during the faults can still be accepted after they end.
			for w.lastWrite = w.now; w.now.Sub(w.lastWrite) < 9*time.Second; {
				w.run(100 * time.Millisecond)
			}
			newest, err := DecodeStored(w.object.Value)
			require.NoError(t, err)
			for _, n := range w.nodes {
				require.Equal(t, newest.Generation, n.state.Current().Generation, "%s, 9s after the faults ended", n.name)
			}
			w.run(20 * time.Second)
			for _, s := range subs {
				w.checkOutcome(t, s)
			}
		})
	}
}

func (w *world) injectFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(8) {
	case 0:
		n.frozen = true
	case 1:
		w.unfreeze(n)
	case 2:
		n.deferred, n.frozen = nil, false
		w.restart(n)
	case 3:
		w.peersCut[n.zone] = true
	case 4:
		w.platformCut[n.zone] = true
	case 5:
		w.platformDown = !w.platformDown
	case 6:
		w.responseLossRate = w.random.Float64() * 0.5
	case 7:
		clear(w.peersCut)
		clear(w.platformCut)
	}
}

func (w *world) heal() {
	w.platformDown, w.responseLossRate = false, 0
	clear(w.peersCut)
	clear(w.platformCut)
	for _, n := range w.nodes {
		w.unfreeze(n)
	}
}

// TestSpread checks how long a document takes to reach all VMs during a fault.
func TestSpread(t *testing.T) {
	rows := []struct {
		name  string
		fault func(w *world)
		limit time.Duration
	}{
		{"no fault", func(*world) {}, time.Second},
		{"a zone can't reach the platform but can reach the other zones", func(w *world) { w.platformCut["az-1"] = true }, time.Second},
		{"a zone can't reach the other zones but can reach the platform", func(w *world) { w.peersCut["az-1"] = true }, time.Second},
		{"the first watcher of a zone is paused", func(w *world) {
			for _, m := range Ranked(w.view())["az-1"][:1] {
				w.find(m.VM).frozen = true
			}
		}, 9 * time.Second},
		{"every watcher of a zone is paused", func(w *world) {
			for _, m := range Ranked(w.view())["az-1"][:watchersPerZone] {
				w.find(m.VM).frozen = true
			}
		}, 9 * time.Second},
		{"half of the platform's responses are lost", func(w *world) { w.responseLossRate = 0.5 }, 9 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(1, 3, 8)
			require.NoError(t, w.write(0, storedDocument(1, 1)))
			w.run(5 * time.Second)
			row.fault(w)
			w.history[2] = digestOf(t, 2)
			w.object = platform.Object{Version: w.object.Version + 1, Value: storedDocument(2, 2)}
			for _, f := range w.watchEnds {
				f()
			}
			w.watchEnds = nil
			begin := w.now
			for w.now.Sub(begin) < row.limit && !w.allApplied(2) {
				w.run(10 * time.Millisecond)
			}
			require.True(t, w.allApplied(2), "after %v", row.limit)
			t.Logf("in force on 24 VMs after %v", w.now.Sub(begin))
		})
	}
}

func digestOf(t *testing.T, burst int) string {
	d, err := DecodeStored(storedDocument(2, burst))
	require.NoError(t, err)
	return d.Digest
}

func (w *world) allApplied(g uint64) bool {
	for _, n := range w.nodes {
		if !n.frozen && n.state.Current().Generation < g {
			return false
		}
	}
	return true
}

// TestCallsToThePlatform limits a fleet's reads from the platform without faults,
// during an outage and after the platform has recovered.
func TestCallsToThePlatform(t *testing.T) {
	w := newWorld(2, 7, 47)
	require.NoError(t, w.write(0, storedDocument(1, 1)))
	w.run(time.Minute)
	count := func(d time.Duration) float64 {
		w.reads = 0
		w.run(d)
		return float64(w.reads) / d.Seconds()
	}
	rest := count(2 * time.Minute)
	w.platformDown = true
	first := count(10 * time.Second)
	outage := count(10 * time.Minute)
	w.platformDown = false
	most := 0.0
	for range 30 {
		most = max(most, count(time.Second))
	}
	t.Logf("reads per second of 329 VMs: %.1f without faults, %.1f in the first 10 s of an outage, %.1f in the following 10 min, at most %.0f after it", rest, first, outage, most)
	require.Less(t, rest, 5.0)
	require.Less(t, first, 60.0)
	require.Less(t, outage, 60.0)
	require.Less(t, most, 200.0)
}

func TestWhatIsNotApplied(t *testing.T) {
	newer := []byte("schema: 99\ngeneration: 7\nfleet: demo\nnew_key: 1\n")
	rows := []struct {
		name     string
		text     []byte
		rejected uint64
		code     result.Code
	}{
		{"an older generation", storedDocument(2, 9), 0, 0},
		{"the same generation again", storedDocument(3, 9), 0, 0},
		{"a newer schema than this build supports", newer, 7, result.DocumentUnsupported},
		{"a malformed document", []byte("schema: 1\ngeneration: 8\nfleet: [\n"), 0, result.DocumentInvalid},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := New(Config{VM: "a", Zone: "z"}, newWorld(1, 1, 1).random)
			s.Step(time.UnixMilli(1), ReadResult{Source: FromPlatform, Text: storedDocument(3, 1)})
			before := s.Current()
			var rejections []Reject
			for _, a := range s.Step(time.UnixMilli(2), ReadResult{Source: FromPeer, Text: row.text}) {
				require.IsNotType(t, PutInForce{}, a)
				if r, ok := a.(Reject); ok {
					rejections = append(rejections, r)
				}
			}
			require.Equal(t, before, s.Current(), "the document in force must be unchanged")
			require.Equal(t, row.rejected, s.RejectedGeneration())
			if row.code == 0 {
				require.Empty(t, rejections)
				return
			}
			require.Len(t, rejections, 1)
			require.Equal(t, row.code, result.From(rejections[0].Err).Code)
		})
	}
}

func TestNewSubmissionRejectsInvalidDocuments(t *testing.T) {
	_, err := NewSubmission([]byte("schema: 99\nfleet: demo\n"), 0, 0, membership.View{}, "demo", time.Time{})
	require.True(t, result.Is(err, result.DocumentUnsupported), "%v", err)
	_, err = NewSubmission(validDocument(0, 1), 0, 0, membership.View{}, "other", time.Time{})
	require.True(t, result.Is(err, result.DocumentInvalid))
}

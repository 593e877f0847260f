package overload

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newRequest returns a request without much work, with a target of 200 ms.
func newRequest(now time.Time, priority int, team string) Request {
	return Request{Priority: priority, Kind: "call", Team: team, TargetAt: now.Add(200 * ms), Deadline: now.Add(2 * time.Second), Expected: 20 * ms}
}

// order returns the requests in the order in which a round tries them.
func (q *Queue) order(now time.Time) (out []*Waiter) {
	q.BeginRound(now)
	for w := q.Next(); w != nil; w = q.Next() {
		out = append(out, w)
	}
	return out
}

// Guards against an order that spends room on late requests, or on long ones while short
// ones of the same priority become late.
func TestOrder(t *testing.T) {
	q := NewQueue()
	late := newRequest(begin, 0, "a")
	late.TargetAt = begin.Add(10 * ms)
	long := newRequest(begin, 1, "a")
	long.PromptTokens, long.OutputTokens = 8000, 200
	relaxed := newRequest(begin, 1, "a")
	relaxed.TargetAt = begin.Add(time.Second)
	var want []*Waiter
	for _, r := range []Request{newRequest(begin, 0, "a"), newRequest(begin, 1, "a"), relaxed, long, newRequest(begin, 2, "a"), late} {
		want = append(want, q.Join(begin, r))
	}
	assert.Equal(t, want, q.order(begin))
}

// Guards against a wait for room that is not expected in time.
func TestOnlyWaitsForRoomInTime(t *testing.T) {
	q := NewQueue()
	now := begin
	for _, tt := range []struct {
		left, firstRoom time.Duration
		want            Decision
		wait            time.Duration
	}{
		{10 * time.Second, 0, Wait, 500 * ms}, {time.Second, 200 * ms, Wait, 250 * ms}, {time.Second, 300 * ms, RefusedNoRoom, 250 * ms}, {0, 0, RefusedNoRoom, 0},
	} {
		r := newRequest(now, 0, "a")
		r.Deadline = now.Add(tt.left)
		w := q.Join(now, r)
		d, _ := q.Admit(now, w, tt.firstRoom)
		assert.Equal(t, tt.want, d)
		assert.Equal(t, now.Add(tt.wait), w.Until)
		q.Leave(now, w)
	}
	for range 20 { // one grant in 100 ms
		w := q.Join(now, newRequest(now, 0, "a"))
		now = now.Add(100 * ms)
		q.Granted(now, w)
	}
	waits := 0
	for range 20 {
		if d, _ := q.Admit(now, q.Join(now, newRequest(now, 0, "a")), 0); d == Wait {
			waits++
		}
	}
	assert.InDelta(t, 6, waits, 1, "as many as get room in 500 ms, and the next")
}

// Guards against a full queue in which one team has all places, and against one that
// drops what goes before the rest.
func TestEviction(t *testing.T) {
	q := NewQueue()
	for range MaxWaiting {
		_, evicted := q.Admit(begin, q.Join(begin, newRequest(begin, 1, "many")), 0)
		require.Nil(t, evicted)
	}
	d, evicted := q.Admit(begin, q.Join(begin, newRequest(begin, 1, "few")), 0)
	assert.Equal(t, Wait, d)
	assert.Equal(t, "many", evicted.Team)
	d, evicted = q.Admit(begin, q.Join(begin, newRequest(begin, 0, "many")), 0)
	assert.Equal(t, Wait, d)
	assert.Equal(t, "many", evicted.Team)
	d, _ = q.Admit(begin, q.Join(begin, newRequest(begin, 2, "few")), 0)
	assert.Equal(t, RefusedFull, d)
}

// Guards against a kind, a team or a size that gets no room as long as others go before it.
func TestFloor(t *testing.T) {
	large := newRequest(begin, 0, "a")
	large.PromptTokens = 50000
	for name, starved := range map[string]Request{"kind": newRequest(begin, 2, "a"), "team": newRequest(begin, 1, "b"), "size": large} {
		t.Run(name, func(t *testing.T) {
			q, grants, demand, now := NewQueue(), 0, 0, begin
			for range 400 { // one of two is served
				for _, r := range []Request{newRequest(now, 0, "a"), newRequest(now, 0, "a"), starved, newRequest(now, 0, "a")} {
					shift := now.Sub(begin)
					if r == starved {
						demand++
						r.TargetAt, r.Deadline = r.TargetAt.Add(shift), r.Deadline.Add(shift)
					}
					q.Admit(now, q.Join(now, r), 0)
				}
				for range 2 {
					now = now.Add(5 * ms)
					w := q.order(now)[0]
					if q.Granted(now, w); w.Priority == starved.Priority && w.Team == starved.Team && w.PromptTokens == starved.PromptTokens {
						grants++
					}
				}
				for _, w := range slices.Clone(q.waiting) {
					if now.After(w.Until) {
						q.Leave(now, w)
					}
				}
			}
			assert.GreaterOrEqual(t, float64(grants)/float64(demand), 0.2, "%d of %d", grants, demand)
		})
	}
}

// Guards against refused callers that are told to return at the same time, or long before
// there is room for them.
func TestRetryAfterFollowsTheDrainRate(t *testing.T) {
	q, now := NewQueue(), begin
	for range 40 { // one grant in 20 ms
		w := q.Join(now, newRequest(now, 0, "a"))
		now = now.Add(20 * ms)
		q.Granted(now, w)
	}
	var last time.Duration
	for i := range 50 {
		d := q.RetryAfter(now, 300*ms, 0)
		assert.InDelta(t, float64(300*ms+time.Duration(i+1)*20*ms), float64(d), float64(60*ms))
		assert.Greater(t, d, last)
		last = d
	}
	assert.Equal(t, maxRetryAfter, q.RetryAfter(now, time.Minute, 1))
}

// Guards against a queue that grows beyond its limit, loses or repeats requests, or depends
// on the order of its calls, whatever comes.
func TestQueueKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, in := NewQueue(), begin, make(map[*Waiter]bool)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * ms)
			r := newRequest(now, rapid.IntRange(-1, 12).Draw(t, "priority"), rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "team"))
			r.PromptTokens = rapid.IntRange(-1, 100000).Draw(t, "tokens")
			r.Deadline = now.Add(time.Duration(rapid.IntRange(-10, 5000).Draw(t, "left")) * ms)
			w := q.Join(now, r)
			d, evicted := q.Admit(now, w, 0)
			if d == Wait {
				in[w] = true
			}
			delete(in, evicted)
			order := q.order(now)
			assert.LessOrEqual(t, len(order), MaxWaiting)
			assert.Len(t, in, len(order))
			for i, o := range order {
				assert.True(t, in[o])
				assert.True(t, i < 2 || order[i-1].before(o), "all but the floor's turn are in order")
			}
			if len(order) > 0 && rapid.Bool().Draw(t, "grant") {
				q.Granted(now, order[0])
				delete(in, order[0])
				assert.False(t, q.Leave(now, order[0]))
			}
		}
	})
}

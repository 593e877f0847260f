package engine

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// Causes of ended runs.
var (
	errCrash   = errors.New("the engine crashed")
	errTimeout = errors.New("the run's own timeout passed")
)

// refusal is why an arrival was not run.
type refusal string

// Counters is the body of GET /counters.
type Counters struct {
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	// ColdViolations counts arrivals above the cold limit; ColdGraceViolations
	// are those of them within a second after a cold start without warning.
	ColdViolations      int `json:"cold_violations"`
	ColdGraceViolations int `json:"cold_grace_violations"`
	// MaxCold is the most work that arrived while cold and was present at once.
	MaxCold int `json:"max_cold"`
	// MaxConcurrent is the most work present at once.
	MaxConcurrent int `json:"max_concurrent"`
	Starts        int `json:"starts"`
	Crashes       int `json:"crashes"`
	FallOvers     int `json:"fall_overs"`
	Arrivals      int `json:"arrivals"`
	Refusals      int `json:"refusals"`
	CacheHits     int `json:"cache_hits"`
	CacheMisses   int `json:"cache_misses"`
	// Orders counts accepted orders, RefusedOrders those with an old number,
	// and StaleOrders accepted ones with an old number.
	Orders        int    `json:"orders"`
	RefusedOrders int    `json:"refused_orders"`
	StaleOrders   int    `json:"stale_orders"`
	MaxFence      uint64 `json:"max_fence"`
}

// coldGrace is the time after a cold start in which routers can't know of it.
const coldGrace = time.Second

// run is one piece of work at the engine.
type run struct {
	seq      int
	priority int
	// cold is true when the run arrived while the engine was cold.
	cold    bool
	started chan struct{}
	running bool
	cancel  context.CancelCauseFunc
	index   int
}

// waiters is a heap by priority, then arrival.
type waiters []*run

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].seq < w[j].seq
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waiters) Push(x any) {
	r := x.(*run)
	r.index = len(*w)
	*w = append(*w, r)
}

func (w *waiters) Pop() any {
	old := *w
	r := old[len(old)-1]
	*w = old[:len(old)-1]
	r.index = -1
	return r
}

// snapshot is the load at one moment.
type snapshot struct {
	at   time.Time
	body wire.LoadBody
}

// state is the engine's memory, guarded by its lock.
type state struct {
	mu   sync.Mutex
	name string
	set  Settings

	starts     int
	startedMS  int64
	coldSince  time.Time
	leaving    bool
	leavingAt  time.Time
	runs       map[*run]struct{}
	running    int
	queue      waiters
	versions   map[string]VersionSettings
	loadedAt   map[string]time.Time
	role       string
	fence      uint64
	cache      cache
	snapshots  []snapshot
	counters   Counters
	nextRunSeq int
}

func newState(name string, set Settings, now time.Time) *state {
	s := &state{
		name:     name,
		set:      set,
		runs:     map[*run]struct{}{},
		versions: map[string]VersionSettings{},
		loadedAt: map[string]time.Time{},
		cache:    newCache(set),
	}
	for _, v := range set.Versions {
		s.versions[v.Name] = v
		if !v.NotLoaded {
			s.loadedAt[v.Name] = now
		}
	}
	s.restartLocked(now)
	return s
}

// restartLocked begins a new incarnation with a cold start.
func (s *state) restartLocked(now time.Time) {
	s.starts++
	s.startedMS = now.UnixMilli()
	s.coldSince = now
	s.cache.clear(now)
	s.noteLocked(now)
}

func (s *state) incarnationLocked() string {
	return fmt.Sprintf("%s-%d-%d", s.name, s.startedMS, s.starts)
}

func (s *state) coldLocked(now time.Time) bool {
	return now.Sub(s.coldSince) < s.set.ColdTime.D()
}

func (s *state) stateLocked(now time.Time) string {
	switch {
	case s.leaving:
		return wire.EngineLeaving
	case s.coldLocked(now):
		return wire.EngineCold
	}
	return wire.EngineWarm
}

// arrival describes an arrival as the engine saw it.
type arrival struct {
	incarnation string
	state       string
	cold        bool
	coldFor     time.Duration
	leavingFor  time.Duration
	concurrent  int
	refused     refusal
	fellOver    bool
}

// arrive takes work in or refuses it. A refused run is not kept.
func (s *state) arrive(r *run, target string, now time.Time) arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := arrival{
		incarnation: s.incarnationLocked(), state: s.stateLocked(now), cold: s.coldLocked(now),
		concurrent: len(s.runs) + 1,
	}
	s.counters.Arrivals++
	if a.cold {
		a.coldFor = now.Sub(s.coldSince)
	}
	if s.leaving {
		a.leavingFor = now.Sub(s.leavingAt)
	}
	switch {
	case s.leaving:
		a.refused = "leaving"
	case !s.loadedLocked(target, now):
		a.refused = "not loaded"
	case a.cold:
		s.checkColdLocked(&a)
	}
	if a.refused == "" && s.running >= s.set.Limit && len(s.queue) >= s.set.QueueLimit {
		a.refused = "queue full"
	}
	if a.refused != "" {
		s.counters.Refusals++
		return a
	}
	if a.fellOver {
		return a
	}
	s.nextRunSeq++
	r.seq, r.cold, r.index = s.nextRunSeq, a.cold, -1
	s.runs[r] = struct{}{}
	s.counters.MaxConcurrent = max(s.counters.MaxConcurrent, len(s.runs))
	heap.Push(&s.queue, r)
	s.dispatchLocked(now)
	return a
}

// checkColdLocked counts work that arrives above the cold limit and reacts.
func (s *state) checkColdLocked(a *arrival) {
	present := 1
	for r := range s.runs {
		if r.cold {
			present++
		}
	}
	s.counters.MaxCold = max(s.counters.MaxCold, present)
	if present <= s.set.ColdLimit {
		return
	}
	s.counters.ColdViolations++
	if a.coldFor < coldGrace {
		s.counters.ColdGraceViolations++
	}
	switch s.set.OverColdLimit {
	case Refuse:
		a.refused = "over the cold limit"
	case FallOver:
		a.fellOver = true
		s.counters.FallOvers++
	case Accept:
	}
}

// dispatchLocked starts queued runs while there is room.
func (s *state) dispatchLocked(now time.Time) {
	for s.running < s.set.Limit && len(s.queue) > 0 {
		r := heap.Pop(&s.queue).(*run)
		r.running = true
		s.running++
		close(r.started)
	}
	s.noteLocked(now)
}

// leave removes a run that ended; it may be called twice.
func (s *state) leave(r *run, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.runs[r]; !ok {
		return
	}
	delete(s.runs, r)
	if r.running {
		s.running--
	} else if r.index >= 0 {
		heap.Remove(&s.queue, r.index)
	}
	s.dispatchLocked(now)
}

// crash ends all runs and begins a new incarnation. It does nothing when the
// incarnation is no longer the given one, unless that is empty.
func (s *state) crash(incarnation string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != "" && incarnation != s.incarnationLocked() {
		return false
	}
	s.counters.Crashes++
	for r := range s.runs {
		r.cancel(errCrash)
	}
	s.restartLocked(now)
	return true
}

// turnCold begins a cold start in the same incarnation.
func (s *state) turnCold(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldSince = now
	s.cache.clear(now)
	s.noteLocked(now)
}

func (s *state) setLeaving(leaving bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving && !s.leaving {
		s.leavingAt = now
	}
	s.leaving = leaving
	s.noteLocked(now)
}

// pace returns the time of the next token.
func (s *state) pace(target string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.interval(s.versions[target], s.running, s.coldLocked(now))
}

func (s *state) report(now time.Time) Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Incarnation, c.State, c.Starts, c.MaxFence = s.incarnationLocked(), s.stateLocked(now), s.starts, s.fence
	return c
}

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

// Causes of canceled runs.
var (
	errEngineCrashed = errors.New("the engine crashed")
	errRunTimeout    = errors.New("the timeout of the run expired")
)

// rejectionReason says why the engine did not run a request. It is the body of
// the response, and empty if the request is admitted.
type rejectionReason string

// Counters is the body of GET /counters.
type Counters struct {
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	// ColdViolations counts arrivals above the cold limit. ColdGraceViolations
	// counts those of them in the first second of a cold start, which comes
	// without warning.
	ColdViolations      int `json:"cold_violations"`
	ColdGraceViolations int `json:"cold_grace_violations"`
	// MaxCold is the maximum number of concurrent runs that arrived while the
	// engine was cold, including runs that it rejected.
	MaxCold int `json:"max_cold"`
	// MaxConcurrent is the maximum number of concurrent runs, queued ones included.
	MaxConcurrent int `json:"max_concurrent"`
	Starts        int `json:"starts"`
	// Crashes counts all crashes. FallOvers counts the requests above the cold
	// limit that caused a crash; several of them can cause the same crash.
	Crashes     int `json:"crashes"`
	FallOvers   int `json:"fall_overs"`
	Arrivals    int `json:"arrivals"`
	Rejections  int `json:"refusals"`
	CacheHits   int `json:"cache_hits"`
	CacheMisses int `json:"cache_misses"`
	// Orders counts accepted orders. RejectedOrders counts orders rejected because
	// of an old fencing number, and StaleOrders those accepted in spite of one.
	Orders         int    `json:"orders"`
	RejectedOrders int    `json:"refused_orders"`
	StaleOrders    int    `json:"stale_orders"`
	MaxFence       uint64 `json:"max_fence"`
}

// coldGracePeriod is the time since the beginning of a cold start in which
// routers cannot have detected it.
const coldGracePeriod = time.Second

// run is one request that is queued or running.
type run struct {
	arrivalSeq int
	priority   int
	// cold is true when the run arrived while the engine was cold.
	cold       bool
	started    chan struct{}
	running    bool
	cancel     context.CancelCauseFunc
	queueIndex int
}

// runQueue is a heap ordered by priority, then by arrival. The lowest number is
// the most urgent priority.
type runQueue []*run

func (q runQueue) Len() int { return len(q) }
func (q runQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrivalSeq < q[j].arrivalSeq
}

func (q runQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

func (q *runQueue) Push(x any) {
	r := x.(*run)
	r.queueIndex = len(*q)
	*q = append(*q, r)
}

func (q *runQueue) Pop() any {
	old := *q
	r := old[len(old)-1]
	*q = old[:len(old)-1]
	r.queueIndex = -1
	return r
}

// loadSnapshot is the load of the engine at one time.
type loadSnapshot struct {
	at   time.Time
	body wire.LoadBody
}

// state is the state of the engine. mu guards all fields; methods whose names
// end in Locked require that the caller holds it.
type state struct {
	mu       sync.Mutex
	name     string
	settings Settings

	starts       int
	startedMS    int64
	coldSince    time.Time
	leaving      bool
	leavingSince time.Time
	runs         map[*run]struct{}
	running      int
	queue        runQueue
	versions     map[string]VersionSettings
	loadedAt     map[string]time.Time
	role         string
	maxFence     uint64
	cache        cache
	snapshots    []loadSnapshot
	counters     Counters
	nextRunSeq   int
}

func newState(name string, settings Settings, now time.Time) *state {
	s := &state{
		name:     name,
		settings: settings,
		runs:     map[*run]struct{}{},
		versions: map[string]VersionSettings{},
		loadedAt: map[string]time.Time{},
		cache:    newCache(settings),
	}
	for _, v := range settings.Versions {
		s.versions[v.Name] = v
		if !v.NotLoaded {
			s.loadedAt[v.Name] = now
		}
	}
	s.restartLocked(now)
	return s
}

// restartLocked starts a new incarnation with a cold start.
func (s *state) restartLocked(now time.Time) {
	s.starts++
	s.startedMS = now.UnixMilli()
	s.coldSince = now
	s.cache.clear(now)
	s.recordLoadLocked(now)
}

func (s *state) incarnationLocked() string {
	return fmt.Sprintf("%s-%d-%d", s.name, s.startedMS, s.starts)
}

func (s *state) isColdLocked(now time.Time) bool {
	return now.Sub(s.coldSince) < s.settings.ColdTime.D()
}

func (s *state) stateLocked(now time.Time) string {
	switch {
	case s.leaving:
		return wire.EngineLeaving
	case s.isColdLocked(now):
		return wire.EngineCold
	}
	return wire.EngineWarm
}

// arrival describes the state of the engine when a request arrived, and how it
// was admitted.
type arrival struct {
	incarnation string
	state       string
	cold        bool
	coldFor     time.Duration
	leavingFor  time.Duration
	concurrent  int
	rejection   rejectionReason
	causesCrash bool
}

// admit queues or starts a run, or rejects it. A rejected run is not stored.
func (s *state) admit(r *run, target string, now time.Time) arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := arrival{
		incarnation: s.incarnationLocked(), state: s.stateLocked(now), cold: s.isColdLocked(now),
		concurrent: len(s.runs) + 1,
	}
	s.counters.Arrivals++
	if a.cold {
		a.coldFor = now.Sub(s.coldSince)
	}
	if s.leaving {
		a.leavingFor = now.Sub(s.leavingSince)
	}
	switch {
	case s.leaving:
		a.rejection = "leaving"
	case !s.isLoadedLocked(target, now):
		a.rejection = "not loaded"
	case a.cold:
		s.checkColdLimitLocked(&a)
	}
	if a.rejection == "" && s.running >= s.settings.Limit && len(s.queue) >= s.settings.QueueLimit {
		a.rejection = "queue full"
	}
	if a.rejection != "" {
		s.counters.Rejections++
		return a
	}
	if a.causesCrash {
		return a
	}
	s.nextRunSeq++
	r.arrivalSeq, r.cold, r.queueIndex = s.nextRunSeq, a.cold, -1
	s.runs[r] = struct{}{}
	s.counters.MaxConcurrent = max(s.counters.MaxConcurrent, len(s.runs))
	heap.Push(&s.queue, r)
	s.dispatchLocked(now)
	return a
}

// checkColdLimitLocked counts a request that arrives above the cold limit and
// applies the configured reaction.
func (s *state) checkColdLimitLocked(a *arrival) {
	coldRuns := 1
	for r := range s.runs {
		if r.cold {
			coldRuns++
		}
	}
	s.counters.MaxCold = max(s.counters.MaxCold, coldRuns)
	if coldRuns <= s.settings.ColdLimit {
		return
	}
	s.counters.ColdViolations++
	if a.coldFor < coldGracePeriod {
		s.counters.ColdGraceViolations++
	}
	switch s.settings.OverColdLimit {
	case Reject:
		a.rejection = "over the cold limit"
	case FallOver:
		a.causesCrash = true
		s.counters.FallOvers++
	case Accept:
	}
}

// dispatchLocked starts queued runs up to the limit of concurrent runs.
func (s *state) dispatchLocked(now time.Time) {
	for s.running < s.settings.Limit && len(s.queue) > 0 {
		r := heap.Pop(&s.queue).(*run)
		r.running = true
		s.running++
		close(r.started)
	}
	s.recordLoadLocked(now)
}

// finish removes a run that has ended. Further calls for the run have no effect.
func (s *state) finish(r *run, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.runs[r]; !ok {
		return
	}
	delete(s.runs, r)
	if r.running {
		s.running--
	} else if r.queueIndex >= 0 {
		heap.Remove(&s.queue, r.queueIndex)
	}
	s.dispatchLocked(now)
}

// crash cancels all runs and starts a new incarnation. If incarnation is neither
// empty nor the current one, crash does nothing and returns false: two requests
// can crash an incarnation only once.
func (s *state) crash(incarnation string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != "" && incarnation != s.incarnationLocked() {
		return false
	}
	s.counters.Crashes++
	for r := range s.runs {
		r.cancel(errEngineCrashed)
	}
	s.restartLocked(now)
	return true
}

// beginColdStart starts a cold start within the current incarnation.
func (s *state) beginColdStart(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldSince = now
	s.cache.clear(now)
	s.recordLoadLocked(now)
}

func (s *state) setLeaving(leaving bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving && !s.leaving {
		s.leavingSince = now
	}
	s.leaving = leaving
	s.recordLoadLocked(now)
}

// tokenInterval returns the time until the next token of a run.
func (s *state) tokenInterval(target string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.tokenInterval(s.versions[target], s.running, s.isColdLocked(now))
}

func (s *state) currentCounters(now time.Time) Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Incarnation, c.State, c.Starts, c.MaxFence = s.incarnationLocked(), s.stateLocked(now), s.starts, s.maxFence
	return c
}

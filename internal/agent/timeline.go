package agent

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/operator"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	// maxConcurrentReads limits the number of processes read at the same time.
	maxConcurrentReads = 16
	// readTimeout limits reading the timeline of one process.
	readTimeout = 3 * time.Second
	// maxPages is the maximum number of pages read from one process per query.
	maxPages = 20
)

// getTimeline reads and merges the timelines of all agents and routers of the
// fleet.
func (o *operators) getTimeline(w http.ResponseWriter, r *http.Request) {
	since, err := queryUint(r, operator.QuerySinceMS)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	q := timeline.ReadRequest{SinceMS: int64(since), Request: r.URL.Query().Get(operator.QueryRequest)}
	var mu sync.Mutex
	var missing []string
	var lists [][]timeline.Event
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentReads)
	for _, m := range o.hub.View().Members {
		if m.Status == membership.Dead {
			continue
		}
		for _, addr := range []string{m.Agent, m.Router} {
			group.Go(func() error {
				events, err := o.readEvents(r.Context(), addr, q)
				mu.Lock()
				defer mu.Unlock()
				lists = append(lists, events)
				if err != nil && !slices.Contains(missing, m.VM) {
					missing = append(missing, m.VM)
				}
				return nil
			})
		}
	}
	_ = group.Wait()
	slices.Sort(missing)
	events := timeline.Merge(lists...)
	out := operator.Timeline{Events: events, Missing: missing}
	if q.Request == "" {
		out.Gaps = timeline.Gaps(events)
	}
	writeJSON(w, out)
}

// readEvents reads the timeline of one process page by page. With an error, it
// returns the events that it read before.
func (o *operators) readEvents(ctx context.Context, addr string, q timeline.ReadRequest) ([]timeline.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var out []timeline.Event
	for range maxPages {
		var page timeline.ReadResponse
		if err := o.caller.Call(ctx, addr, timeline.ReadType, q, &page); err != nil {
			return out, err
		}
		out = append(out, page.Events...)
		if !page.More {
			break
		}
		q.Since, q.Incarnation = page.Next, page.Incarnation
	}
	return out, nil
}

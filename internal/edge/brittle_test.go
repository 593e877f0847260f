package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// newBrittleSite returns a site whose replicas of the order service have little room,
// and their rooms.
func newBrittleSite(t *testing.T, vms int) (*site, []*platformside.Room) {
	s := newSite(t)
	s.configure(routes(), key)
	var rooms []*platformside.Room
	for i := range 3 {
		id := fmt.Sprintf("o%d", i)
		s.startReplica(id, orders)
		s.replicas[id].Room = platformside.NewRoom(8, 24)
		s.replicas[id].ProcessingTime = 100 * time.Millisecond
		rooms = append(rooms, s.replicas[id].Room)
	}
	for i := range vms {
		s.startVM(fmt.Sprint("vm-", i+1))
	}
	return s, rooms
}

// overload lets callers send to each VM until ctx ends: each sends its next request
// after the last one, or after the time that it is told to wait.
func (s *site) overload(ctx context.Context, callersPerVM int) (served, refused int) {
	var wait sync.WaitGroup
	var ok, no atomic.Int64
	for i := range s.vms {
		here := *s
		here.vms = s.vms[i:]
		for n := range callersPerVM {
			wait.Go(func() {
				for k := 0; ctx.Err() == nil; k++ {
					g := here.do(call{id: fmt.Sprintf("%d-%d-%d", i, n, k), path: "/look/x", key: key, deadline: 1500 * time.Millisecond})
					if g.status == http.StatusOK {
						ok.Add(1)
						continue
					}
					no.Add(1)
					seconds, _ := strconv.ParseFloat(g.header.Get("Retry-After"), 64) // zero if there is none
					time.Sleep(time.Duration(seconds * float64(time.Second)))
				}
			})
		}
	}
	wait.Wait()
	return int(ok.Load()), int(no.Load())
}

// Falls of brittle replicas because VMs pass the rejected requests of too many callers
// on from one to the next.
func TestBrittleReplicasFallUnderOverload(t *testing.T) {
	s, rooms := newBrittleSite(t, 3)
	for _, r := range rooms {
		r.SetBrittle(6, 2, 1500*time.Millisecond, 2*time.Second)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	served, refused := s.overload(ctx, 30)
	falls := 0
	for _, r := range rooms {
		falls += r.Falls()
	}
	t.Logf("%d falls, %d served, %d refused", falls, served, refused)
	assert.LessOrEqual(t, falls, 2)
	assert.Greater(t, served, 400) // the replicas serve up to 1,200 in this time, and 334 without the limit
}

// A VM that found no room at a brittle service must not report itself isolated, and says
// when to come again.
func TestNoRoomLooksLikeIsolation(t *testing.T) {
	s, rooms := newBrittleSite(t, 1)
	for _, r := range rooms {
		r.SetBrittle(2, 0, 0, 2*time.Second)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	go s.overload(ctx, 80)
	time.Sleep(1200 * time.Millisecond)
	var refusedWith string
	require.Eventually(t, func() bool {
		g := s.do(call{id: "a", path: "/look/x", key: key, deadline: 200 * time.Millisecond})
		refusedWith = g.header.Get("Retry-After")
		return g.status == http.StatusServiceUnavailable
	}, waitTimeout, pollInterval)
	assert.NotEmpty(t, refusedWith)
	assert.True(t, s.vms[0].ready())
	<-ctx.Done()
}

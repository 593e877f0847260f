package edge_test

import (
	"fmt"
	"math"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

// Guards against bodies of the allowed size that fill a VM's memory while sound upstreams
// are silent: those without room are refused, and small ones are served beside them.
func TestLargeBodiesWhileUpstreamsAreSilent(t *testing.T) {
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) }) // a VM sets the process's limit
	s := newSite(t)
	s.limits = vm.Limits{MemoryMB: 64} // room for 16 MiB, 12 of them large
	list := routes()
	for _, r := range list {
		r["timeoutMs"] = 4000 // the bound is of memory, not of time
	}
	s.startDefaultsWith(list)
	s.setFaults("o", platformside.ReplicaFaults{Delay: 600 * time.Millisecond})
	body := strings.Repeat("x", 1<<20)
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 40 {
		wait.Go(func() {
			g := s.do(call{id: fmt.Sprint("large-", i), path: "/once/x", key: key, body: body})
			if g.status == 503 {
				assert.Empty(t, s.runs(fmt.Sprint("large-", i)))
				assert.NotEmpty(t, g.header.Get("Retry-After"))
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[g.status]++
		})
	}
	time.Sleep(200 * time.Millisecond)
	for i := range 20 {
		wait.Go(func() {
			g := s.do(call{id: fmt.Sprint("small-", i), path: "/look/x", key: key, body: "small"})
			assert.Equal(t, 200, g.status, "small")
		})
	}
	wait.Wait()
	assert.Greater(t, statuses[503], 0, "%v", statuses)
	assert.GreaterOrEqual(t, statuses[200], 10, "%v", statuses)
	assert.Equal(t, 40, statuses[200]+statuses[503]+statuses[504], "%v", statuses)
	assert.Equal(t, 200, s.do(call{id: "after", path: "/once/x", key: key, body: body}).status, "room is lost")
}

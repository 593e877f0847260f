package edge_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// runLimits are routes by what may be repeated, and how often a request on each of them
// may run.
var runLimits = map[string]struct {
	route route
	most  int
}{
	"stream that may be resumed": {streamRoute("resumed", true), 3},
	"stream that may not":        {streamRoute("draft", false), 1},
	"safe":                       {plainRoute("look", "safe"), 3},
	"unsafe":                     {plainRoute("once", "unsafe"), 1},
}

func streamRoute(name string, resumable bool) route {
	return route{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeType": "streaming", "timeoutMs": 1200, "targetLatencyMs": 200, "targetGapMs": 200,
		"service": engine, "maxAttempts": 3, "resumable": resumable, "sticky": true, "sizes": []string{"small", "large"},
	}
}

func plainRoute(name, routeType string) route {
	return route{"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeType": routeType, "timeoutMs": 1200, "targetLatencyMs": 150, "service": orders, "maxAttempts": 3}
}

// runEvents are what may happen to a run.
var runEvents = map[string]platformside.ReplicaFaults{
	"nothing": {}, "rejection": {Reject: true}, "failure": {Fail: true}, "lost answer": {LoseAnswer: true}, "silence": {Mute: true},
	"torn answer": {Torn: true}, "answer to another": {Foreign: true}, "unsigned answer": {Unsigned: true}, "early rejection": {Early: true},
	"answer without a length": {Unframed: true}, "extra answer": {Extra: true}, "slow answer": {Delay: 600 * time.Millisecond}, "pause in a stream": {Pause: 700 * time.Millisecond},
}

// requestOn returns a request on one of the routes of runLimits.
func requestOn(r route, id string) call {
	c := chat(id)
	c.path, c.deadline = r["pathPrefix"].(string)+"x", 1500*time.Millisecond
	return c
}

// Guards against work that may not be repeated and runs again, whatever happens to its
// first run: a retry, a larger model, a resumed stream or another VM.
func TestWorkRunsAsOftenAsItsRouteAllows(t *testing.T) {
	for kindName, kind := range runLimits {
		for eventName, faults := range runEvents {
			t.Run(kindName+", "+eventName, func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.startDefaultsWith([]route{kind.route})
				setSmallModelConfidence(s, 5)
				s.setFaults("", faults)
				s.do(requestOn(kind.route, "r1"))
				assert.LessOrEqual(t, len(s.runs("r1")), kind.most)
			})
		}
	}
}

// Guards against work that another VM began and that runs again, at that VM, at a third
// one, or here once this VM reaches its upstreams again.
func TestForwardedWorkRunsAsOftenAsItsRouteAllows(t *testing.T) {
	meanwhile := map[string]func(s *site, d *cutDialer){
		"nothing":                     func(*site, *cutDialer) {},
		"the path is back":            func(_ *site, d *cutDialer) { d.cut.Store(false) },
		"the other VMs stop":          func(s *site, _ *cutDialer) { s.vms[1].stop(); s.vms[2].stop() },
		"a change of configuration":   func(s *site, _ *cutDialer) { s.configure(limitedRoutes(), key, "key-2") },
		"the upstreams are reachable": func(s *site, d *cutDialer) { d.cut.Store(false); s.closeClientConnections("") },
	}
	for eventName, faults := range runEvents {
		for otherName, other := range meanwhile {
			t.Run(eventName+", "+otherName, func(t *testing.T) {
				t.Parallel()
				d := &cutDialer{}
				s := newCutSiteWith(t, limitedRoutes(), 3, 1, d)
				setSmallModelConfidence(s, 5)
				d.cut.Store(true)
				for name, kind := range runLimits { // the VM notices
					s.do(requestOn(kind.route, "warm "+name))
				}
				s.setFaults("", faults)
				var wait sync.WaitGroup
				for name, kind := range runLimits {
					for i := range 3 {
						wait.Go(func() {
							id := fmt.Sprint(name, " ", i)
							s.do(requestOn(kind.route, id))
							assert.LessOrEqual(t, len(s.runs(id)), kind.most, id)
						})
					}
				}
				time.Sleep(100 * time.Millisecond)
				other(s, d)
				wait.Wait()
			})
		}
	}
}

// limitedRoutes are the routes of runLimits.
func limitedRoutes() []route {
	var list []route
	for _, kind := range runLimits {
		list = append(list, kind.route)
	}
	return list
}

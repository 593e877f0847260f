package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Guards against work that may not be repeated and runs again, whatever happens to its
// first run: a retry, a larger model, a resumed stream or another VM.
func TestWorkRunsAsOftenAsItsRouteAllows(t *testing.T) {
	stream := func(name string, resumable bool) route {
		return route{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeType": "streaming", "timeoutMs": 1200, "targetLatencyMs": 200, "targetGapMs": 200,
			"service": engine, "maxAttempts": 3, "resumable": resumable, "sticky": true, "sizes": []string{"small", "large"},
		}
	}
	plain := func(name, routeType string) route {
		return route{"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeType": routeType, "timeoutMs": 1200, "targetLatencyMs": 150, "service": orders, "maxAttempts": 3}
	}
	kinds := map[string]struct {
		route route
		most  int
	}{
		"stream that may be resumed": {stream("resumed", true), 3},
		"stream that may not":        {stream("draft", false), 1},
		"safe":                       {plain("look", "safe"), 3},
		"unsafe":                     {plain("once", "unsafe"), 1},
	}
	events := map[string]platformside.ReplicaFaults{
		"nothing": {}, "rejection": {Reject: true}, "failure": {Fail: true}, "lost answer": {LoseAnswer: true}, "silence": {Mute: true},
		"torn answer": {Torn: true}, "answer to another": {Foreign: true}, "unsigned answer": {Unsigned: true}, "early rejection": {Early: true},
		"answer without a length": {Unframed: true}, "extra answer": {Extra: true}, "slow answer": {Delay: 600 * time.Millisecond}, "pause in a stream": {Pause: 700 * time.Millisecond},
	}
	for kindName, kind := range kinds {
		for eventName, faults := range events {
			t.Run(kindName+", "+eventName, func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.startDefaultsWith([]route{kind.route})
				setSmallModelConfidence(s, 5)
				s.setFaults("", faults)
				c := chat("r1")
				c.path, c.deadline = kind.route["pathPrefix"].(string)+"x", 1500*time.Millisecond
				s.do(c)
				assert.LessOrEqual(t, len(s.runs("r1")), kind.most)
			})
		}
	}
}

package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// forwardHeader marks a request that another VM forwards; it holds a forwardInfo.
	// Requests of callers must not have it.
	forwardHeader = "Pier-Forward"
	// forwardResultHeader marks an error response that a VM generates itself for a
	// request that another VM forwarded.
	forwardResultHeader = "Pier-Forward-Result"
	// forwardRunsHeader holds the number of attempts that ran or may have run by then,
	// with those before the request was forwarded.
	forwardRunsHeader = "Pier-Forward-Runs"
	// maxForwardedRequests limits the requests of other VMs that this VM serves at the
	// same time.
	maxForwardedRequests = 256
)

// forwardResult is what an error response means to the VM that forwarded the request.
type forwardResult string

// The results.
const (
	// forwardResultFinal: the response is for the caller.
	forwardResultFinal forwardResult = "final"
	// forwardResultElsewhere: the request has not run, and other VMs may serve it.
	forwardResultElsewhere forwardResult = "elsewhere"
	// forwardResultStopped: the VM stops before the response is complete. The request may
	// have run, and may run again if its route allows it.
	forwardResultStopped forwardResult = "stopped"
)

// forwardInfo is what a VM says of a request that it forwards.
type forwardInfo struct {
	VM string `json:"vm"`
	// ConfigVersion is the version of the configuration that the VM uses.
	ConfigVersion uint64 `json:"configVersion"`
	// Runs is the number of attempts that ran or may have run before.
	Runs int `json:"runs,omitempty"`
	// Counted is true if the VM counted the request for the retry budget.
	Counted bool `json:"counted,omitempty"`
}

func (i forwardInfo) set(h http.Header) error {
	raw, err := json.Marshal(i)
	if err != nil {
		return err
	}
	h.Set(forwardHeader, string(raw))
	return nil
}

// forwardedHandler serves the requests that other VMs forward and passes all others on
// to next.
func (s *Proxy) forwardedHandler(next http.Handler) http.Handler {
	slots := make(chan struct{}, maxForwardedRequests)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw := r.Header.Get(forwardHeader)
		if raw == "" {
			next.ServeHTTP(w, r)
			return
		}
		x := s.newRequestState(w, r)
		x.forwarded = &forwardInfo{}
		if err := json.Unmarshal([]byte(raw), x.forwarded); err != nil || x.forwarded.Runs < 0 {
			x.respondError(result.New(result.PeerMessageInvalid, "the header %s is not valid", forwardHeader), "admission")
			x.finishRequest()
			return
		}
		r.Header.Del(forwardHeader)
		x.runs, x.counted = x.forwarded.Runs, x.forwarded.Counted
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			x.elsewhere = true
			x.respondError(result.New(result.Overloaded, "too many requests of other VMs"), "admission")
			x.finishRequest()
			return
		}
		x.serve(r)
	})
}

// refuseForwarded returns why this VM does not take a request that another VM
// forwards, although others may; nil if it takes the request.
func (x *requestState) refuseForwarded() *result.Error {
	s := x.proxy
	var e *result.Error
	switch {
	case x.forwarded == nil:
		return nil
	case s.stop.Load() != nil:
		e = stoppingError()
	case s.configVersion() < x.forwarded.ConfigVersion:
		e = result.New(result.NotReady, "the configuration is older than that of the VM which forwards the request")
	case x.req.Service != nil && s.forwarder.unreachable(x.req.Service.Name):
		e = result.New(result.NoUpstream, "no upstream of the service is reachable").WithRetryAfter(shortRetryAfter)
	}
	x.elsewhere = e != nil
	return e
}

// markForwardResult marks an error response of this VM for the VM that forwarded the
// request.
func (x *requestState) markForwardResult(h http.Header) {
	if x.forwarded == nil {
		return
	}
	h.Set(forwardRunsHeader, strconv.Itoa(x.runs))
	unreached := x.sends == 0 && x.runs == x.forwarded.Runs && x.req.Service != nil && x.proxy.forwarder.unreachable(x.req.Service.Name)
	if x.elsewhere || unreached {
		h.Set(forwardResultHeader, string(forwardResultElsewhere))
		return
	}
	if x.stopped {
		h.Set(forwardResultHeader, string(forwardResultStopped))
		return
	}
	h.Set(forwardResultHeader, string(forwardResultFinal))
}

// runsBefore returns the number of attempts that ran or may have run before this VM got
// the request.
func (x *requestState) runsBefore() int {
	if x.forwarded == nil {
		return 0
	}
	return x.forwarded.Runs
}

// from returns the name of the VM that forwarded the request; empty for none.
func (x *requestState) from() string {
	if x.forwarded == nil {
		return ""
	}
	return x.forwarded.VM
}

// newRequestState returns the state of a request that has just arrived.
func (s *Proxy) newRequestState(w http.ResponseWriter, r *http.Request) *requestState {
	caller := callerConnOf(r.Context())
	return &requestState{
		proxy: s, w: w, ctx: r.Context(), req: &exchange.Request{ReceivedAt: time.Now()}, closeDelimited: !r.ProtoAtLeast(1, 1),
		caller: caller, connRequests: caller.countRequest(),
	}
}

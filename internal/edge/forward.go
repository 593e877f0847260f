package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/forwarding"
	"github.com/cranberrypier/cranberrypier/internal/gossip"
	"github.com/cranberrypier/cranberrypier/internal/logs"
)

const (
	// maxForwardTries limits the VMs to which one request is forwarded in sequence, as
	// long as each of them certainly did not take it.
	maxForwardTries = 3
	// anyService stands for all services in Proxy.probe.
	anyService = ""
	// maxReportedServices limits the unreachable services that a datagram names.
	maxReportedServices = 16
)

// forwarder guards what this VM knows of the services that it can't reach and of the
// VMs that may reach them.
type forwarder struct {
	mu        sync.Mutex
	reach     *forwarding.Reach
	core      *forwarding.Core
	transport http.RoundTripper
	self      string
	// wake is signaled when a service becomes unreachable, which may be a mistake.
	wake chan struct{}
}

func newForwarder(vm, zone string, regionByZone map[string]string) *forwarder {
	return &forwarder{
		reach: forwarding.NewReach(), core: forwarding.New(zone, regionByZone), transport: newUpstreamTransport(newForwardDialer().DialContext), self: vm, wake: make(chan struct{}, 1),
	}
}

// recordDialFailure records that connecting to an upstream failed.
func (s *Proxy) recordDialFailure(p *fleet.Pick, service string) {
	upstreams := len(s.fleet.UsableAddresses(time.Now(), service))
	f := s.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reach.Failed(time.Now(), service, p.ID, upstreams) {
		f.reportUnreachable(service)
	}
}

// recordExhausted records that a request found no upstream that it could try, after all
// of its attempts failed to connect.
func (s *Proxy) recordExhausted(service string) {
	f := s.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reach.Exhausted(service) {
		f.reportUnreachable(service)
	}
}

// reportUnreachable logs that a service has become unreachable, and starts a probe.
func (f *forwarder) reportUnreachable(service string) {
	klog.InfoS("reach: no upstream of the service is reachable; its requests are forwarded to other VMs", "service", service)
	select {
	case f.wake <- struct{}{}:
	default: // already signaled
	}
}

// recordContact records that an upstream of a service accepted a connection.
func (s *Proxy) recordContact(service string, begunAt time.Time) {
	f := s.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reach.Contact(service, begunAt) {
		klog.InfoS("reach: an upstream of the service is reachable again", "service", service)
		go s.decideByDialing(service)
	}
}

func (f *forwarder) unreachable(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reach.Unreachable(service)
}

// unreachableServices returns the names of the services that this VM can't reach.
func (f *forwarder) unreachableServices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reach.UnreachableServices()
}

// reportedServices returns the unreachable services that a datagram names.
func (f *forwarder) reportedServices() []string {
	list := f.unreachableServices()
	return list[:min(len(list), maxReportedServices)]
}

// recordReport records what another VM says of itself.
func (f *forwarder) recordReport(now time.Time, m gossip.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Record(now, forwarding.Report{
		VM:          forwarding.VM{Name: m.From.Name, Address: m.From.Address, Zone: m.From.Zone},
		Unreachable: m.Unreachable, Stopping: m.Stopping,
	})
}

func (f *forwarder) retain(known []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Retain(known)
}

// reachedElsewhere reports whether another VM may reach a service.
func (f *forwarder) reachedElsewhere(now time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.ReachedElsewhere(now, service)
}

// retainServices forgets the services that the configuration no longer has.
func (f *forwarder) retainServices(has func(name string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reach.Retain(has)
}

func (f *forwarder) choose(x *requestState) (forwarding.VM, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Choose(time.Now(), forwarding.Query{
		Service: x.req.Service.Name, Regions: [][]string{x.req.Route.Regions, x.req.TeamRegions}, Exclude: x.tried, Draw: rand.Uint64(),
	})
}

// end records how a request that was forwarded has ended.
func (f *forwarder) end(vm, service string, status exchange.AttemptStatus) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Done(vm)
	switch status {
	case exchange.NotSent:
		f.core.Unreachable(now, vm)
	case exchange.Misdirected:
		f.core.Refused(now, vm, service)
	}
}

// forward sends the request to another VM if this one reaches no upstream of its
// service. It returns the attempt, or nil if the request may not be forwarded or no
// VM took it: the request has then not run.
func (x *requestState) forward() *attempt {
	f := x.proxy.forwarder
	if x.forwarded != nil || !f.unreachable(x.req.Service.Name) {
		return nil
	}
	for range maxForwardTries {
		vm, ok := f.choose(x)
		if !ok || x.ctx.Err() != nil {
			return nil
		}
		x.tried = append(x.tried, vm.Name)
		a := x.sendForward(vm)
		if a.attemptStatus != exchange.NotSent && a.attemptStatus != exchange.Misdirected {
			x.dropReservation()
			x.proxy.isolation.recordUnserved(time.Now())
			return a
		}
		a.release(fleet.OutcomeNeutral)
	}
	return nil
}

// sendForward sends the request to another VM and waits for the head of its response.
// A VM that says that others may serve the request gets the status Misdirected.
func (x *requestState) sendForward(vm forwarding.VM) *attempt {
	a := &attempt{state: x, vm: vm.Name, startedAt: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	req, err := x.newForwardRequest(a.ctx, vm.Address)
	if err != nil {
		a.attemptStatus, a.err = exchange.NotSent, err
		return a
	}
	resp, err := x.proxy.forwarder.transport.RoundTrip(req) //nolint:bodyclose // closed by release
	if err != nil {
		a.recordNoResponse(err)
		return a
	}
	a.setBody(resp)
	a.timeToHead = time.Since(a.startedAt)
	a.head = x.proxy.protocol.DecodeHead(resp, exchange.Attempt{Request: x.req})
	a.head.Header.Del(forwardResultHeader)
	a.head.Header.Del(forwardRunsHeader)
	switch forwardResult(resp.Header.Get(forwardResultHeader)) {
	case forwardResultElsewhere:
		a.attemptStatus = exchange.Misdirected
	case forwardResultFinal, forwardResultStopped:
		a.vmStopped = resp.Header.Get(forwardResultHeader) == string(forwardResultStopped)
		a.finalError, a.runsThere = true, x.runsThere(resp.Header.Get(forwardRunsHeader))
		a.attemptStatus = exchange.Unknown
		if a.runsThere == x.runs {
			a.attemptStatus = exchange.Rejected
		}
	default:
		a.attemptStatus = exchange.Answered
	}
	return a
}

// runsThere decodes the number of runs that another VM reports. If it reports none, it
// may have used all of them.
func (x *requestState) runsThere(header string) int {
	n, err := strconv.Atoi(header)
	if err != nil || n < x.runs {
		return max(x.runs+1, x.req.Route.MaxRuns)
	}
	return n
}

// newForwardRequest encodes the request for another VM: as the caller sent it, but with
// the time that is left.
func (x *requestState) newForwardRequest(ctx context.Context, address string) (*http.Request, error) {
	info := forwardInfo{VM: x.proxy.forwarder.self, ConfigVersion: x.proxy.configVersion(), Runs: x.runs, Counted: x.counted}
	req := (&http.Request{
		Method: x.req.Method, Host: x.req.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    exchange.TargetURL(address, x.req.RequestURI),
		Header: x.proxy.ingress.ForwardHeader(x.callerHeader, time.Until(x.req.Deadline), x.resumeAfter),
	}).WithContext(ctx)
	setBody(req, x.req.Body)
	return req, info.set(req.Header)
}

// setBody sets a body without GetBody, so that the transport can't send the request a
// second time on its own.
func setBody(req *http.Request, body []byte) {
	switch {
	case len(body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	case req.Method != http.MethodGet && req.Method != http.MethodHead:
		req.Body = http.NoBody
	}
}

// passFinalError forwards an error response that another VM generated itself. It
// returns false if that response is incomplete.
func (x *requestState) passFinalError(a *attempt) bool {
	resp, err := a.readResponse()
	if err != nil {
		return false
	}
	if resp.partial {
		x.passThrough(a, resp)
	} else {
		x.writeResponse(resp)
	}
	x.outcome = "forwarded_error"
	return true
}

// finishForward counts the end of an attempt at another VM.
func (x *requestState) finishForward(a *attempt) {
	x.proxy.forwarder.end(a.vm, x.req.Service.Name, a.attemptStatus)
	result := a.forwardOutcome()
	x.proxy.metrics.forwards.WithLabelValues(result).Inc()
	status := 0
	if a.head != nil {
		status = a.head.Status
	}
	klog.InfoS("forward: done", "request", x.req.ID, "vm", a.vm, "result", result, "status", status, "firstByte", a.timeToHead.Milliseconds(),
		"took", time.Since(a.startedAt).Milliseconds(), "events", a.pace.events, "err", logs.Err(a.err))
}

// forwardOutcome names how an attempt at another VM ended, for logs and metrics.
func (a *attempt) forwardOutcome() string {
	switch {
	case a.state.callerGone():
		return "caller_gone"
	case a.finalError:
		return "error"
	case a.attemptStatus == exchange.NotSent:
		return "unreachable"
	case a.attemptStatus == exchange.Misdirected:
		return "refused"
	case a.err != nil || a.attemptStatus != exchange.Answered:
		return "broken"
	}
	return "answered"
}

// probeUnreachable connects to random upstreams of each unreachable service in each
// interval, and at once when a service becomes unreachable, until ctx ends. While its
// requests are forwarded, only a probe can detect that upstreams are reachable again.
func (s *Proxy) probeUnreachable(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.forwarder.wake:
		}
		var wait sync.WaitGroup
		services := s.forwarder.unreachableServices()
		if len(services) == 0 && s.isolation.isIsolated() {
			services = []string{anyService}
		}
		for _, service := range services {
			wait.Go(func() {
				s.probe(ctx, service)
				s.decideByPeers(service)
			})
		}
		wait.Wait()
	}
}

// probe connects to random upstreams of a service, or of anyService, one after the other
// until one accepts. Many can be tried in a round if they refuse at once.
func (s *Proxy) probe(ctx context.Context, service string) {
	addresses := s.fleet.UsableAddresses(time.Now(), service)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	endAt := time.Now().Add(maxProbeRoundTime)
	for _, address := range addresses[:min(maxProbesPerRound, len(addresses))] {
		begunAt := time.Now()
		if begunAt.After(endAt) {
			return
		}
		conn, err := s.dialUpstream(ctx, "tcp", address)
		if err != nil {
			continue // still unreachable
		}
		_ = conn.Close() // nothing was sent on it
		s.recordContact(service, begunAt)
		s.fleet.RecordReachable(address)
		s.isolation.recordReachable()
		return
	}
}

// isDialError reports whether an error occurred before anything was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

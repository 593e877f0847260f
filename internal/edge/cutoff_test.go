package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cutDialer dials upstreams until a cut begins.
type cutDialer struct {
	cut atomic.Bool
	// silent makes connections hang during the cut; otherwise they are refused.
	silent bool
	// only limits the cut to some addresses; nil for all.
	only func(address string) bool
}

// upstreamDialTimeout is about that of a real VM.
const upstreamDialTimeout = 200 * time.Millisecond

func (d *cutDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.cut.Load() || (d.only != nil && !d.only(address)) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	err := error(syscall.ECONNREFUSED)
	if d.silent {
		select {
		case <-time.After(upstreamDialTimeout):
			err = context.DeadlineExceeded
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	return nil, &net.OpError{Op: "dial", Net: network, Err: err}
}

// cutFirst makes the first VM reach upstreams only through the dialer.
func (s *site) cutFirst(d *cutDialer) { s.dial["vm-1"] = d.dial }

// newCutSite returns a site with VMs vm-1 to vm-n, of which the first few reach
// upstreams only through the dialer.
func newCutSite(t testing.TB, vms, cutVMs int, d *cutDialer) *site {
	t.Helper()
	return newCutSiteWith(t, routes(), vms, cutVMs, d)
}

func newCutSiteWith(t testing.TB, list []route, vms, cutVMs int, d *cutDialer) *site {
	t.Helper()
	s := newSite(t)
	for i := range cutVMs {
		s.dial[fmt.Sprint("vm-", i+1)] = d.dial
	}
	s.startDefaultsWith(list)
	for i := 1; i < vms; i++ {
		s.startVM(fmt.Sprint("vm-", i+1))
	}
	time.Sleep(time.Second) // the VMs get to know each other
	return s
}

// minServedShare is the share of first attempts that VMs without upstreams serve, at
// least, if the others serve all.
const minServedShare = 2.0 / 3

// Guards against VMs that refuse all of their callers' requests while they reach no
// upstream, although other VMs do.
func TestVMWithoutUpstreamsServesNoCaller(t *testing.T) {
	for name, d := range map[string]*cutDialer{"refused": {}, "silent": {silent: true}} {
		t.Run(name, func(t *testing.T) {
			s := newCutSite(t, 4, 2, d)
			d.cut.Store(true)
			for _, id := range []string{"w1", "w2", "w3", "w4"} { // the VM notices
				s.do(call{id: id, path: "/look/x", key: key})
				s.do(chat(id + "c"))
			}
			kinds := []func(id string) call{
				chat,
				func(id string) call { return call{id: id, path: "/look/x", key: key, body: "a body"} },
				func(id string) call { return call{id: id, path: "/once/x?q=1", key: key, body: "a body"} },
			}
			const requests = 30
			served := 0
			for i := range requests {
				c := kinds[i%len(kinds)](fmt.Sprint("r", i))
				g := s.doAt(s.vms[i%2], c)
				if g.err == nil && g.status == http.StatusOK && g.header.Get("X-Response-Signature") != "" {
					served++
					assert.Len(t, s.runs(c.id), 1, c.id)
				}
			}
			assert.GreaterOrEqual(t, float64(served), minServedShare*requests)
		})
	}
}

// Guards against VMs that serve one service but refuse all requests for another,
// whose upstreams only other VMs reach.
func TestVMWithoutUpstreamsOfOneService(t *testing.T) {
	d := &cutDialer{}
	s := newCutSite(t, 3, 1, d)
	orders := []string{s.addresses["o0"], s.addresses["o1"], s.addresses["o2"]}
	d.only = func(address string) bool { return address == orders[0] || address == orders[1] || address == orders[2] }
	d.cut.Store(true)
	for i := range 20 {
		g := s.do(call{id: fmt.Sprint("l", i), path: "/look/x", key: key})
		require.NoError(t, g.err)
		assert.Equal(t, http.StatusOK, g.status)
		assert.Equal(t, http.StatusOK, s.do(chat(fmt.Sprint("c", i))).status)
	}
	assert.True(t, s.vms[0].ready(), "the other service is reachable")
}

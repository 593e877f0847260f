package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against refusals by VMs that have just started: after a restart of all of them
// no other VM could serve the requests.
func TestRequestsBeforeTheConfigurationAreServed(t *testing.T) {
	s := newSite(t)
	for i := range 3 {
		s.startReplica(fmt.Sprint("o", i), orders)
	}
	s.launchVM("vm-1")
	s.awaitCallerListener()
	results := make(chan callResult, 8)
	for i := range cap(results) {
		go func() {
			results <- s.do(call{id: fmt.Sprint("early-", i), path: "/look/x", key: key, body: "content", deadline: 6 * time.Second})
		}()
	}
	time.Sleep(200 * time.Millisecond)
	s.configure(routes(), key)
	for range cap(results) {
		got := <-results
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status, got.body)
	}
}

// Guards against requests that are held until their deadline where no configuration comes.
func TestRequestsAreRefusedIfNoConfigurationComes(t *testing.T) {
	s := newSite(t)
	s.launchVM("vm-1")
	s.awaitCallerListener()
	got := s.do(call{id: "early", path: "/look/x", key: key, deadline: 1500 * time.Millisecond})
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Less(t, got.took, 1200*time.Millisecond, "a third of the caller's time, and what the machine takes")
}

// Guards against bodies over the limit that are accepted because they arrived before the
// configuration.
func TestBodyLimitHoldsForRequestsBeforeTheConfiguration(t *testing.T) {
	s := newSite(t)
	s.startReplica("o0", orders)
	s.launchVM("vm-1")
	s.awaitCallerListener()
	results := make(chan callResult, 1)
	go func() {
		results <- s.do(call{id: "large", path: "/look/x", key: key, body: string(make([]byte, 2<<20)), deadline: 6 * time.Second})
	}()
	time.Sleep(200 * time.Millisecond)
	s.configure(routes(), key)
	got := <-results
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, got.status)
	assert.Empty(t, s.runs("large"))
}

// awaitCallerListener waits until the first VM accepts callers.
func (s *site) awaitCallerListener() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		_, err := http.Get("http://" + s.vms[0].settings.ReadinessAddress + "/cranberrypier/readyz") //nolint:bodyclose // closed with the server
		return err == nil
	}, waitTimeout, pollInterval)
}

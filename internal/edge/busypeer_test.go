package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

// slowReader is a response writer whose writes wait until release is closed.
type slowReader struct {
	http.ResponseWriter
	writing chan<- struct{}
	release <-chan struct{}
}

func (w *slowReader) Write(b []byte) (int, error) {
	w.writing <- struct{}{}
	<-w.release
	return w.ResponseWriter.Write(b)
}

// Guards against VMs that wait for the first one with a large change until their time is
// up, while others have it as well.
func TestBusyVMRefusesStateRequestsAtOnce(t *testing.T) {
	f := NewFollower(&Proxy{fleet: fleet.New(fleet.Config{})}, Options{Settings: &vm.Settings{Name: "vm-1"}}, time.Now())
	h := f.stateHandler()
	request := func() *http.Request { return httptest.NewRequest(http.MethodGet, statePath, nil) }
	writing, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	for range maxConcurrentStates {
		go h.ServeHTTP(&slowReader{httptest.NewRecorder(), writing, release}, request())
		<-writing
	}
	refused := make(chan int)
	go func() {
		third := httptest.NewRecorder()
		h.ServeHTTP(third, request())
		refused <- third.Code
	}()
	select {
	case status := <-refused:
		assert.Equal(t, http.StatusServiceUnavailable, status)
	case <-time.After(time.Second):
		t.Error("the request waits for room")
	}
}

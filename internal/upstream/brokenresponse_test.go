package upstream_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/rawpeer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

// requireMayHaveRun requires that a call has failed and may have run.
func requireMayHaveRun(t *testing.T, err error) {
	t.Helper()
	require.Error(t, err)
	require.True(t, upstream.FailureOf(err).Sent)
	require.NotEqual(t, result.NotRun, result.From(err).Run)
}

// Guards against a part of a response that looks whole because the upstream reset the
// connection while the upload was written to it.
func TestResponseResetDuringTheUploadLooksWhole(t *testing.T) {
	const uploads = 600
	address := rawpeer.Start(t, func(conn *net.TCPConn, req *http.Request) {
		rawpeer.ResetDuringUpload(conn, req, "HTTP/1.1 200 OK\r\n\r\na part", 300<<10)
	})
	c := newClient(t, longTimeout, longTimeout)
	for _, idempotent := range []bool{true, false} {
		for range uploads {
			_, err := c.Do(t.Context(), address, upstream.CallRequest{RequestID: "r1", Method: http.MethodPost, Path: "/work", Body: make([]byte, 1<<20), Idempotent: idempotent})
			requireMayHaveRun(t, err)
		}
	}
}

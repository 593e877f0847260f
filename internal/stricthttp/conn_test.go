package stricthttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/rawpeer"
)

// connPair returns a connection that is checked, the one that it checks, and its peer's.
func connPair(t *testing.T) (checked, raw net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	checked, err = checkEnds(new(net.Dialer).DialContext)(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = checked.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return checked, checked.(*endCheckedConn).NetConn(), accepted.(*net.TCPConn)
}

// writeUntilItFails writes to a connection until its peer, or this side, ends that.
func writeUntilItFails(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 4<<10)); err != nil {
			return err
		}
	}
}

// Guards against a reset that reads take for the end of the response because a write got
// the error.
func TestResetThatAWriteReportsLooksLikeARegularEnd(t *testing.T) {
	checked, raw, peer := connPair(t)
	_, err := io.WriteString(peer, "part")
	require.NoError(t, err)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.ErrorIs(t, writeUntilItFails(checked), syscall.ECONNRESET)
	got, err := io.ReadAll(checked)
	assert.Equal(t, "part", string(got))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = raw.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the operating system reports the reset again")
}

// Guards against the same while the write that gets the error has not returned yet.
func TestResetDuringAWriteLooksLikeARegularEnd(t *testing.T) {
	for range 2000 {
		checked, _, peer := connPair(t)
		written := make(chan error, 1)
		go func() { written <- writeUntilItFails(checked) }()
		go func() {
			_, _ = io.WriteString(peer, "part") // checked below
			_, _ = io.CopyN(io.Discard, peer, 40<<10)
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}()
		got, err := io.ReadAll(checked)
		require.Equal(t, "part", string(got))
		require.Error(t, err, "the end looks regular")
		<-written
		_ = checked.Close()
	}
}

// Guards against a complete response that is refused because its connection is reset after
// the peer has ended its side, or because the rest of the upload is not read.
func TestRegularEndDuringAWriteIsNoReset(t *testing.T) {
	for name, after := range map[string]func(*net.TCPConn) error{
		"reset":         func(c *net.TCPConn) error { return c.Close() },
		"reads nothing": func(*net.TCPConn) error { return nil },
		"reads on": func(c *net.TCPConn) error {
			go func() { _, _ = io.Copy(io.Discard, c) }()
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			checked, _, peer := connPair(t)
			_, err := io.WriteString(peer, "whole")
			require.NoError(t, err)
			require.NoError(t, peer.CloseWrite())
			require.NoError(t, after(peer))
			written := make(chan error, 1)
			go func() { written <- writeUntilItFails(checked) }()
			if name == "reset" {
				err := <-written
				require.ErrorIs(t, err, syscall.EPIPE)
				written <- err
			}
			got, err := io.ReadAll(checked)
			assert.NoError(t, err)
			assert.Equal(t, "whole", string(got))
			<-written
		})
	}
}

// Guards against a part of a response that looks whole to a client of this package.
func TestPartOfAResponseLooksWhole(t *testing.T) {
	const uploads = 200
	address := rawpeer.Start(t, func(conn *net.TCPConn, req *http.Request) {
		rawpeer.ResetDuringUpload(conn, req, "HTTP/1.1 200 OK\r\n\r\na part", 300<<10)
	})
	client := &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true})}
	for range uploads {
		resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 1<<20)))
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.Error(t, err)
	}
}

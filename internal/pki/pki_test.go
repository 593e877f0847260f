package pki

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

func filePaths(dir, name string) Paths {
	return Paths{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
		Authority:   filepath.Join(dir, AuthorityFile),
	}
}

func createFleet(t *testing.T, fleet string, now time.Time) string {
	t.Helper()
	dir := t.TempDir()
	_, err := Create(dir, fleet, []string{"vm-1", "vm-2"}, now)
	require.NoError(t, err)
	return dir
}

func openStore(t *testing.T, dir, name, fleet string) *Store {
	t.Helper()
	s, err := Open(filePaths(dir, name), fleet)
	require.NoError(t, err)
	return s
}

// handshake runs a handshake. It returns the client's identity as the server
// sees it, and the error of each end.
func handshake(server, client *tls.Config) (identity peer.Identity, serverErr, clientErr error) {
	a, b := net.Pipe()
	s, c := tls.Server(a, server), tls.Client(b, client)
	done := make(chan error, 1)
	go func() {
		err := s.Handshake()
		if err != nil {
			a.Close()
		}
		done <- err
	}()
	clientErr = c.Handshake()
	if clientErr != nil {
		b.Close()
	}
	go c.Read(make([]byte, 1))
	serverErr = <-done
	if serverErr == nil {
		identity, serverErr = IdentityOf(s.ConnectionState())
	}
	a.Close()
	b.Close()
	return identity, serverErr, clientErr
}

func TestHandshakes(t *testing.T) {
	now := time.Now()
	demo, other := createFleet(t, "demo", now), createFleet(t, "other", now)
	expired := createFleet(t, "demo", now.Add(-2*certificateValidity))
	// A server that trusts the authorities of both fleets must still reject
	// peers of the other fleet.
	bothAuthorities := t.TempDir()
	require.NoError(t, os.CopyFS(bothAuthorities, os.DirFS(demo)))
	appendFile(t, filepath.Join(bothAuthorities, AuthorityFile), filepath.Join(other, AuthorityFile))
	trustsBoth := openStore(t, bothAuthorities, "vm-1-agent", "demo")

	cases := []struct {
		name                         string
		server                       *tls.Config
		client                       *tls.Config
		want                         peer.Identity
		serverRefuses, clientRefuses bool // whether that end rejects the handshake
	}{
		{"a router connects to an agent of its fleet", openStore(t, demo, "vm-1-agent", "demo").Server(RoleRouter, RoleAgent), openStore(t, demo, "vm-2-router", "demo").Client(RoleAgent), peer.Identity{Fleet: "demo", VM: "vm-2", Role: "router"}, false, false},
		{"a peer of another fleet with its own authority", openStore(t, demo, "vm-1-agent", "demo").Server(), openStore(t, other, "vm-2-router", "other").Client(), peer.Identity{}, true, true},
		{"a peer of another fleet under a trusted authority", trustsBoth.Server(), func() *tls.Config {
			c := openStore(t, other, "vm-2-router", "other").Client()
			c.VerifyConnection = nil
			return c
		}(), peer.Identity{}, true, false},
		{"an operator connects to the peers' port", openStore(t, demo, "vm-1-agent", "demo").Server(RoleRouter, RoleAgent), openStore(t, demo, "operator", "demo").Client(), peer.Identity{}, true, false},
		{"an operator connects to a router instead of an agent", openStore(t, demo, "vm-1-router", "demo").Server(), openStore(t, demo, "operator", "demo").Client(RoleAgent), peer.Identity{}, true, true},
		{"an expired certificate", openStore(t, demo, "vm-1-agent", "demo").Server(), openStore(t, expired, "vm-1-agent", "demo").Client(), peer.Identity{}, true, true},
		{"no certificate", openStore(t, demo, "vm-1-agent", "demo").Server(), &tls.Config{InsecureSkipVerify: true}, peer.Identity{}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			identity, serverErr, clientErr := handshake(c.server, c.client)
			assert.Equal(t, c.want, identity)
			assert.Equal(t, c.serverRefuses, serverErr != nil, "server: %v", serverErr)
			assert.Equal(t, c.clientRefuses, clientErr != nil, "client: %v", clientErr)
			if c.clientRefuses {
				assert.True(t, result.Is(clientErr, result.PeerRefused), "%v", clientErr)
			}
		})
	}
}

func appendFile(t *testing.T, to, from string) {
	t.Helper()
	b, err := os.ReadFile(from)
	require.NoError(t, err)
	f, err := os.OpenFile(to, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	defer f.Close()
	_, err = f.Write(b)
	require.NoError(t, err)
}

func TestReloadRequiresMatchingFiles(t *testing.T) {
	now := time.Now()
	dir, fresh := createFleet(t, "demo", now), createFleet(t, "demo", now)
	s := openStore(t, dir, "vm-1-agent", "demo")
	s.now = func() time.Time { return now }
	server := s.Server()
	freshPeer := openStore(t, fresh, "vm-2-agent", "demo").Client()
	_, _, err := handshake(server, freshPeer)
	require.Error(t, err, "the authorities differ")

	assert.False(t, s.Reload(), "nothing changed")
	later := now.Add(time.Hour)
	replace := func(name string) {
		b, err := os.ReadFile(filepath.Join(fresh, name))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), b, 0o600))
		require.NoError(t, os.Chtimes(filepath.Join(dir, name), later, later))
	}
	replace("vm-1-agent.pem")
	assert.False(t, s.Reload(), "the certificate was replaced before its key")
	replace("vm-1-agent-key.pem")
	replace(AuthorityFile)
	assert.True(t, s.Reload())
	_, serverErr, clientErr := handshake(server, freshPeer)
	assert.NoError(t, serverErr, "configurations returned before the reload use the new files")
	assert.NoError(t, clientErr)
}

func TestExpiryWarningOnceAnHour(t *testing.T) {
	now := time.Now()
	s := openStore(t, createFleet(t, "demo", now), "operator", "demo")
	at := now.Add(certificateValidity - expiryWarningWindow + time.Hour)
	s.now = func() time.Time { return at }
	require.True(t, s.lastExpiryWarning.IsZero(), "a fresh certificate gives no warning")
	s.Reload()
	assert.Equal(t, at, s.lastExpiryWarning)
	first := at
	at = at.Add(expiryWarningInterval / 2)
	s.Reload()
	assert.Equal(t, first, s.lastExpiryWarning)
	at = at.Add(expiryWarningInterval)
	s.Reload()
	assert.Equal(t, at, s.lastExpiryWarning)
}

func TestCreateKeepsWhatExists(t *testing.T) {
	dir := createFleet(t, "demo", time.Now())
	written, err := Create(dir, "demo", []string{"vm-1", "vm-3"}, time.Now())
	require.NoError(t, err)
	assert.ElementsMatch(t, []string{"vm-3-router.pem", "vm-3-router-key.pem", "vm-3-agent.pem", "vm-3-agent-key.pem"}, written)
	_, serverErr, clientErr := handshake(openStore(t, dir, "vm-1-agent", "demo").Server(), openStore(t, dir, "vm-3-agent", "demo").Client())
	assert.NoError(t, serverErr)
	assert.NoError(t, clientErr)
	_, err = Create(dir, "other", nil, time.Now())
	assert.True(t, result.Is(err, result.KeyFilesInvalid))
	keys, err := SessionKeys(filepath.Join(dir, SessionKeyFile))
	require.NoError(t, err)
	assert.Len(t, keys, 1)
}

func TestOpenFaults(t *testing.T) {
	dir := createFleet(t, "demo", time.Now())
	good := filePaths(dir, "vm-1-agent")
	cases := []struct {
		name  string
		paths Paths
		fleet string
	}{
		{"a missing certificate", Paths{"absent.pem", good.Key, good.Authority}, "demo"},
		{"the key of another certificate", Paths{good.Certificate, filePaths(dir, "operator").Key, good.Authority}, "demo"},
		{"an authority without a certificate", Paths{good.Certificate, good.Key, good.Key}, "demo"},
		{"a certificate of another fleet", good, "other"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Open(c.paths, c.fleet)
			assert.True(t, result.Is(err, result.KeyFilesInvalid), "%v", err)
		})
	}
}

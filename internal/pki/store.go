package pki

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// pollInterval is the time between two checks for changed files. The files
	// are polled because file watches miss replacements by a rename or a mount.
	pollInterval = 10 * time.Second
	// expiryWarningWindow is the time before the certificate's expiry in which
	// warnings are logged.
	expiryWarningWindow = 14 * 24 * time.Hour
	// expiryWarningInterval is the minimum time between two of these warnings.
	expiryWarningInterval = time.Hour
)

var (
	expiry = promauto.NewGauge(prometheus.GaugeOpts{
		Name: "pier_pki_certificate_expiry_seconds",
		Help: "Unix time at which this process's certificate expires.",
	})
	reloads = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_pki_reloads_total",
		Help: "Reloads of changed certificate files, by outcome.",
	}, []string{"outcome"})
)

// Store holds a process's certificate and authority. The TLS configurations
// that it returns always use the latest loaded files. It is safe for concurrent
// use.
type Store struct {
	paths   Paths
	fleet   string
	now     func() time.Time
	current atomic.Pointer[material]

	// mu guards the fields below. After Open, only Reload uses them.
	mu                sync.Mutex
	loadedFingerprint string
	lastExpiryWarning time.Time
}

// Open loads the files. The error code is KeyMaterial.
func Open(p Paths, fleet string) (*Store, error) {
	s := &Store{paths: p, fleet: fleet, now: time.Now}
	s.loadedFingerprint = s.fingerprint()
	m, err := load(p)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	id, err := IdentityOf(tls.ConnectionState{PeerCertificates: leafChain(m)})
	if err != nil {
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "the subject of certificate %s does not name a fleet, a role and a VM", p.Certificate))
	}
	if id.Fleet != fleet {
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "certificate %s belongs to fleet %q, expected %q", p.Certificate, id.Fleet, fleet))
	}
	s.current.Store(m)
	s.checkExpiry()
	return s, nil
}

// Run polls the files for changes until ctx ends.
func (s *Store) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.Reload()
		}
	}
}

// Reload loads the files if they have changed and reports whether it did. If
// the files do not match yet, for example because the key is written after its
// certificate, the next call retries and the loaded files stay in use.
func (s *Store) Reload() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.checkExpiry()
	fingerprint := s.fingerprint()
	if fingerprint == s.loadedFingerprint {
		return false
	}
	m, err := load(s.paths)
	if err != nil {
		reloads.WithLabelValues("failed").Inc()
		klog.Warningf("pki: changed certificate files cannot be loaded, the previous ones stay in use: %v", err)
		return false
	}
	s.loadedFingerprint = fingerprint
	s.current.Store(m)
	reloads.WithLabelValues("ok").Inc()
	klog.Info("pki: certificate files reloaded")
	return true
}

// fingerprint returns the files' sizes and modification times, to detect
// changes.
func (s *Store) fingerprint() string {
	text := ""
	for _, p := range []string{s.paths.Certificate, s.paths.Key, s.paths.Authority} {
		info, err := os.Stat(p)
		if err != nil {
			text += "absent;"
			continue
		}
		text += fmt.Sprintf("%d/%d;", info.ModTime().UnixNano(), info.Size())
	}
	return text
}

// checkExpiry sets the expiry metric and logs a warning if the certificate
// expires within expiryWarningWindow, at most once per expiryWarningInterval.
func (s *Store) checkExpiry() {
	notAfter := s.current.Load().certificate.Leaf.NotAfter
	expiry.Set(float64(notAfter.Unix()))
	now := s.now()
	if notAfter.Sub(now) > expiryWarningWindow || now.Sub(s.lastExpiryWarning) < expiryWarningInterval {
		return
	}
	s.lastExpiryWarning = now
	klog.Warningf("pki: certificate %s expires at %s", s.paths.Certificate, notAfter.Format(time.RFC3339))
}

// Server returns the configuration of a listener that accepts only peers of the
// fleet with one of the roles. Without roles, it accepts any role. The caller
// sets NextProtos.
func (s *Store) Server(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain against the latest roots.
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		VerifyConnection: func(c tls.ConnectionState) error { return s.verify(c, roles) },
	}
}

// Client returns the configuration of a connection to a peer of the fleet with
// one of the roles. Without roles, it accepts any role. The caller sets
// NextProtos.
func (s *Store) Client(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Peers are identified by fleet, role and VM name, not by host name.
		// VerifyConnection verifies the chain against the latest roots.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		VerifyConnection: func(c tls.ConnectionState) error { return s.verify(c, roles) },
	}
}

func leafChain(m *material) []*x509.Certificate {
	return []*x509.Certificate{m.certificate.Leaf}
}

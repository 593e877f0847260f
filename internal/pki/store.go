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
	// pollInterval is how often the files are looked at. They are polled
	// since a rename or a mount replaces them in ways that watches miss.
	pollInterval = 10 * time.Second
	// expiryWarning is how long before the expiry warnings begin.
	expiryWarningWindow = 14 * 24 * time.Hour
	// warnInterval is the time between two warnings.
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

// Store holds a process's certificate and authority. The TLS settings that it
// makes always use the newest loaded files. It is safe for concurrent use.
type Store struct {
	paths   Paths
	fleet   string
	now     func() time.Time
	current atomic.Pointer[material]

	// mu guards the fields below, which only reloading uses.
	mu                sync.Mutex
	loadedFingerprint string
	lastExpiryWarning time.Time
}

// Open loads the files. The error carries KeyMaterial.
func Open(p Paths, fleet string) (*Store, error) {
	s := &Store{paths: p, fleet: fleet, now: time.Now}
	s.loadedFingerprint = s.fingerprint()
	m, err := load(p)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	id, err := IdentityOf(tls.ConnectionState{PeerCertificates: leafChain(m)})
	if err != nil {
		return nil, trace.Wrap(result.New(result.KeyMaterial, "certificate %s names no fleet, role and VM", p.Certificate))
	}
	if id.Fleet != fleet {
		return nil, trace.Wrap(result.New(result.KeyMaterial, "certificate %s is of fleet %q, expected %q", p.Certificate, id.Fleet, fleet))
	}
	s.current.Store(m)
	s.checkExpiry()
	return s, nil
}

// Run polls the files until ctx ends.
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

// Reload loads the files if they have changed and reports whether it did.
// Files that don't fit together (a certificate whose key is still to come) are
// left for the next call; the loaded ones stay in use.
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
		klog.Warningf("pki: changed certificate files are not usable, the old ones stay: %v", err)
		return false
	}
	s.loadedFingerprint = fingerprint
	s.current.Store(m)
	reloads.WithLabelValues("ok").Inc()
	klog.Info("pki: certificate files reloaded")
	return true
}

// fingerprint changes when a file does.
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

// checkExpiry sets the metric and warns once an hour when the end is near.
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

// Server makes the settings of a listener that only accepts peers of the fleet
// with one of the roles; no roles means any. The caller sets NextProtos.
func (s *Store) Server(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified by VerifyConnection against the newest roots.
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		VerifyConnection: func(c tls.ConnectionState) error { return s.verify(c, roles) },
	}
}

// Client makes the settings of a connection to a peer of the fleet with one of
// the roles; no roles means any. The caller sets NextProtos.
func (s *Store) Client(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Peers are known by fleet, role and VM name, not by host name;
		// VerifyConnection checks the chain against the newest roots.
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

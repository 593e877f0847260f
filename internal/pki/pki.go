// Package pki holds the fleet's certificates: it creates them, loads them,
// reloads them when their files change, and makes the TLS settings by which
// peers and operators prove who they are.
package pki

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Roles of certificates. A certificate's organisation is the fleet, its
// organisational unit the role and its common name the VM.
const (
	RoleRouter   = "router"
	RoleAgent    = "agent"
	RoleOperator = "operator"
)

// Paths are the files of one process's certificate. They are read again when
// they change.
type Paths struct {
	// Certificate is the PEM certificate of this process. Required.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is the certificate's PEM private key. Required.
	Key string `yaml:"key" validate:"required"`
	// Authority is the fleet's PEM authority; it may hold several
	// certificates while authorities are exchanged. Required.
	Authority string `yaml:"authority" validate:"required"`
}

// material is one consistent set of loaded files.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

func load(p Paths) (*material, error) {
	cert, err := tls.LoadX509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, trace.Wrap(result.New(result.KeyMaterial, "certificate %s with key %s: %v", p.Certificate, p.Key, err))
	}
	pem, err := os.ReadFile(p.Authority)
	if err != nil {
		return nil, trace.Wrap(result.New(result.KeyMaterial, "authority: %v", err))
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, trace.Wrap(result.New(result.KeyMaterial, "authority %s holds no certificate", p.Authority))
	}
	return &material{certificate: cert, roots: roots}, nil
}

// IdentityOf gives the identity that the peer of a verified connection proved.
// Its incarnation is zero, since certificates hold none. The error carries
// PeerRefused.
func IdentityOf(s tls.ConnectionState) (peer.Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return peer.Identity{}, peerRefused("the peer showed no certificate")
	}
	subject := s.PeerCertificates[0].Subject
	if len(subject.Organization) != 1 || len(subject.OrganizationalUnit) != 1 || subject.CommonName == "" {
		return peer.Identity{}, peerRefused("the peer's certificate names no fleet, role and VM")
	}
	return peer.Identity{Fleet: subject.Organization[0], VM: subject.CommonName, Role: subject.OrganizationalUnit[0]}, nil
}

func peerRefused(format string, args ...any) error {
	return trace.Wrap(result.New(result.PeerRefused, format, args...))
}

// verify checks a peer's certificate against the authority, the fleet and the
// roles. It runs on every handshake, resumed ones too.
func (s *Store) verify(state tls.ConnectionState, roles []string) error {
	if len(state.PeerCertificates) == 0 {
		return peerRefused("the peer showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.current.Load().roots,
		Intermediates: intermediates,
		CurrentTime:   s.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return peerRefused("the peer's certificate is not valid here: %v", err)
	}
	id, err := IdentityOf(state)
	if err != nil {
		return trace.Wrap(err)
	}
	if id.Fleet != s.fleet {
		return peerRefused("the peer is of fleet %q, not %q", id.Fleet, s.fleet)
	}
	if len(roles) > 0 && !slices.Contains(roles, id.Role) {
		return peerRefused("the peer's role is %q, expected one of %v", id.Role, roles)
	}
	return nil
}

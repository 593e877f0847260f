// Package pki manages the fleet's certificates: it creates them, loads them,
// reloads them when their files change, and returns the TLS configurations with
// which peers and operators authenticate each other.
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

// Roles of certificates. A certificate's subject has the fleet as organization,
// the role as organizational unit and the VM as common name.
const (
	RoleRouter   = "router"
	RoleAgent    = "agent"
	RoleOperator = "operator"
)

// Paths are the paths of one process's certificate files. The files are
// reloaded when they change.
type Paths struct {
	// Certificate is the PEM certificate of this process. Required.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is the certificate's PEM private key. Required.
	Key string `yaml:"key" validate:"required"`
	// Authority is the fleet's PEM certificate authority. It may contain
	// several certificates during the rotation of the authority. Required.
	Authority string `yaml:"authority" validate:"required"`
}

// material is the content of one consistent set of files.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

func load(p Paths) (*material, error) {
	cert, err := tls.LoadX509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "certificate %s with key %s: %v", p.Certificate, p.Key, err))
	}
	pem, err := os.ReadFile(p.Authority)
	if err != nil {
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "authority: %v", err))
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "authority %s contains no certificate", p.Authority))
	}
	return &material{certificate: cert, roots: roots}, nil
}

// IdentityOf returns the identity of the peer of a verified connection. The
// incarnation is zero, since certificates do not contain one. The error code is
// PeerRefused.
func IdentityOf(s tls.ConnectionState) (peer.Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return peer.Identity{}, peerRefused("the peer presented no certificate")
	}
	subject := s.PeerCertificates[0].Subject
	if len(subject.Organization) != 1 || len(subject.OrganizationalUnit) != 1 || subject.CommonName == "" {
		return peer.Identity{}, peerRefused("the subject of the peer's certificate does not name a fleet, a role and a VM")
	}
	return peer.Identity{Fleet: subject.Organization[0], VM: subject.CommonName, Role: subject.OrganizationalUnit[0]}, nil
}

func peerRefused(format string, args ...any) error {
	return trace.Wrap(result.New(result.PeerRefused, format, args...))
}

// verify checks a peer's certificate against the authority, the fleet and the
// allowed roles. It runs on every handshake, including resumed sessions.
func (s *Store) verify(state tls.ConnectionState, roles []string) error {
	if len(state.PeerCertificates) == 0 {
		return peerRefused("the peer presented no certificate")
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
		return peerRefused("the peer's certificate is not valid: %v", err)
	}
	id, err := IdentityOf(state)
	if err != nil {
		return trace.Wrap(err)
	}
	if id.Fleet != s.fleet {
		return peerRefused("the peer belongs to fleet %q, expected %q", id.Fleet, s.fleet)
	}
	if len(roles) > 0 && !slices.Contains(roles, id.Role) {
		return peerRefused("the peer's role is %q, expected one of %v", id.Role, roles)
	}
	return nil
}

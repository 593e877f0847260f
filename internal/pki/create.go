package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Names of the created files. The files of a VM are "<vm>-<role>.pem" and
// "<vm>-<role>-key.pem".
const (
	AuthorityFile    = "ca.pem"
	AuthorityKeyFile = "ca-key.pem"
	SessionKeyFile   = "session.key"
	operatorName     = "operator"
)

const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 365 * 24 * time.Hour
	// maxClockSkew is how long before its creation a certificate becomes valid,
	// so that VMs with a slow clock accept a new certificate.
	maxClockSkew = 10 * time.Minute
	serialBits   = 120
	// SessionKeyBytes is the length of a session key in bytes.
	SessionKeyBytes = 32
)

// CertificateFile returns the file name of the certificate of a VM's role.
func CertificateFile(vm, role string) string { return vm + "-" + role + ".pem" }

// KeyFile returns the file name of the private key of a VM's role.
func KeyFile(vm, role string) string { return vm + "-" + role + "-key.pem" }

// Create writes the certificate authority, a router's and an agent's
// certificate for each VM, an operator's certificate ("operator.pem") and a
// session key into dir. It keeps existing files, so that a later call can add
// VMs under the same authority. It returns the names of the files written. The
// error code is KeyMaterial.
func Create(dir, fleet string, vms []string, now time.Time) ([]string, error) {
	c := &creator{dir: dir, fleet: fleet, now: now}
	err := c.create(vms)
	if err != nil {
		return c.written, trace.Wrap(result.New(result.KeyFilesInvalid, "keys in %s: %v", dir, err))
	}
	return c.written, nil
}

type creator struct {
	dir     string
	fleet   string
	now     time.Time
	written []string
	ca      *x509.Certificate
	caKey   *ecdsa.PrivateKey
}

func (c *creator) create(vms []string) error {
	if err := os.MkdirAll(c.dir, 0o700); err != nil {
		return err
	}
	if err := c.loadOrCreateAuthority(); err != nil {
		return err
	}
	for _, vm := range vms {
		for _, role := range []string{RoleRouter, RoleAgent} {
			if err := c.createCertificate(CertificateFile(vm, role), KeyFile(vm, role), vm, role); err != nil {
				return err
			}
		}
	}
	if err := c.createCertificate(operatorName+".pem", operatorName+"-key.pem", operatorName, RoleOperator); err != nil {
		return err
	}
	key := make([]byte, SessionKeyBytes)
	_, _ = rand.Read(key)
	return c.createFile(SessionKeyFile, []byte(hex.EncodeToString(key)+"\n"), 0o600)
}

func (c *creator) loadOrCreateAuthority() error {
	certPEM, err := os.ReadFile(filepath.Join(c.dir, AuthorityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return c.createAuthority()
	}
	if err != nil {
		return err
	}
	keyPEM, err := os.ReadFile(filepath.Join(c.dir, AuthorityKeyFile))
	if err != nil {
		return err
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return errors.New("the authority's files are not PEM")
	}
	if c.ca, err = x509.ParseCertificate(certBlock.Bytes); err != nil {
		return err
	}
	if len(c.ca.Subject.Organization) != 1 || c.ca.Subject.Organization[0] != c.fleet {
		return errors.New("the authority belongs to another fleet")
	}
	c.caKey, err = x509.ParseECPrivateKey(keyBlock.Bytes)
	return err
}

func (c *creator) createAuthority() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := c.template(c.fleet+" authority", "authority", authorityValidity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	if c.ca, err = x509.ParseCertificate(der); err != nil {
		return err
	}
	c.caKey = key
	return c.createPair(AuthorityFile, AuthorityKeyFile, der, key)
}

func (c *creator) createCertificate(certFile, keyFile, vm, role string) error {
	if _, err := os.Stat(filepath.Join(c.dir, certFile)); err == nil {
		return nil
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := c.template(vm, role, certificateValidity)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, c.ca, &key.PublicKey, c.caKey)
	if err != nil {
		return err
	}
	return c.createPair(certFile, keyFile, der, key)
}

func (c *creator) template(vm, role string, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			Organization:       []string{c.fleet},
			OrganizationalUnit: []string{role},
			CommonName:         vm,
		},
		NotBefore: c.now.Add(-maxClockSkew),
		NotAfter:  c.now.Add(validity),
	}
}

func (c *creator) createPair(certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := c.createFile(keyFile, keyPEM, 0o600); err != nil {
		return err
	}
	return c.createFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644)
}

// createFile writes a file unless it exists.
func (c *creator) createFile(name string, b []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(filepath.Join(c.dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	c.written = append(c.written, name)
	return nil
}

// SessionKeys reads a session key file, which has one hex-encoded key per line.
// The first key signs and all keys verify, so that keys can be rotated without
// breaking sessions. The error code is KeyMaterial.
func SessionKeys(path string) ([][]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "session keys: %v", err))
	}
	var keys [][]byte
	for i, line := range strings.Fields(string(b)) {
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != SessionKeyBytes {
			return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "session keys: key %d of %s is not %d bytes in hex", i+1, path, SessionKeyBytes))
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, trace.Wrap(result.New(result.KeyFilesInvalid, "session keys: %s contains no key", path))
	}
	return keys, nil
}

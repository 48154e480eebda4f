// Package keys creates the certificate authority and the host certificates for
// TLS between hosts.
//
// The authority signs one certificate for each host; its DNS name is the name of
// the host. Files are in PEM format, and private keys are readable only by their
// owner. Existing files are never overwritten.
package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/pkg/errors"
)

const (
	day               = 24 * time.Hour
	authorityValidity = 3650 * day // validity of the authority's certificate
	hostValidity      = 825 * day  // validity of a host's certificate
	maxClockSkew      = time.Hour  // tolerated difference between the clocks of hosts
	serialBits        = 120

	authorityName = "authority"
	certMode      = 0o644
	keyMode       = 0o600
)

var hostNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// An Authority is a certificate authority that signs host certificates. Use
// Create or Load to get one.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// Create creates an authority and writes authority.pem and authority.key into folder.
func Create(folder string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	tmpl, err := newTemplate(authorityName, now, authorityValidity)
	if err != nil {
		return nil, err
	}
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.MaxPathLenZero = true, true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	return &Authority{cert: cert, key: key}, writePair(folder, authorityName, der, key)
}

// Load reads the authority from folder. If there is none, the error matches
// os.ErrNotExist.
func Load(folder string) (*Authority, error) {
	certFile, keyFile := filePaths(folder, authorityName)
	if _, err := os.Stat(keyFile); err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "keys: %s", certFile)
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, errors.Errorf("keys: %s is not an authority", certFile)
	}
	return &Authority{cert: pair.Leaf, key: signer}, nil
}

// IssueHost creates the private key of a host and its certificate, signed by the
// authority, and writes NAME.key and NAME.pem into folder.
func (a *Authority) IssueHost(folder, name string, addresses []netip.Addr, now time.Time) error {
	if !hostNamePattern.MatchString(name) || name == authorityName {
		return errors.Errorf("keys: %q is no name of a host", name)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	tmpl, err := newTemplate(name, now, hostValidity)
	if err != nil {
		return err
	}
	tmpl.DNSNames = []string{name}
	for _, address := range addresses {
		tmpl.IPAddresses = append(tmpl.IPAddresses, net.IP(address.AsSlice()))
	}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	return writePair(folder, name, der, key)
}

// newTemplate returns the fields common to all certificates, with a random serial
// number and a validity that starts before now to tolerate clock skew.
func newTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(valid),
	}, nil
}

// filePaths returns the paths of the certificate and the key of name in folder.
func filePaths(folder, name string) (cert, key string) {
	return filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key")
}

// writePair writes the private key and the certificate. The key is written first,
// so that a certificate never exists without its key.
func writePair(folder, name string, der []byte, key crypto.Signer) error {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	certFile, keyFile := filePaths(folder, name)
	if err := writePEM(keyFile, "PRIVATE KEY", private, keyMode); err != nil {
		return err
	}
	return writePEM(certFile, "CERTIFICATE", der, certMode)
}

// writePEM writes a new file with one PEM block. It fails if the file exists.
func writePEM(file, blockType string, content []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	if err := pem.Encode(f, &pem.Block{Type: blockType, Bytes: content}); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "keys")
	}
	return errors.Wrap(f.Close(), "keys")
}

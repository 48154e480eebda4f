// Package keys makes the authority and the host certificates of the link
// between hosts.
//
// The authority signs one certificate for each host, whose DNS name is the
// host's name. Files are PEM; private keys are readable by their owner only.
// No file that exists is overwritten.
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
	day           = 24 * time.Hour
	authorityTime = 3650 * day // validity of an authority
	hostTime      = 825 * day  // validity of a host's certificate
	skew          = time.Hour  // by which clocks may differ
	serialBits    = 120

	authorityName = "authority"
	certMode      = 0o644
	keyMode       = 0o600
)

var hostForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// An Authority signs the certificates of hosts. Use Create or Load.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// Create makes an authority and writes authority.pem and authority.key into folder.
func Create(folder string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	form, err := template(authorityName, now, authorityTime)
	if err != nil {
		return nil, err
	}
	form.IsCA, form.BasicConstraintsValid, form.MaxPathLenZero = true, true, true
	form.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, form, form, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	return &Authority{cert: cert, key: key}, write(folder, authorityName, der, key)
}

// Load reads the authority from folder. It fails with an error that
// os.IsNotExist knows as the cause where there is none.
func Load(folder string) (*Authority, error) {
	certFile, keyFile := files(folder, authorityName)
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

// IssueHost makes a host's certificate and key and writes NAME.pem and NAME.key into folder.
func (a *Authority) IssueHost(folder, name string, addresses []netip.Addr, now time.Time) error {
	if !hostForm.MatchString(name) || name == authorityName {
		return errors.Errorf("keys: %q is no name of a host", name)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	form, err := template(name, now, hostTime)
	if err != nil {
		return err
	}
	form.DNSNames = []string{name}
	for _, address := range addresses {
		form.IPAddresses = append(form.IPAddresses, net.IP(address.AsSlice()))
	}
	form.KeyUsage = x509.KeyUsageDigitalSignature
	form.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, form, a.cert, key.Public(), a.key)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	return write(folder, name, der, key)
}

func template(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-skew),
		NotAfter:     now.Add(valid),
	}, nil
}

func files(folder, name string) (cert, key string) {
	return filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key")
}

// write writes the key first, so that a certificate never stands without one.
func write(folder, name string, der []byte, key crypto.Signer) error {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	certFile, keyFile := files(folder, name)
	if err := writeFile(keyFile, "PRIVATE KEY", private, keyMode); err != nil {
		return err
	}
	return writeFile(certFile, "CERTIFICATE", der, certMode)
}

func writeFile(file, kind string, content []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: content}); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "keys")
	}
	return errors.Wrap(f.Close(), "keys")
}

package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// protocols are the ALPN names of the versions of the protocol that this build speaks, the
// preferred one first. A host of version 1 refuses messages of which it doesn't know all
// fields; hosts of later versions ignore what they don't know.
var protocols = []string{"jacinthstage/2", firstProtocol}

// Protocols returns the versions of the protocol that this build speaks.
func Protocols() []string { return slices.Clone(protocols) }

const firstProtocol = "jacinthstage/1"

// Credentials names the PEM files with which a host authenticates to its peers.
// The host's name is the first DNS name of its certificate.
type Credentials struct {
	Authority   string // certificate of the CA that signs the certificates of all hosts
	Certificate string // this host's certificate
	Key         string // its private key
}

// An Identity is a loaded set of Credentials. Use Load or Ephemeral to make one.
type Identity struct {
	// Name is this host's name.
	Name        string
	certificate tls.Certificate
	authorities *x509.CertPool
	// resetKey is the QUIC stateless reset key. It is the same for every
	// incarnation of the host, so that a restarted host can end the connections
	// of its previous incarnation.
	resetKey quic.StatelessResetKey
	// unverified means that there is no common CA, so that the certificates of
	// peers aren't verified.
	unverified bool
}

// Load reads the files. An error names the file that caused it.
func (c Credentials) Load() (*Identity, error) {
	authority, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "peer: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("peer: no certificate in %s", c.Authority)
	}
	pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: %s and %s", c.Certificate, c.Key)
	}
	return newIdentity(pair, pool)
}

// Ephemeral returns an identity with a newly generated key, for hosts without
// credentials. Connections are encrypted, but the names of peers aren't
// authenticated.
func Ephemeral(name string) (*Identity, error) { return EphemeralOf(name, "") }

// EphemeralOf is Ephemeral for a host that tells its peers its build.
func EphemeralOf(name, build string) (*Identity, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "peer: key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{name}, Subject: pkix.Name{OrganizationalUnit: []string{build}},
		NotBefore: time.Now().Add(-ephemeralValidity), NotAfter: time.Now().Add(ephemeralValidity),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, errors.Wrap(err, "peer: certificate")
	}
	leaf, err := x509.ParseCertificate(certificate)
	if err != nil {
		return nil, errors.Wrap(err, "peer: certificate")
	}
	identity, err := newIdentity(tls.Certificate{Certificate: [][]byte{certificate}, PrivateKey: private, Leaf: leaf}, nil)
	if err != nil {
		return nil, err
	}
	identity.unverified = true
	return identity, nil
}

// ephemeralValidity is how long an ephemeral certificate is valid before and
// after the time of its creation.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

func newIdentity(certificate tls.Certificate, authorities *x509.CertPool) (*Identity, error) {
	name, err := certificateName(certificate.Leaf)
	if err != nil {
		return nil, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "peer: private key")
	}
	resetKey := sha256.Sum256(append([]byte("peer: stateless reset"), key...))
	return &Identity{Name: name, certificate: certificate, authorities: authorities, resetKey: resetKey}, nil
}

// certificateName returns the first DNS name of a certificate.
func certificateName(leaf *x509.Certificate) (string, error) {
	if leaf == nil || len(leaf.DNSNames) == 0 {
		return "", errors.New("peer: certificate has no DNS name")
	}
	return leaf.DNSNames[0], nil
}

// serverTLS returns the TLS configuration for incoming connections. Unless the
// identity is unverified, the handshake rejects peers without a certificate
// signed by the CA.
func (i *Identity) serverTLS() *tls.Config {
	c := &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.authorities,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
	}
	if i.unverified {
		c.ClientAuth = tls.RequireAnyClientCert
	}
	return c
}

// clientTLS returns the TLS configuration for a connection to the named host.
func (i *Identity) clientTLS(name string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		RootCAs:      i.authorities,
		ServerName:   name,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,

		InsecureSkipVerify: i.unverified,
	}
}

package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// protocol is the ALPN name of the link.
const protocol = "jacinthstage/1"

// Credentials are the files, in PEM, by which a host proves its name to its
// peers. The name is the certificate's first DNS name.
type Credentials struct {
	Authority   string // certificate of the authority that signs all hosts
	Certificate string // this host's certificate
	Key         string // its private key
}

// An Identity is what Credentials hold. Its zero value proves nothing.
type Identity struct {
	// Name is this host's name.
	Name        string
	certificate tls.Certificate
	authorities *x509.CertPool
	// resetKey is the key of stateless resets: the same for each incarnation of
	// the host, so that a restarted one can end its old connections.
	resetKey quic.StatelessResetKey
	// unverified says that peers' certificates have no authority in common.
	unverified bool
}

// Load reads the files. Its error names the one at fault.
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

// Ephemeral returns an identity with a key made now, for hosts that are given no
// credentials. The link is encrypted, but a peer's name isn't proved.
func Ephemeral(name string) (*Identity, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "peer: key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{name},
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

// ephemeralValidity is how long before and after its making an ephemeral certificate is valid.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

func newIdentity(pair tls.Certificate, pool *x509.CertPool) (*Identity, error) {
	name, err := certificateName(pair.Leaf)
	if err != nil {
		return nil, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "peer: private key")
	}
	reset := sha256.Sum256(append([]byte("peer: stateless reset"), key...))
	return &Identity{Name: name, certificate: pair, authorities: pool, resetKey: reset}, nil
}

func certificateName(leaf *x509.Certificate) (string, error) {
	if leaf == nil || len(leaf.DNSNames) == 0 {
		return "", errors.New("peer: certificate without a DNS name")
	}
	return leaf.DNSNames[0], nil
}

// serverTLS returns the TLS settings for incoming connections: a peer without a
// certificate of the authority is refused in the handshake.
func (i *Identity) serverTLS() *tls.Config {
	c := &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.authorities,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
	}
	if i.unverified {
		c.ClientAuth = tls.RequireAnyClientCert
	}
	return c
}

// clientTLS returns the TLS settings for a connection to the host called name.
func (i *Identity) clientTLS(name string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		RootCAs:      i.authorities,
		ServerName:   name,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},

		InsecureSkipVerify: i.unverified,
	}
}

package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"

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
	Name string
	pair tls.Certificate
	pool *x509.CertPool
	// reset is the key of stateless resets: the same for each incarnation of
	// the host, so that a restarted one can end its old connections.
	reset quic.StatelessResetKey
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
	return identify(pair, pool)
}

func identify(pair tls.Certificate, pool *x509.CertPool) (*Identity, error) {
	name, err := nameOf(pair.Leaf)
	if err != nil {
		return nil, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "peer: private key")
	}
	reset := sha256.Sum256(append([]byte("peer: stateless reset"), key...))
	return &Identity{Name: name, pair: pair, pool: pool, reset: reset}, nil
}

func nameOf(leaf *x509.Certificate) (string, error) {
	if leaf == nil || len(leaf.DNSNames) == 0 {
		return "", errors.New("peer: certificate without a DNS name")
	}
	return leaf.DNSNames[0], nil
}

// server returns the TLS settings for incoming connections: a peer without a
// certificate of the authority is refused in the handshake.
func (i *Identity) server() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.pool,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
	}
}

// client returns the TLS settings for a connection to the host called name.
func (i *Identity) client(name string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.pair},
		RootCAs:      i.pool,
		ServerName:   name,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
	}
}

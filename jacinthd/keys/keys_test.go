package keys_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/keys"
)

func TestHostIsSignedByItsAuthority(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	_, err := keys.Load(dir)
	require.ErrorIs(t, err, os.ErrNotExist)
	_, err = keys.Create(dir, now)
	require.NoError(t, err)
	authority, err := keys.Load(dir)
	require.NoError(t, err)
	require.NoError(t, authority.IssueHost(dir, "entry-1", []netip.Addr{netip.MustParseAddr("127.0.0.1")}, now))

	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "entry-1.pem"), filepath.Join(dir, "entry-1.key"))
	require.NoError(t, err)
	own := x509.NewCertPool()
	text, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	require.NoError(t, err)
	require.True(t, own.AppendCertsFromPEM(text))
	for _, name := range []string{"entry-1", "127.0.0.1"} {
		_, err = pair.Leaf.Verify(x509.VerifyOptions{Roots: own, DNSName: name, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
		require.NoError(t, err)
	}
	_, err = pair.Leaf.Verify(x509.VerifyOptions{Roots: own, DNSName: "entry-2"})
	require.Error(t, err)
	_, err = pair.Leaf.Verify(x509.VerifyOptions{Roots: x509.NewCertPool()})
	require.Error(t, err)

	info, err := os.Stat(filepath.Join(dir, "entry-1.key"))
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	require.ErrorIs(t, authority.IssueHost(dir, "entry-1", nil, now), os.ErrExist)
	require.Error(t, authority.IssueHost(dir, "../entry", nil, now))
	require.Error(t, authority.IssueHost(dir, "authority", nil, now))
	_, err = keys.Create(dir, now)
	require.ErrorIs(t, err, os.ErrExist)
}

package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/verdict"
)

// An authority signs the certificates of a test's hosts.
type authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	path string
}

func writePEM(t testing.TB, kind string, der []byte) string {
	path := filepath.Join(t.TempDir(), "x.pem")
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

func newAuthority(t testing.TB) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, Subject: pkix.Name{CommonName: "authority"},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t, cert, key, writePEM(t, "CERTIFICATE", der)}
}

// identity makes a key and certificate and loads them as a host does.
func (a *authority) identity(name string) *peer.Identity {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	identity, err := peer.Credentials{Authority: a.path, Certificate: writePEM(a.t, "CERTIFICATE", der), Key: writePEM(a.t, "PRIVATE KEY", private)}.Load()
	require.NoError(a.t, err)
	require.Equal(a.t, name, identity.Name)
	return identity
}

const silence = 300 * time.Millisecond

func newLink(t testing.TB, identity *peer.Identity, addr string) *peer.Link {
	conn, err := net.ListenPacket("udp", addr)
	require.NoError(t, err)
	return &peer.Link{Identity: identity, Conn: conn, LivenessTimeout: silence, Region: func(name string) string { return "of-" + name }}
}

func addrOf(l *peer.Link) netip.AddrPort {
	return netip.MustParseAddrPort(l.Conn.LocalAddr().String())
}

// serve runs handler on a new link until the test ends.
func serve(t testing.TB, identity *peer.Identity, handler peer.Handler) *peer.Link {
	link := newLink(t, identity, "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- link.Serve(ctx, handler) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		_ = link.Close()
	})
	return link
}

func client(t testing.TB, identity *peer.Identity) *peer.Link {
	link := newLink(t, identity, "127.0.0.1:0")
	t.Cleanup(func() { _ = link.Close() })
	return link
}

// echo answers each call with its own message, and Config with a refusal.
func echo(_ context.Context, _ string, first peer.Message, stream *peer.Stream) {
	if _, ok := first.(peer.ConfigVersion); ok {
		_ = stream.Send(peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Busy, Message: "none left"})
		return
	}
	_ = stream.Send(first)
}

func bounded(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestCall(t *testing.T) {
	a := newAuthority(t)
	names := make(chan string, 1)
	server := serve(t, a.identity("entry-1"), func(ctx context.Context, name string, first peer.Message, stream *peer.Stream) {
		select {
		case names <- name:
		default:
		}
		echo(ctx, name, first, stream)
	})
	link := client(t, a.identity("entry-2"))
	got, err := link.Call(bounded(t), addrOf(server), "entry-1", peer.Drained{Runner: "r", Epoch: 4})
	require.NoError(t, err)
	require.Equal(t, peer.Drained{Runner: "r", Epoch: 4}, got)
	require.Equal(t, "entry-2", <-names)
	_, err = link.Call(bounded(t), addrOf(server), "entry-1", peer.ConfigVersion{})
	var refusal *verdict.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, verdict.Busy, refusal.Code)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Equal(t, link.Bytes("of-entry-1").Sent(), server.Bytes("of-entry-2").Received())
	require.Positive(t, server.Bytes("of-entry-2").Sent())
}

func TestWithoutGoodCertificateNoAnswer(t *testing.T) {
	a := newAuthority(t)
	called := atomic.Bool{}
	server := serve(t, a.identity("entry-1"), func(context.Context, string, peer.Message, *peer.Stream) { called.Store(true) })
	stranger := client(t, newAuthority(t).identity("entry-2"))
	_, err := stranger.Call(bounded(t), addrOf(server), "entry-1", peer.Ack{})
	require.Error(t, err, "neither trusts the other")
	foreign := newAuthority(t)
	foreign.path = a.path
	forger := client(t, foreign.identity("entry-2"))
	_, err = forger.Call(bounded(t), addrOf(server), "entry-1", peer.Ack{})
	require.Error(t, err, "only the host trusts its peer")
	misled := client(t, a.identity("entry-2"))
	_, err = misled.Call(bounded(t), addrOf(server), "entry-3", peer.Ack{})
	require.Equal(t, verdict.NotRun, verdict.Of(err), "the host there is not entry-3")
	require.False(t, called.Load())
}

func TestUnreachedPeerDidNotRunAndIsTriedAgain(t *testing.T) {
	a := newAuthority(t)
	link := client(t, a.identity("entry-2"))
	server := newLink(t, a.identity("entry-1"), "127.0.0.1:0")
	addr := addrOf(server)
	_, err := link.Call(bounded(t), addr, "entry-1", peer.Ack{})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	serving, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(serving, echo) }()
	defer func() {
		stop()
		require.NoError(t, <-done)
		_ = server.Close()
	}()
	require.Eventually(t, func() bool {
		_, err := link.Call(bounded(t), addr, "entry-1", peer.Ack{})
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
}

// A wire hands datagrams on between one client and a server, or drops them.
type wire struct {
	front, back *net.UDPConn
	drop        atomic.Bool
	client      atomic.Pointer[netip.AddrPort]
}

func newWire(t testing.TB, to netip.AddrPort) (*wire, netip.AddrPort) {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	r := &wire{front: front, back: back}
	t.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
	})
	go r.forth()
	go r.homeward()
	return r, netip.MustParseAddrPort(front.LocalAddr().String())
}

func (r *wire) forth() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		r.client.Store(&from)
		if !r.drop.Load() {
			_, _ = r.back.Write(buffer[:n])
		}
	}
}

func (r *wire) homeward() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := r.back.Read(buffer)
		if err != nil {
			return
		}
		if !r.drop.Load() {
			_, _ = r.front.WriteToUDPAddrPort(buffer[:n], *r.client.Load())
		}
	}
}

// A connection that goes silent ends the calls on it at both ends, and a later
// call goes over a new one.
func TestSilentPeer(t *testing.T) {
	a := newAuthority(t)
	ended := make(chan bool, 1)
	server := serve(t, a.identity("entry-1"), func(ctx context.Context, name string, first peer.Message, stream *peer.Stream) {
		if _, ok := first.(peer.Drained); !ok {
			echo(ctx, name, first, stream)
			return
		}
		_ = stream.Send(peer.Ack{})
		<-ctx.Done()
		ended <- stream.ConnectionLost()
	})
	wire, addr := newWire(t, addrOf(server))
	link := client(t, a.identity("entry-2"))
	stream, err := link.Open(bounded(t), addr, "entry-1", peer.Drained{})
	require.NoError(t, err)
	defer stream.Close()
	_, err = stream.Recv()
	require.NoError(t, err)
	wire.drop.Store(true)
	_, err = stream.Recv()
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.True(t, stream.ConnectionLost())
	require.True(t, <-ended, "the server's end must see a lost connection")
	wire.drop.Store(false)
	require.Eventually(t, func() bool {
		_, err := link.Call(bounded(t), addr, "entry-1", peer.Ack{})
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
}

// A caller that gives up one call ends it at the peer; the connection stays.
func TestGivenUpCall(t *testing.T) {
	a := newAuthority(t)
	ended := make(chan bool, 1)
	server := serve(t, a.identity("entry-1"), func(ctx context.Context, _ string, _ peer.Message, stream *peer.Stream) {
		_ = stream.Send(peer.Ack{})
		<-ctx.Done()
		ended <- stream.ConnectionLost()
	})
	link := client(t, a.identity("entry-2"))
	ctx, cancel := context.WithCancel(bounded(t))
	stream, err := link.Open(ctx, addrOf(server), "entry-1", peer.Ack{})
	require.NoError(t, err)
	defer stream.Close()
	_, err = stream.Recv()
	require.NoError(t, err)
	cancel()
	require.False(t, <-ended, "only the call ended")
	_, err = stream.Recv()
	require.Error(t, err)
}

func TestOversizeMessageIsNotSent(t *testing.T) {
	a := newAuthority(t)
	server := serve(t, a.identity("entry-1"), echo)
	link := client(t, a.identity("entry-2"))
	_, err := link.Call(bounded(t), addrOf(server), "entry-1", peer.Suspect{Fingerprint: string(make([]byte, peer.MaxMessage))})
	require.Error(t, err)
	_, err = link.Call(bounded(t), addrOf(server), "entry-1", peer.Ack{})
	require.NoError(t, err, "the connection goes on")
}

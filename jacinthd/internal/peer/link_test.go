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

// An authority is a CA that signs the certificates of a test's hosts.
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

// identity creates a key and certificate and loads them as a host does.
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

// livenessTimeout keeps the tests with a silent connection short.
const livenessTimeout = 300 * time.Millisecond

func newLink(t testing.TB, identity *peer.Identity, addr string) *peer.Link {
	conn, err := net.ListenPacket("udp", addr)
	require.NoError(t, err)
	return &peer.Link{Identity: identity, Conn: conn, LivenessTimeout: livenessTimeout, Region: func(name string) string { return "of-" + name }}
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

// echo answers each call with the message received, and a ConfigVersion with a
// refusal.
func echo(_ context.Context, _ string, first peer.Message, stream *peer.Stream) {
	if _, ok := first.(peer.ConfigVersion); ok {
		_ = stream.Send(peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Busy, Message: "none left"})
		return
	}
	_ = stream.Send(first)
}

// testContext returns a context that limits a call to 20 s.
func testContext(t testing.TB) context.Context {
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
	got, err := link.Call(testContext(t), addrOf(server), "entry-1", peer.Drained{Runner: "r", Epoch: 4})
	require.NoError(t, err)
	require.Equal(t, peer.Drained{Runner: "r", Epoch: 4}, got)
	require.Equal(t, "entry-2", <-names)
	_, err = link.Call(testContext(t), addrOf(server), "entry-1", peer.ConfigVersion{})
	var refusal *verdict.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, verdict.Busy, refusal.Code)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Equal(t, link.Bytes("of-entry-1").Sent(), server.Bytes("of-entry-2").Received())
	require.Positive(t, server.Bytes("of-entry-2").Sent())
}

// TestPanicEndsOneCall guards against a message whose handling panics and ends the process, with
// all its other requests. The caller learns nothing, since the message may have had an effect.
func TestPanicEndsOneCall(t *testing.T) {
	a := newAuthority(t)
	server := serve(t, a.identity("entry-1"), func(ctx context.Context, name string, first peer.Message, stream *peer.Stream) {
		if _, ok := first.(peer.ConfigVersion); ok {
			panic("unexpected")
		}
		echo(ctx, name, first, stream)
	})
	link := client(t, a.identity("entry-2"))
	for range 3 {
		_, err := link.Call(testContext(t), addrOf(server), "entry-1", peer.ConfigVersion{})
		require.Error(t, err)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		got, err := link.Call(testContext(t), addrOf(server), "entry-1", peer.Drained{Runner: "r", Epoch: 4})
		require.NoError(t, err)
		require.Equal(t, peer.Drained{Runner: "r", Epoch: 4}, got)
	}
}

// TestInvalidCertificates checks that a call fails without reaching the handler if
// either side doesn't trust the other or the host has another name.
func TestInvalidCertificates(t *testing.T) {
	a := newAuthority(t)
	called := atomic.Bool{}
	server := serve(t, a.identity("entry-1"), func(context.Context, string, peer.Message, *peer.Stream) { called.Store(true) })
	stranger := client(t, newAuthority(t).identity("entry-2"))
	_, err := stranger.Call(testContext(t), addrOf(server), "entry-1", peer.Ack{})
	require.Error(t, err, "neither side trusts the other")
	foreign := newAuthority(t)
	foreign.path = a.path
	forger := client(t, foreign.identity("entry-2"))
	_, err = forger.Call(testContext(t), addrOf(server), "entry-1", peer.Ack{})
	require.Error(t, err, "only the client trusts its peer")
	misled := client(t, a.identity("entry-2"))
	_, err = misled.Call(testContext(t), addrOf(server), "entry-3", peer.Ack{})
	require.Equal(t, verdict.NotRun, verdict.Of(err), "the host there is not entry-3")
	require.False(t, called.Load())
}

// TestUnreachablePeer checks that a call to an unreachable peer is reported as not
// run, and that the peer is dialed again later.
func TestUnreachablePeer(t *testing.T) {
	a := newAuthority(t)
	link := client(t, a.identity("entry-2"))
	server := newLink(t, a.identity("entry-1"), "127.0.0.1:0")
	addr := addrOf(server)
	_, err := link.Call(testContext(t), addr, "entry-1", peer.Ack{})
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
		_, err := link.Call(testContext(t), addr, "entry-1", peer.Ack{})
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
}

// A proxy forwards datagrams between one client and a server, or drops them.
type proxy struct {
	front, back *net.UDPConn
	drop        atomic.Bool
	client      atomic.Pointer[netip.AddrPort]
}

func newProxy(t testing.TB, to netip.AddrPort) (*proxy, netip.AddrPort) {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	p := &proxy{front: front, back: back}
	t.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
	})
	go p.forwardRequests()
	go p.forwardResponses()
	return p, netip.MustParseAddrPort(front.LocalAddr().String())
}

func (p *proxy) forwardRequests() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p.client.Store(&from)
		if !p.drop.Load() {
			_, _ = p.back.Write(buffer[:n])
		}
	}
}

func (p *proxy) forwardResponses() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := p.back.Read(buffer)
		if err != nil {
			return
		}
		if !p.drop.Load() {
			_, _ = p.front.WriteToUDPAddrPort(buffer[:n], *p.client.Load())
		}
	}
}

// TestSilentConnection checks that a connection that goes silent ends its calls on
// both sides, and that a later call uses a new connection.
func TestSilentConnection(t *testing.T) {
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
	proxy, addr := newProxy(t, addrOf(server))
	link := client(t, a.identity("entry-2"))
	stream, err := link.Open(testContext(t), addr, "entry-1", peer.Drained{})
	require.NoError(t, err)
	defer stream.Close()
	_, err = stream.Recv()
	require.NoError(t, err)
	proxy.drop.Store(true)
	_, err = stream.Recv()
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.True(t, stream.ConnectionLost())
	require.True(t, <-ended, "the server must see a lost connection")
	proxy.drop.Store(false)
	require.Eventually(t, func() bool {
		_, err := link.Call(testContext(t), addr, "entry-1", peer.Ack{})
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
}

// TestCancelledCall checks that cancelling one call ends it at the peer and leaves
// the connection open.
func TestCancelledCall(t *testing.T) {
	a := newAuthority(t)
	ended := make(chan bool, 1)
	server := serve(t, a.identity("entry-1"), func(ctx context.Context, _ string, _ peer.Message, stream *peer.Stream) {
		_ = stream.Send(peer.Ack{})
		<-ctx.Done()
		ended <- stream.ConnectionLost()
	})
	link := client(t, a.identity("entry-2"))
	ctx, cancel := context.WithCancel(testContext(t))
	stream, err := link.Open(ctx, addrOf(server), "entry-1", peer.Ack{})
	require.NoError(t, err)
	defer stream.Close()
	_, err = stream.Recv()
	require.NoError(t, err)
	cancel()
	require.False(t, <-ended, "only the call must end")
	_, err = stream.Recv()
	require.Error(t, err)
}

func TestOversizeMessageIsNotSent(t *testing.T) {
	a := newAuthority(t)
	server := serve(t, a.identity("entry-1"), echo)
	link := client(t, a.identity("entry-2"))
	_, err := link.Call(testContext(t), addrOf(server), "entry-1", peer.Suspect{Fingerprint: string(make([]byte, peer.MaxMessage))})
	require.Error(t, err)
	_, err = link.Call(testContext(t), addrOf(server), "entry-1", peer.Ack{})
	require.NoError(t, err, "the connection stays usable")
}

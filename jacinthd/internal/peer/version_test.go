package peer_test

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/verdict"
)

// unknownFrame is a message of a kind that no build has.
var unknownFrame = []byte{0, 0, 0, 2, 200, 0xa0}

// A listener is a link whose handler puts the messages that it receives into a channel.
type listener struct {
	address  net.Addr
	received chan peer.Message

	mu         sync.Mutex
	versions   map[string]peer.Version
	unreadable []bool // whether each was another one on its connection
}

func startListener(t *testing.T) *listener {
	identity, err := peer.EphemeralOf("host-0", "b0")
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	l := &listener{address: socket.LocalAddr(), received: make(chan peer.Message, 8), versions: make(map[string]peer.Version)}
	link := &peer.Link{Identity: identity, Conn: socket, OnVersion: func(name string, v peer.Version) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.versions[name] = v
	}, OnUnreadable: func(_ string, _ error, again bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.unreadable = append(l.unreadable, again)
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- link.Serve(ctx, func(_ context.Context, _ string, first peer.Message, s *peer.Stream) {
			l.received <- first
			for {
				m, err := s.Recv()
				if err != nil {
					return
				}
				l.received <- m
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		require.NoError(t, link.Close())
	})
	return l
}

// dial connects to the listener as a host that speaks some versions of the protocol.
func (l *listener) dial(t *testing.T, name string, protocols ...string) *quic.Conn {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, l.address.String(), &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: private}}, NextProtos: protocols, InsecureSkipVerify: true,
	}, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	return conn
}

func (l *listener) state() (map[string]peer.Version, []bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions := make(map[string]peer.Version)
	for name, v := range l.versions {
		versions[name] = v
	}
	return versions, append([]bool(nil), l.unreadable...)
}

// TestVersionsOfPeers checks that the lower version of the protocol is spoken, and that a host
// knows the builds of the others.
func TestVersionsOfPeers(t *testing.T) {
	l := startListener(t)
	l.dial(t, "first", "jacinthstage/1")
	l.dial(t, "later", "jacinthstage/3", "jacinthstage/2", "jacinthstage/1")
	identity, err := peer.EphemeralOf("host-1", "b1")
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	link := &peer.Link{Identity: identity, Conn: socket}
	t.Cleanup(func() { _ = link.Close() })
	require.NoError(t, link.Connect(context.Background(), l.address.(*net.UDPAddr).AddrPort(), "host-0"))
	require.Equal(t, peer.Version{Protocol: "jacinthstage/2", Build: "b0"}, link.Version("host-0"))
	require.Eventually(t, func() bool {
		versions, _ := l.state()
		return versions["first"].First() && versions["later"] == peer.Version{Protocol: "jacinthstage/2"} &&
			versions["host-1"] == peer.Version{Protocol: "jacinthstage/2", Build: "b1"}
	}, 5*time.Second, 10*time.Millisecond)
}

// TestUnknownKinds guards against a later build whose new messages end calls, connections or
// processes: a call that begins with one is refused as not run, and further ones are passed over.
func TestUnknownKinds(t *testing.T) {
	l := startListener(t)
	conn := l.dial(t, "later", "jacinthstage/2")
	for range 2 {
		stream, err := conn.OpenStream()
		require.NoError(t, err)
		_, err = stream.Write(unknownFrame)
		require.NoError(t, err)
		answer, err := peer.Read(bufio.NewReader(stream))
		require.NoError(t, err)
		require.IsType(t, peer.Refusal{}, answer)
		require.Equal(t, verdict.Malformed, answer.(peer.Refusal).Code)
		require.Equal(t, verdict.NotRun, answer.(peer.Refusal).Verdict)
	}
	_, unreadable := l.state()
	require.Equal(t, []bool{false, true}, unreadable)

	stream, err := conn.OpenStream()
	require.NoError(t, err)
	require.NoError(t, peer.Write(stream, peer.Ack{}))
	for range 3 {
		_, err = stream.Write(unknownFrame)
		require.NoError(t, err)
	}
	require.NoError(t, peer.Write(stream, peer.ProxyData{Data: []byte("a")}))
	require.Equal(t, peer.Ack{}, <-l.received)
	require.Equal(t, peer.ProxyData{Data: []byte("a")}, <-l.received)
	require.NoError(t, conn.Context().Err())
}

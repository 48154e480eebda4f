// Package peer is the link between hosts: QUIC with mutual TLS, a stream for
// each call, messages in CBOR.
//
// A Link both accepts connections and opens them, over one UDP socket. It keeps
// one connection for each peer that it calls, opens it again after a failure
// with a growing pause, and closes it when it was not used for a while. QUIC's
// keep-alive packets and idle timeout are the liveness deadline of a connection:
// one that went silent ends every call on it. An error is a *verdict.Error whose
// verdict is NotRun where nothing was sent; a Refusal from the peer carries the
// peer's own verdict.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"jacinthstage/stage/verdict"
)

const (
	// defaultSilence is the liveness deadline where a Link sets none.
	defaultSilence = 3 * time.Second
	// beats is the number of keep-alive packets within the liveness deadline.
	beats = 3
	// unused is how long a connection without calls is kept.
	unused = time.Minute
	// maxStreams is the number of calls at once from one peer.
	maxStreams = 16384
)

// Codes by which a side ends a stream or a connection.
const (
	streamGone quic.StreamErrorCode      = 1 // the caller no longer waits
	linkClosed quic.ApplicationErrorCode = 1 // the link or an unused connection is closed
)

// A Handler serves one call from the peer called name: it answers first on
// stream. ctx ends when the peer no longer waits or the connection ends. The
// stream is closed when the handler returns.
type Handler func(ctx context.Context, name string, first Message, stream *Stream)

// A Link is this host's end of the link. Identity and Conn must be set before
// the first call, the other fields may be.
type Link struct {
	Identity *Identity
	// Conn is the UDP socket. The Link closes it.
	Conn net.PacketConn
	// LivenessTimeout is the liveness deadline of connections, also while they open. 0 means 3 s.
	LivenessTimeout time.Duration
	// Region returns a peer's region, for the count of bytes. nil counts all in one.
	Region func(name string) string
	// Log gets what happens to connections. nil means none.
	Log *zap.Logger

	once      sync.Once
	transport *quic.Transport
	meter     meter

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

func (l *Link) open() *quic.Transport {
	l.once.Do(func() {
		l.transport = &quic.Transport{Conn: l.Conn, StatelessResetKey: &l.Identity.reset}
		if l.Log == nil {
			l.Log = zap.NewNop()
		}
	})
	return l.transport
}

func (l *Link) silence() time.Duration {
	if l.LivenessTimeout > 0 {
		return l.LivenessTimeout
	}
	return defaultSilence
}

func (l *Link) config() *quic.Config {
	silence := l.silence()
	return &quic.Config{
		HandshakeIdleTimeout:  silence,
		MaxIdleTimeout:        silence,
		KeepAlivePeriod:       silence / beats,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Serve accepts connections until ctx ends and hands each call to handler, on
// a goroutine of its own. The end of ctx ends the calls in progress too.
func (l *Link) Serve(ctx context.Context, handler Handler) error {
	listener, err := l.open().Listen(l.Identity.server(), l.config())
	if err != nil {
		return errors.Wrap(err, "peer: listen")
	}
	defer func() { _ = listener.Close() }()
	for {
		conn, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "peer: accept")
		}
		go l.accept(ctx, conn, handler)
	}
}

// accept serves the calls of one connection until it ends.
func (l *Link) accept(ctx context.Context, conn *quic.Conn, handler Handler) {
	name, err := nameOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		_ = conn.CloseWithError(linkClosed, "no name")
		return
	}
	l.Log.Debug("peer: connection from " + name)
	count := l.meter.of(l.region(name))
	for {
		raw, err := conn.AcceptStream(ctx)
		if err != nil {
			l.Log.Debug("peer: connection from "+name+" ended", zap.Error(err))
			return
		}
		go l.handle(ctx, name, newStream(raw, count), handler)
	}
}

func (l *Link) handle(ctx context.Context, name string, stream *Stream, handler Handler) {
	defer stream.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(stream.raw.Context(), cancel)()
	_ = stream.raw.SetReadDeadline(time.Now().Add(l.silence()))
	first, err := stream.Recv()
	if err != nil {
		l.Log.Info("peer: bad call from "+name, zap.Error(err))
		_ = stream.Send(Refusal{Verdict: verdict.NotRun, Code: verdict.Malformed, Message: "the message can't be read"})
		return
	}
	_ = stream.raw.SetReadDeadline(time.Time{})
	handler(ctx, name, first, stream)
}

// Call sends m to the host called name at addr and returns its one answer.
func (l *Link) Call(ctx context.Context, addr netip.AddrPort, name string, m Message) (Message, error) {
	stream, err := l.Open(ctx, addr, name, m)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	return stream.Recv()
}

// Open sends m, the only message of this side, to the host called name at addr
// and returns the stream of its answers, which ends with ctx. The caller closes it.
func (l *Link) Open(ctx context.Context, addr netip.AddrPort, name string, m Message) (*Stream, error) {
	p := l.peer(addr, name)
	conn, err := p.connect(ctx)
	if err != nil {
		return nil, refuse(err, name)
	}
	raw, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, refuse(err, name)
	}
	stream := newStream(raw, l.meter.of(l.region(name)))
	stream.done = p.use()
	stream.follow(ctx)
	if err := stream.Send(m); err != nil {
		stream.Close()
		return nil, err
	}
	_ = raw.Close() // a call has one message; the answers may still come
	return stream, nil
}

// An Unreached says that a host could not be reached: nothing was sent.
type UnreachableError struct{ Err *verdict.Error }

// Error returns the refusal's text.
func (u *UnreachableError) Error() string { return "peer: " + u.Err.Error() }

// Unwrap returns the refusal.
func (u *UnreachableError) Unwrap() error { return u.Err }

func refuse(cause error, name string) error {
	return &UnreachableError{verdict.Refuse(verdict.Unavailable, "host %s can't be reached: %v", name, cause)}
}

func (l *Link) peer(addr netip.AddrPort, name string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[addr]
	if !ok || p.name != name {
		if l.peers == nil {
			l.peers = map[netip.AddrPort]*peer{}
		}
		p = &peer{link: l, addr: addr, name: name}
		l.peers[addr] = p
	}
	return p
}

func (l *Link) region(name string) string {
	if l.Region == nil {
		return ""
	}
	return l.Region(name)
}

// Close ends all connections and closes the socket.
func (l *Link) Close() error {
	transport := l.open()
	l.mu.Lock()
	peers := l.peers
	l.peers = nil
	l.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
	return errors.Wrap(transport.Close(), "peer: close")
}

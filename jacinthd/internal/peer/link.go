// Package peer connects hosts with each other. It uses QUIC with mutual TLS, one
// stream for each call, and messages encoded in CBOR.
//
// A Link both accepts and opens connections, over a single UDP socket. It keeps
// one connection to each peer that it calls, reconnects with exponential backoff
// after a failure, and closes a connection that has been unused for a while.
// QUIC's keep-alive packets and idle timeout detect a connection that no longer
// responds, and all calls on it then end. An error is a *verdict.Error, or can be
// read as one with errors.As; its verdict is NotRun if nothing was sent. A Refusal
// from the peer carries the peer's own verdict.
package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"jacinthstage/stage/verdict"
)

const (
	// defaultLivenessTimeout is the liveness timeout of a Link that sets none.
	defaultLivenessTimeout = 3 * time.Second
	// keepAlivesPerTimeout is the number of keep-alive packets sent within the
	// liveness timeout.
	keepAlivesPerTimeout = 3
	// maxUnused is how long a connection without calls is kept open.
	maxUnused = time.Minute
	// maxStreams limits the concurrent calls from one peer.
	maxStreams = 16384
	// streamWindow and connectionWindow are the numbers of bytes that a host keeps of one call and
	// of all calls of a connection until they are read. Calls whose messages nobody reads must not
	// fill the connection, which would hold up all others.
	streamWindow     = 256 << 10
	connectionWindow = 8 << 20
)

// Error codes for closing streams and connections.
const (
	streamCancelled quic.StreamErrorCode      = 1 // the call was cancelled
	linkClosed      quic.ApplicationErrorCode = 1 // the link was closed, or the connection was unused or has no valid peer name
)

// A Handler serves one call from the named peer: it sends the response to the
// message first on stream. ctx ends when the peer cancels the call or the
// connection ends. The stream is closed when the handler returns.
type Handler func(ctx context.Context, name string, first Message, stream *Stream)

// A Link opens and accepts the connections between this host and its peers.
// Identity and Conn must be set before the first call; the other fields are
// optional.
type Link struct {
	Identity *Identity
	// Conn is the UDP socket. Close closes it.
	Conn net.PacketConn
	// LivenessTimeout is how long a connection may be silent before it counts as
	// lost. It also limits the handshake. 0 means 3 s.
	LivenessTimeout time.Duration
	// Region returns a peer's region, for the byte counters. If it is nil, one
	// counter covers all peers.
	Region func(name string) string
	// Log receives the events of connections. nil disables logging.
	Log *zap.Logger
	// OnVersion, if set, is called when a peer has another version than before.
	OnVersion func(name string, v Version)
	// OnUnreadable, if set, is called for each call whose first message can't be read. again
	// means that there was one on the same connection before.
	OnUnreadable func(name string, cause error, again bool)

	versions  versions
	once      sync.Once
	transport *quic.Transport
	counters  byteCounters

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// quicTransport returns the QUIC transport, and creates it on first use.
func (l *Link) quicTransport() *quic.Transport {
	l.once.Do(func() {
		l.transport = &quic.Transport{Conn: l.Conn, StatelessResetKey: &l.Identity.resetKey}
		if l.Log == nil {
			l.Log = zap.NewNop()
		}
	})
	return l.transport
}

func (l *Link) livenessTimeout() time.Duration {
	if l.LivenessTimeout > 0 {
		return l.LivenessTimeout
	}
	return defaultLivenessTimeout
}

func (l *Link) quicConfig() *quic.Config {
	timeout := l.livenessTimeout()
	return &quic.Config{
		HandshakeIdleTimeout:  timeout,
		MaxIdleTimeout:        timeout,
		KeepAlivePeriod:       timeout / keepAlivesPerTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,

		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
	}
}

// Serve accepts connections until ctx ends and runs handler for each call in its
// own goroutine. The end of ctx also ends the calls in progress.
func (l *Link) Serve(ctx context.Context, handler Handler) error {
	listener, err := l.quicTransport().Listen(l.Identity.serverTLS(), l.quicConfig())
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
		go l.serveConn(ctx, conn, handler)
	}
}

// serveConn serves the calls on one connection until it ends.
func (l *Link) serveConn(ctx context.Context, conn *quic.Conn, handler Handler) {
	name, err := certificateName(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		_ = conn.CloseWithError(linkClosed, "no name")
		return
	}
	l.Log.Debug("peer: connection from " + name)
	l.connected(name, conn)
	counter := l.counters.forRegion(l.region(name))
	var unreadable atomic.Bool
	for {
		raw, err := conn.AcceptStream(ctx)
		if err != nil {
			l.Log.Debug("peer: connection from "+name+" ended", zap.Error(err))
			return
		}
		go l.handle(ctx, name, newStream(raw, counter), handler, &unreadable)
	}
}

// handle reads the first message of a call and runs handler. A message of a later build is
// refused as one that did nothing. unreadable is set if there was one on the connection.
func (l *Link) handle(ctx context.Context, name string, stream *Stream, handler Handler, unreadable *atomic.Bool) {
	defer stream.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(stream.raw.Context(), cancel)()
	_ = stream.raw.SetReadDeadline(time.Now().Add(l.livenessTimeout()))
	first, err := stream.Recv()
	if err != nil {
		l.Log.Info("peer: unreadable message from "+name, zap.Error(err))
		if l.OnUnreadable != nil {
			l.OnUnreadable(name, err, unreadable.Swap(true))
		}
		_ = stream.Send(Refusal{Verdict: verdict.NotRun, Code: verdict.Malformed, Message: "the message can't be read"})
		return
	}
	_ = stream.raw.SetReadDeadline(time.Time{})
	defer l.recoverCall(name, first, stream)
	handler(ctx, name, first, stream)
}

// recoverCall ends a call whose handler panicked, so that one message can't end the process. The
// caller gets no answer: what it asked for may have been done.
func (l *Link) recoverCall(name string, first Message, stream *Stream) {
	if cause := recover(); cause != nil {
		stream.Cancel()
		l.Log.Error("peer: call ended by a panic", zap.String("host", name), zap.String("message", fmt.Sprintf("%T", first)), zap.Any("cause", cause), zap.Stack("stack"))
	}
}

// Call sends m to the named host at addr and returns its single response.
func (l *Link) Call(ctx context.Context, addr netip.AddrPort, name string, m Message) (Message, error) {
	stream, err := l.Open(ctx, addr, name, m)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	return stream.Recv()
}

// Connect opens the connection to the named host at addr unless it is open.
func (l *Link) Connect(ctx context.Context, addr netip.AddrPort, name string) error {
	if _, err := l.peer(addr, name).connect(ctx); err != nil {
		return unreachable(err, name)
	}
	return nil
}

// Open sends m to the named host at addr and returns the stream of its responses. Only the
// messages in more follow m from this side. The stream is cancelled when ctx ends. The
// caller must close it.
func (l *Link) Open(ctx context.Context, addr netip.AddrPort, name string, m Message, more ...Message) (*Stream, error) {
	p := l.peer(addr, name)
	conn, err := p.connect(ctx)
	if err != nil {
		return nil, unreachable(err, name)
	}
	raw, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, unreachable(err, name)
	}
	stream := newStream(raw, l.counters.forRegion(l.region(name)))
	stream.onClose = p.beginCall()
	stream.cancelWith(ctx)
	if err := stream.Send(append([]Message{m}, more...)...); err != nil {
		stream.Close()
		return nil, err
	}
	_ = raw.Close() // nothing more is sent; responses can still be read
	return stream, nil
}

// An UnreachableError means that a host could not be reached and that nothing was
// sent.
type UnreachableError struct{ Err *verdict.Error }

// Error returns the text of the wrapped error.
func (u *UnreachableError) Error() string { return "peer: " + u.Err.Error() }

// Unwrap returns the wrapped error.
func (u *UnreachableError) Unwrap() error { return u.Err }

func unreachable(cause error, name string) error {
	return &UnreachableError{verdict.Refuse(verdict.Unavailable, "host %s can't be reached: %v", name, cause)}
}

// peer returns the peer at addr, and creates it on first use or if the name at
// that address has changed.
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

// Close closes all connections and the socket.
func (l *Link) Close() error {
	transport := l.quicTransport()
	l.mu.Lock()
	peers := l.peers
	l.peers = nil
	l.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
	return errors.Wrap(transport.Close(), "peer: close")
}

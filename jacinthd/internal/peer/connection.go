package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

const (
	// minBackoff and maxBackoff bound the base delay after a failed connection
	// attempt, before jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// A peer is a remote host that this host calls, with the connection to it.
type peer struct {
	link *Link
	addr netip.AddrPort
	name string

	mu       sync.Mutex
	conn     *quic.Conn
	pending  *dialAttempt // dial in progress, or nil
	failures int
	// retryAt is the earliest time of the next dial after a failure.
	retryAt     time.Time
	activeCalls int
	// idleDeadline is when a connection without active calls is closed.
	idleDeadline time.Time
	idleTimer    *time.Timer
}

// A dialAttempt is one attempt to open a connection, shared by all calls that
// wait for it.
type dialAttempt struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

// connect returns the open connection, or dials if there is none. During the
// backoff after a failed dial it fails immediately.
func (p *peer) connect(ctx context.Context) (*quic.Conn, error) {
	p.mu.Lock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		defer p.mu.Unlock()
		return p.conn, nil
	}
	d := p.pending
	if d == nil && time.Now().Before(p.retryAt) {
		defer p.mu.Unlock()
		return nil, errors.New("failed a moment ago")
	}
	if d == nil {
		d = &dialAttempt{done: make(chan struct{})}
		p.pending = d
		go p.runDial(d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runDial dials and publishes the result to all calls that wait for d.
func (p *peer) runDial(d *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), p.link.livenessTimeout())
	defer cancel()
	d.conn, d.err = p.link.quicTransport().Dial(ctx, net.UDPAddrFromAddrPort(p.addr), p.link.Identity.clientTLS(p.name), p.link.quicConfig())
	if d.err == nil {
		p.link.connected(p.name, d.conn)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(d.done)
	p.pending = nil
	if d.err != nil {
		p.retryAt = time.Now().Add(p.backoff())
		p.failures++
		p.link.Log.Info("peer: failed to connect to "+p.name, zap.Error(d.err))
		return
	}
	p.conn = d.conn
	p.failures = 0
	p.startIdleTimer()
}

// backoff returns the delay before the next dial. It grows with each failure, and
// jitter keeps hosts from dialing at the same time.
func (p *peer) backoff() time.Duration {
	base := min(minBackoff<<min(p.failures, 10), maxBackoff)
	return base/2 + rand.N(base)
}

// beginCall counts a call as active until the returned function is called.
func (p *peer) beginCall() (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeCalls++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.activeCalls--
		p.idleDeadline = time.Now().Add(maxUnused)
	}
}

// startIdleTimer starts the timer that closes the connection once it is unused.
func (p *peer) startIdleTimer() {
	p.idleDeadline = time.Now().Add(maxUnused)
	if p.idleTimer != nil {
		p.idleTimer.Stop()
	}
	p.idleTimer = time.AfterFunc(maxUnused, p.closeIfIdle)
}

// closeIfIdle closes the connection if it has had no active call for maxUnused,
// and restarts the timer otherwise.
func (p *peer) closeIfIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.Context().Err() != nil {
		return
	}
	if p.activeCalls > 0 || time.Now().Before(p.idleDeadline) {
		p.idleTimer = time.AfterFunc(maxUnused, p.closeIfIdle)
		return
	}
	_ = p.conn.CloseWithError(linkClosed, "unused")
	p.conn = nil
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleTimer != nil {
		p.idleTimer.Stop()
	}
	if p.conn != nil {
		_ = p.conn.CloseWithError(linkClosed, "closed")
	}
}

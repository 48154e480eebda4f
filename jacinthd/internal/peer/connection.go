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
	// firstPause and lastPause bound the pause after a failed connection.
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
)

// A peer is one host that this host calls, with the connection kept for it.
type peer struct {
	link *Link
	addr netip.AddrPort
	name string

	mu       sync.Mutex
	conn     *quic.Conn
	dial     *dial // in progress, or nil
	failures int
	// again is when a connection may be opened after a failure.
	again time.Time
	calls int
	// idle is when a connection without calls is closed.
	idle  time.Time
	sweep *time.Timer
}

// A dial is one opening of a connection, for all who wait for it.
type dial struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

// connect returns the connection, opening it where there is none. In the pause
// after a failure it fails at once.
func (p *peer) connect(ctx context.Context) (*quic.Conn, error) {
	p.mu.Lock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		defer p.mu.Unlock()
		return p.conn, nil
	}
	d := p.dial
	if d == nil && time.Now().Before(p.again) {
		defer p.mu.Unlock()
		return nil, errors.New("failed a moment ago")
	}
	if d == nil {
		d = &dial{done: make(chan struct{})}
		p.dial = d
		go p.run(d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run opens the connection for all who wait for d.
func (p *peer) run(d *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), p.link.silence())
	defer cancel()
	d.conn, d.err = p.link.open().Dial(ctx, net.UDPAddrFromAddrPort(p.addr), p.link.Identity.client(p.name), p.link.config())
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(d.done)
	p.dial = nil
	if d.err != nil {
		p.again = time.Now().Add(p.pause())
		p.failures++
		p.link.Log.Info("peer: no connection to "+p.name, zap.Error(d.err))
		return
	}
	p.conn = d.conn
	p.failures = 0
	p.schedule()
}

// pause grows with each failure; a random part keeps hosts from trying together.
func (p *peer) pause() time.Duration {
	pause := min(firstPause<<min(p.failures, 10), lastPause)
	return pause/2 + rand.N(pause)
}

// use counts a call; the returned function ends it.
func (p *peer) use() (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.calls--
		p.idle = time.Now().Add(unused)
	}
}

// schedule sets the timer that closes the connection once it is unused.
func (p *peer) schedule() {
	p.idle = time.Now().Add(unused)
	if p.sweep != nil {
		p.sweep.Stop()
	}
	p.sweep = time.AfterFunc(unused, p.rest)
}

// rest closes a connection that carried no call for a while.
func (p *peer) rest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.Context().Err() != nil {
		return
	}
	if p.calls > 0 || time.Now().Before(p.idle) {
		p.sweep = time.AfterFunc(unused, p.rest)
		return
	}
	_ = p.conn.CloseWithError(linkClosed, "unused")
	p.conn = nil
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sweep != nil {
		p.sweep.Stop()
	}
	if p.conn != nil {
		_ = p.conn.CloseWithError(linkClosed, "closed")
	}
}

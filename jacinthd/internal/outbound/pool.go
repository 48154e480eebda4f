package outbound

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// A Pool holds persistent connections to targets. Dial must be set.
type Pool struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnOpen, if set, is called for each new connection.
	OnOpen func()
	// Watcher, if set, is told what the connections show of the links to targets.
	Watcher Watcher

	mu      sync.Mutex
	idle    map[netip.AddrPort][]*poolConn
	maxIdle int // idle connections kept for each target; 0 means maxIdleConns

	open openConns
}

// A Watcher observes the connections of a Pool. Its methods are called by many goroutines.
type Watcher interface {
	// Connected says that a new connection works: bytes have arrived on it, or it has stayed
	// open for a moment.
	Connected(target netip.AddrPort)
	// NotConnected says that no connection could be opened, though the caller still wanted it,
	// or that a new one was reset before any bytes arrived.
	NotConnected(target netip.AddrPort, cause error)
	Sent()  // a request
	Heard() // bytes from a target
}

// SetMaxIdle limits the idle connections kept for each target. 0, or a value
// above 64, means 64.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

func (p *Pool) idleLimit() int {
	if p.maxIdle == 0 {
		return maxIdleConns
	}
	return min(p.maxIdle, maxIdleConns)
}

// idleTimeout returns how long an idle connection to the target may be kept,
// according to its response header.
func idleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(text)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// get returns an idle connection if there is a usable one that the request may use, and otherwise
// opens a new one.
func (p *Pool) get(ctx context.Context, address netip.AddrPort, r Request) (*poolConn, error) {
	if !r.NewConnection {
		if c := p.takeIdle(address, r); c != nil {
			return c, nil
		}
	}
	return p.dial(ctx, address)
}

// Open opens a connection to address and keeps it for later requests. It fails if the
// target does not accept one, or resets it at once and does not accept another that lasts.
func (p *Pool) Open(ctx context.Context, address netip.AddrPort) error {
	for range 2 {
		c, err := p.dial(ctx, address)
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		if reusable(c.Conn) {
			p.connected(address)
			p.put(address, c, defaultIdleTimeout)
			return nil
		}
		_ = c.Close()
	}
	p.notConnected(address, errReset)
	return errReset
}

// errReset means that a target accepts connections and resets them at once.
var errReset = errors.New("reset at once")

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*poolConn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := p.Dial(dialCtx, "tcp", address.String())
	if err != nil {
		if ctx.Err() == nil {
			p.notConnected(address, err)
		}
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	return p.newConn(address, conn), nil
}

func (p *Pool) newConn(address netip.AddrPort, conn net.Conn) *poolConn {
	c := &poolConn{Conn: conn, pool: p, address: address, source: &limitedReader{conn: conn, remaining: math.MaxInt64, address: address, watcher: p.Watcher}}
	c.reader = bufio.NewReaderSize(c.source, bufferSize)
	p.open.add(c)
	return c
}

func (p *Pool) connected(address netip.AddrPort) {
	if p.Watcher != nil {
		p.Watcher.Connected(address)
	}
}

func (p *Pool) notConnected(address netip.AddrPort, cause error) {
	if p.Watcher != nil {
		p.Watcher.NotConnected(address, cause)
	}
}

// takeIdle removes and returns the most recently used idle connection that is
// still usable and has not carried the request, or nil. For an at-most-once request
// it uses none that has been idle for more than maxIdleAtMostOnce.
func (p *Pool) takeIdle(address netip.AddrPort, r Request) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(p.idle[address]) - 1; i >= 0; i-- {
		c := p.idle[address][i]
		if r.AtMostOnce && now.Sub(c.idleSince) > maxIdleAtMostOnce {
			return nil
		}
		if c.hasCarried(r.ID) {
			continue
		}
		p.idle[address] = slices.Delete(p.idle[address], i, i+1)
		if now.Before(c.expires) && reusable(c.Conn) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put returns a connection to the pool, or closes it if the pool is full or the
// timeout isn't positive.
func (p *Pool) put(address netip.AddrPort, c *poolConn, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*poolConn)
	}
	if timeout <= 0 || len(p.idle[address]) >= p.idleLimit() {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(timeout)
	p.idle[address] = append(p.idle[address], c)
}

// Prune closes the idle connections that have expired, have ended or received bytes, and
// those to addresses for which wanted returns false. What a target sends on an idle connection
// takes memory until the connection is closed.
func (p *Pool) Prune(wanted func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if wanted(address) && now.Before(c.expires) && reusable(c.Conn) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Run closes idle connections that have expired until ctx ends, and then all of them.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.Prune(func(netip.AddrPort) bool { return true })
		case <-ctx.Done():
			p.CloseAllIdle()
			return
		}
	}
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() { p.Prune(func(netip.AddrPort) bool { return false }) }

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.Prune(func(a netip.AddrPort) bool { return a != address })
}

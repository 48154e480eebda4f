package outbound

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// A response without a length or chunks ends with its connection, and so does one whose target
// crashes, leaves with the request in progress, or is removed: the system closes the connections
// of a process that ends as if the process had closed them. The two can't be told from the bytes.
// Such a response is therefore complete only if the target's process is seen to run after its end:
//
//   - the target accepts another connection, and a connection to it is still open when a process
//     that was ending would have closed all of its own, or
//   - the target refuses connections, as one that leaves may do while it finishes its work and as
//     a link at fault does, but another connection to it is still open when a lost end of that
//     connection would have been sent again.
//
// Without either the response has been cut off, whatever the target has said of itself.
//
// A reset is no end either, although a process that runs may send one. The system reports a reset
// once, to the goroutine that calls first: if that is the one that writes the request, the one that
// reads the response finds an ordinary end. Such a response is therefore complete only if the request
// was written without an error, and all of it had been acknowledged when the connection ended.

const (
	// outliveTimeout is how long a target may take to show that it runs: on Linux a lost end of
	// a connection is sent again 200 and 600 ms after it.
	outliveTimeout = 700 * time.Millisecond
	// outliveInterval is the time between two looks.
	outliveInterval = 50 * time.Millisecond
	// endingTime is the time in which a process that ends closes all of its connections and its
	// listener. The system may close the listener last: until then it accepts connections.
	endingTime = 100 * time.Millisecond
)

// ErrCutOff means that a response ended with its connection, and that its target hasn't been
// seen to run since.
var ErrCutOff = errors.New("body may be cut off, its target has ended with it")

// ErrUnread means that a response ended with its connection before its target had got the whole
// request.
var ErrUnread = errors.New("body may be cut off, its connection ended before the request was read")

// outlives reports whether the process at address still runs.
func (p *Pool) outlives(ctx context.Context, address netip.AddrPort) bool {
	waiting, cancel := context.WithTimeout(ctx, outliveTimeout)
	defer cancel()
	refused := false
	for {
		if !refused {
			err := p.Open(waiting, address)
			if err == nil && p.staysOpen(waiting, address) {
				return true
			}
			refused = errors.Is(err, syscall.ECONNREFUSED)
		}
		if refused && !p.open.established(address) {
			return false
		}
		select {
		case <-waiting.Done():
			return ctx.Err() == nil && p.open.established(address)
		case <-time.After(outliveInterval):
		}
	}
}

// staysOpen reports whether a connection to address is open after endingTime.
func (p *Pool) staysOpen(ctx context.Context, address netip.AddrPort) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(endingTime):
		return p.open.established(address)
	}
}

// openConns are the open connections of a Pool, idle or not.
type openConns struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]map[*poolConn]bool
}

func (o *openConns) add(c *poolConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddress == nil {
		o.byAddress = make(map[netip.AddrPort]map[*poolConn]bool)
	}
	if o.byAddress[c.address] == nil {
		o.byAddress[c.address] = make(map[*poolConn]bool)
	}
	o.byAddress[c.address][c] = true
}

func (o *openConns) remove(c *poolConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byAddress[c.address], c)
	if len(o.byAddress[c.address]) == 0 {
		delete(o.byAddress, c.address)
	}
}

// established reports whether a connection to address is open on both sides.
func (o *openConns) established(address netip.AddrPort) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range maps.Keys(o.byAddress[address]) {
		if isEstablished(c.Conn) {
			return true
		}
	}
	return false
}

package plain

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/jacinthd/internal/callers"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/target"
	"jacinthstage/stage/verdict"
)

// errNotSent means that the target received no byte of the call.
var errNotSent = errors.New("plain: the target is unreachable")

// hopHeaders are the headers that are not forwarded: the hop-by-hop headers and
// Authorization, since the caller's token must not reach targets.
var hopHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// An exchange is a call to a target whose answer has begun: status and headers have
// arrived.
type exchange struct {
	*http.Response
	body        *outbound.Exchange
	idleTimer   *time.Timer
	idleTimeout time.Duration
	cancel      context.CancelFunc
}

// A connectionUse says which connections a call may use.
type connectionUse bool

const (
	anyConnection connectionUse = false
	newConnection connectionUse = true
)

// send sends the call to t. It returns errNotSent if t received no byte of it. If t
// sends nothing for IdleTimeout, the exchange ends with an error.
func (c *call) send(ctx context.Context, use connectionUse, t target.Target) (*exchange, error) {
	ctx, cancel := context.WithCancel(ctx)
	uri := url.URL{Path: c.path, RawQuery: c.r.URL.RawQuery}
	e := &exchange{idleTimeout: c.h.IdleTimeout, cancel: cancel, idleTimer: time.AfterFunc(c.h.IdleTimeout, cancel)}
	body, err := c.h.pool.Do(ctx, t.Address, outbound.Request{
		Method: c.r.Method, RequestURI: uri.RequestURI(), Host: t.Address.String(), Header: endToEndHeaders(c.r.Header),
		Body: c.body, NewConnection: bool(use),
	}, nil)
	if err != nil {
		e.close()
		var fault *outbound.Error
		if errors.As(err, &fault) && fault.Verdict == verdict.NotRun {
			return nil, errors.WithMessage(errNotSent, err.Error())
		}
		return nil, errors.Wrap(err, "plain: send")
	}
	e.body, e.Response = body, body.Response
	return e, nil
}

// Read reads the answer's body. It restarts the idle timeout.
func (e *exchange) Read(p []byte) (int, error) {
	e.idleTimer.Reset(e.idleTimeout)
	return e.body.Read(p)
}

func (e *exchange) close() {
	e.idleTimer.Stop()
	if e.body != nil {
		e.body.Close()
	}
	e.cancel()
}

// endToEndHeaders returns the headers that are forwarded: all but hopHeaders and those
// that the Connection header lists.
func endToEndHeaders(header http.Header) http.Header {
	kept := header.Clone()
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// writeHead writes status and headers of an answer to the caller.
func (c *call) writeHead(header http.Header, status int) {
	for name, values := range endToEndHeaders(header) {
		c.w.Header()[name] = values
	}
	c.w.WriteHeader(status)
}

// copyBody streams the rest of an answer to the caller. If either side fails, it breaks the
// answer off.
func (c *call) copyBody(e *exchange) {
	buffer := make([]byte, 32<<10)
	control := http.NewResponseController(c.w)
	for {
		n, err := e.Read(buffer)
		_ = control.SetWriteDeadline(time.Now().Add(c.h.IdleTimeout))
		if _, writeErr := c.w.Write(buffer[:n]); writeErr != nil {
			callers.BreakOff(c.w, c.r, c.h.Log)
		}
		if err == io.EOF {
			return
		}
		if err != nil || control.Flush() != nil {
			callers.BreakOff(c.w, c.r, c.h.Log)
		}
	}
}

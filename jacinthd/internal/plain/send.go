package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/target"
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
	idleTimer   *time.Timer
	idleTimeout time.Duration
	cancel      context.CancelFunc
}

// send sends the call to t. It returns errNotSent if t received no byte of it. If t
// sends nothing for IdleTimeout, the exchange ends with an error.
func (c *call) send(ctx context.Context, client *http.Client, t target.Target) (*exchange, error) {
	ctx, cancel := context.WithCancel(ctx)
	targetURL := url.URL{Scheme: "http", Host: t.Address.String(), Path: c.path, RawQuery: c.r.URL.RawQuery}
	// The body is a plain reader, so that the HTTP client can't retry the call by itself.
	r, err := http.NewRequestWithContext(ctx, c.r.Method, targetURL.String(), io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		cancel()
		return nil, errors.WithMessage(errNotSent, err.Error())
	}
	r.ContentLength = int64(len(c.body))
	if len(c.body) == 0 {
		r.Body = http.NoBody
	}
	r.Header = endToEndHeaders(c.r.Header)
	e := &exchange{idleTimeout: c.h.IdleTimeout, cancel: cancel, idleTimer: time.AfterFunc(c.h.IdleTimeout, cancel)}
	if e.Response, err = client.Do(r); err != nil {
		e.close()
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return nil, errors.WithMessage(errNotSent, err.Error())
		}
		return nil, errors.Wrap(err, "plain: send")
	}
	return e, nil
}

// Read reads the answer's body. It restarts the idle timeout.
func (e *exchange) Read(p []byte) (int, error) {
	e.idleTimer.Reset(e.idleTimeout)
	return e.Body.Read(p)
}

func (e *exchange) close() {
	e.idleTimer.Stop()
	e.cancel()
	if e.Response != nil {
		_ = e.Body.Close()
	}
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

// copyBody streams the rest of an answer to the caller. If either side fails, it aborts
// the caller's connection, so that the answer doesn't look complete.
func (c *call) copyBody(e *exchange) {
	buffer := make([]byte, 32<<10)
	control := http.NewResponseController(c.w)
	for {
		n, err := e.Read(buffer)
		_ = control.SetWriteDeadline(time.Now().Add(c.h.IdleTimeout))
		if _, writeErr := c.w.Write(buffer[:n]); writeErr != nil {
			panic(http.ErrAbortHandler)
		}
		if err == io.EOF {
			return
		}
		if err != nil || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

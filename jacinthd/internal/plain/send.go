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

// errNotSent says that the target got no byte of the call.
var errNotSent = errors.New("plain: the target can't be reached")

// hop are the headers that belong to one connection, and the caller's token,
// which is for the system alone.
var hop = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// An exchange is a call in progress at a target, whose answer's head has come.
type exchange struct {
	*http.Response
	watch  *time.Timer
	limit  time.Duration
	cancel context.CancelFunc
}

// send sends the call to t. It fails with errNotSent where t got no byte.
// Where t sends no byte for a while, the exchange ends with an error.
func (c *call) send(ctx context.Context, client *http.Client, t target.Target) (*exchange, error) {
	ctx, cancel := context.WithCancel(ctx)
	where := url.URL{Scheme: "http", Host: t.Address.String(), Path: c.path, RawQuery: c.r.URL.RawQuery}
	// The body is a plain reader, so that the client library can't repeat the call by itself.
	r, err := http.NewRequestWithContext(ctx, c.r.Method, where.String(), io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		cancel()
		return nil, errors.WithMessage(errNotSent, err.Error())
	}
	r.ContentLength = int64(len(c.body))
	if len(c.body) == 0 {
		r.Body = http.NoBody
	}
	r.Header = passed(c.r.Header)
	e := &exchange{limit: c.h.IdleTimeout, cancel: cancel, watch: time.AfterFunc(c.h.IdleTimeout, cancel)}
	if e.Response, err = client.Do(r); err != nil {
		e.close()
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return nil, errors.WithMessage(errNotSent, err.Error())
		}
		return nil, errors.Wrap(err, "plain: send")
	}
	return e, nil
}

// Read reads the answer's body.
func (e *exchange) Read(p []byte) (int, error) {
	e.watch.Reset(e.limit)
	return e.Body.Read(p)
}

func (e *exchange) close() {
	e.watch.Stop()
	e.cancel()
	if e.Response != nil {
		_ = e.Body.Close()
	}
}

// passed returns the headers without those of the connection.
func passed(header http.Header) http.Header {
	kept := header.Clone()
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		kept.Del(name)
	}
	return kept
}

// head writes the head of an answer to the caller.
func (c *call) head(header http.Header, status int) {
	for name, values := range passed(header) {
		c.w.Header()[name] = values
	}
	c.w.WriteHeader(status)
}

// pass writes the rest of an answer to the caller as it comes. Where either end
// breaks, the caller's connection ends, so that the answer doesn't look whole.
func (c *call) pass(e *exchange) {
	buffer := make([]byte, 32<<10)
	control := http.NewResponseController(c.w)
	for {
		n, err := e.Read(buffer)
		_ = control.SetWriteDeadline(time.Now().Add(c.h.IdleTimeout))
		if _, broken := c.w.Write(buffer[:n]); broken != nil {
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

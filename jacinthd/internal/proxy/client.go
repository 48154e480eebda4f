package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/internal/peers"
	"jacinthstage/stage/answer"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/verdict"
)

// A request whose target this host can't reach goes through another host, a proxy, which
// connects to the target instead. There is one proxy at most between a host and a target. The
// attempt stays that of this host: it selects the target, and counts the attempt against
// limits, the retry budget and suspects.

const (
	// maxUnreached is the number of hosts that fail to reach the target after which the target
	// is at fault.
	maxUnreached = 2
	// maxProxyData is the size of a part of a body, in bytes.
	maxProxyData = 512 << 10
)

// A Client has requests sent by other hosts.
type Client struct{ Peers *peers.Group }

// An Exchange is a request to a target whose answer's head has arrived, sent by this host or
// by a proxy. The caller must close it.
type Exchange interface {
	// Read returns io.EOF only after a complete body.
	io.Reader
	// Response returns the answer without its body.
	Response() *http.Response
	// First reports whether the answer can't belong to an earlier request.
	First() bool
	// Discard reads the rest of the body, up to a number of bytes and a time.
	Discard(limit int64, until time.Time) error
	Close()
}

// An OwnExchange is the exchange of a request that this host sent itself.
type OwnExchange struct{ *outbound.Exchange }

// Response implements Exchange.
func (x OwnExchange) Response() *http.Response { return x.Exchange.Response }

// First implements Exchange.
func (x OwnExchange) First() bool { return x.Exchange.First }

// An Error is the failure of a request that a proxy sent.
type Error struct {
	proxy string
	cause string
	Ended bool // the target's process has ended
}

// Error returns the cause.
func (e *Error) Error() string { return "through " + e.proxy + ": " + e.cause }

// Is reports whether the failure is outbound.ErrCutOff at the proxy. Hosts tell each other its text.
func (e *Error) Is(target error) bool {
	return target == outbound.ErrCutOff && e.cause == outbound.ErrCutOff.Error()
}

// ErrNoProxy means that no host took a request for another one.
var ErrNoProxy = errors.New("no host sends it instead")

// Send sends a request through another host, and returns its name. An error is an
// *outbound.Error; its cause is ErrNoProxy if no host took the request.
func (c Client) Send(ctx context.Context, t catalog.Target, r outbound.Request, left time.Duration) (x Exchange, via string, err error) {
	if !t.Address.IsValid() {
		return nil, "", notSent(ErrNoProxy)
	}
	messages := proxyMessages(t, r, left)
	unreached := 0
	for _, name := range c.Peers.Proxies() {
		x, refusal, err := c.tryHost(ctx, name, messages)
		if refusal == nil {
			return x, name, err
		}
		via = name
		switch refusal.Reason {
		case peer.TargetUnwilling:
			return nil, name, notSent(errors.Errorf("%s: %s", name, refusal.Cause))
		case peer.TargetUnreached:
			if unreached++; unreached == maxUnreached {
				return nil, name, notSent(errors.Errorf("%s: %s", name, refusal.Cause))
			}
		default:
			c.Peers.AvoidProxy(name)
			c.Peers.Log.Debug("peer: host sends no request for this one", zap.String("host", name), zap.String("cause", refusal.Cause))
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unreached > 0 {
		return nil, via, notSent(errors.New("not reached by " + via + " either"))
	}
	return nil, via, notSent(ErrNoProxy)
}

func notSent(cause error) error {
	return &outbound.Error{Verdict: verdict.NotRun, DialFailed: true, Cause: cause}
}

// proxyMessages returns the messages with which a request is passed to a proxy.
func proxyMessages(t catalog.Target, r outbound.Request, left time.Duration) []peer.Message {
	var header bytes.Buffer
	_ = r.Header.Write(&header)
	out := []peer.Message{peer.ProxyRequest{
		Target: t.Name, Service: t.Service, Address: t.Address, Started: t.Started.UnixMilli(),
		ID: r.ID, Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: header.Bytes(),
		Size: len(r.Body), AtMostOnce: r.AtMostOnce, Left: uint64(max(1, left.Milliseconds())),
	}}
	for part := range slices.Chunk(r.Body, maxProxyData) {
		out = append(out, peer.ProxyData{Data: part})
	}
	return out
}

// failedAt returns the failure of a request that a proxy may have sent.
func failedAt(proxy, cause string) error {
	return &outbound.Error{Cause: &Error{proxy: proxy, cause: cause}}
}

// tryHost sends a request through one host. It returns a refusal if the request was not sent.
func (c Client) tryHost(ctx context.Context, name string, messages []peer.Message) (Exchange, *peer.ProxyRefusal, error) {
	unavailable := func(cause error) *peer.ProxyRefusal {
		return &peer.ProxyRefusal{Reason: peer.ProxyUnavailable, Cause: cause.Error()}
	}
	if err := c.Peers.Connect(ctx, name); err != nil {
		return nil, unavailable(err), nil
	}
	stream, err := c.Peers.Open(ctx, name, messages)
	var notReached *peer.UnreachableError
	if errors.As(err, &notReached) {
		return nil, unavailable(err), nil
	}
	if err != nil {
		return nil, nil, failedAt(name, err.Error())
	}
	m, err := stream.Recv()
	var refused *verdict.Error
	if errors.As(err, &refused) && refused.Verdict == verdict.NotRun {
		// A host of a build that doesn't know requests of others, or not this one.
		stream.Close()
		return nil, unavailable(err), nil
	}
	if err != nil {
		stream.Close()
		return nil, nil, failedAt(name, err.Error())
	}
	switch m := m.(type) {
	case peer.ProxyRefusal:
		stream.Close()
		return nil, &m, nil
	case peer.ProxyHead:
		x, err := newProxyExchange(name, stream, m)
		if err != nil {
			stream.Close()
			return nil, nil, failedAt(name, err.Error())
		}
		return x, nil, nil
	case peer.ProxyEnd:
		stream.Close()
		return nil, nil, &outbound.Error{Cause: &Error{proxy: name, cause: m.Broken, Ended: m.Ended}}
	default:
		stream.Close()
		return nil, nil, failedAt(name, "unexpected answer")
	}
}

// A proxyExchange is the exchange of a request that another host sent.
type proxyExchange struct {
	proxy    string
	stream   *peer.Stream
	response *http.Response
	first    bool
	data     []byte // received and not read yet
	err      error  // end of the body
}

func newProxyExchange(proxy string, stream *peer.Stream, head peer.ProxyHead) (*proxyExchange, error) {
	// A host of an earlier build passes on any status from 200.
	if err := answer.CheckFinal(head.Status); err != nil {
		return nil, err
	}
	header, err := parseHeader(head.Header)
	if err != nil {
		return nil, err
	}
	return &proxyExchange{proxy: proxy, stream: stream, first: head.First, response: &http.Response{StatusCode: head.Status, Header: header}}, nil
}

// Response implements Exchange.
func (x *proxyExchange) Response() *http.Response { return x.response }

// First implements Exchange.
func (x *proxyExchange) First() bool { return x.first }

// Read implements Exchange. It returns io.EOF only after a complete body; the proxy finds out
// whether it is one.
func (x *proxyExchange) Read(p []byte) (int, error) {
	for len(x.data) == 0 && x.err == nil {
		m, err := x.stream.Recv()
		switch m := m.(type) {
		case peer.ProxyData:
			x.data = m.Data
		case peer.ProxyEnd:
			x.err = io.EOF
			if m.Broken != "" {
				x.err = &Error{proxy: x.proxy, cause: m.Broken, Ended: m.Ended}
			}
		default:
			cause := "unexpected message"
			if err != nil {
				cause = err.Error()
			}
			x.err = &Error{proxy: x.proxy, cause: cause}
		}
	}
	if len(x.data) == 0 {
		return 0, x.err
	}
	n := copy(p, x.data)
	x.data = x.data[n:]
	return n, nil
}

// Discard implements Exchange. There is no connection of this host to keep.
func (x *proxyExchange) Discard(int64, time.Time) error { return nil }

// Close implements Exchange. If the body wasn't read to its end, the proxy cancels the request.
func (x *proxyExchange) Close() { x.stream.Close() }

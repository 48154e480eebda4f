package direct

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/verdict"
)

// A request whose target this host can't reach goes through another host, a proxy, which
// connects to the target instead. There is one proxy at most between a host and a target. The
// attempt stays that of this host: it selects the target, and counts the attempt against
// limits, the retry budget and suspects.

const (
	// maxProxies is the number of hosts that are asked to send one request, and
	// maxUnreached the number of them that fail to reach the target after which the target
	// is at fault.
	maxProxies   = 4
	maxUnreached = 2
	// proxyTimeout limits the time in which a proxy is connected to.
	proxyTimeout = 300 * time.Millisecond
	// proxyPause is how long a host that took no request is not asked again.
	proxyPause = time.Second
	// maxProxyData is the size of a part of a body, in bytes.
	maxProxyData = 512 << 10
)

// An exchange is a request to a target whose answer's head has arrived, sent by this host or
// by a proxy. The caller must close it.
type exchange interface {
	io.Reader
	// Response returns the answer without its body.
	Response() *http.Response
	// First reports whether the answer can't belong to an earlier request.
	First() bool
	// EndsWithConnection reports whether only the end of the connection ends the body, and
	// whether that is the end of a whole body isn't known yet.
	EndsWithConnection() bool
	// Discard reads the rest of the body, up to a number of bytes and a time.
	Discard(limit int64, until time.Time) error
	Close()
}

// An ownExchange is the exchange of a request that this host sent itself.
type ownExchange struct{ *outbound.Exchange }

func (x ownExchange) Response() *http.Response { return x.Exchange.Response }
func (x ownExchange) First() bool              { return x.Exchange.First }

// A proxyError is the failure of a request that a proxy sent.
type proxyError struct {
	proxy string
	cause string
	ended bool // the target's process has ended
}

// Error returns the cause.
func (e *proxyError) Error() string { return "through " + e.proxy + ": " + e.cause }

// errNoProxy means that no host took a request for another one.
var errNoProxy = errors.New("no host sends it instead")

// exchange sends the request to the attempt's target, through another host if this one can't
// reach it.
func (req *callerRequest) exchange(ctx context.Context, attempt *dispatch.Attempt, r outbound.Request) (exchange, error) {
	t := attempt.Target
	req.via = ""
	if req.Reach.Links.Indirect(time.Now(), t.Address) {
		return req.exchangeThrough(ctx, t, r)
	}
	x, err := req.Pool.Do(ctx, t.Address, r, answersOf(req.Headers, r.ID))
	if err == nil {
		return ownExchange{x}, nil
	}
	var fault *outbound.Error
	if !errors.As(err, &fault) || !fault.DialFailed || ctx.Err() != nil {
		return nil, err
	}
	through, throughErr := req.exchangeThrough(ctx, t, r)
	if errors.Is(throughErr, errNoProxy) {
		return nil, err
	}
	return through, throughErr
}

func (req *callerRequest) exchangeThrough(ctx context.Context, t catalog.Target, r outbound.Request) (exchange, error) {
	x, via, err := req.Peers.sendThrough(ctx, t, r, time.Until(req.deadline))
	req.via = via
	outcome := "sent"
	if err != nil {
		outcome = "failed"
	}
	req.Metrics.Indirect.WithLabelValues(outcome).Inc()
	if err == nil {
		req.Reach.Links.Confirmed(time.Now(), t.Address)
	}
	req.log.Info("request: sent through another host", zap.String("host", via), zap.String("target", t.Name), zap.Error(err))
	return x, err
}

// sendThrough sends a request through another host, and returns its name. An error is an
// *outbound.Error; its cause is errNoProxy if no host took the request.
func (p *Peers) sendThrough(ctx context.Context, t catalog.Target, r outbound.Request, left time.Duration) (x exchange, via string, err error) {
	if !t.Address.IsValid() {
		return nil, "", notSent(errNoProxy)
	}
	messages := proxyMessages(t, r, left)
	unreached := 0
	for _, name := range p.proxies() {
		x, refusal, err := p.tryProxy(ctx, name, messages)
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
			p.avoidProxy(name)
			p.Log.Debug("peer: host sends no request for this one", zap.String("host", name), zap.String("cause", refusal.Cause))
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unreached > 0 {
		return nil, via, notSent(errors.New("not reached by " + via + " either"))
	}
	return nil, via, notSent(errNoProxy)
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
	return &outbound.Error{Cause: &proxyError{proxy: proxy, cause: cause}}
}

// tryProxy sends a request through one host. It returns a refusal if the request was not sent.
func (p *Peers) tryProxy(ctx context.Context, name string, messages []peer.Message) (exchange, *peer.ProxyRefusal, error) {
	unavailable := func(cause error) *peer.ProxyRefusal {
		return &peer.ProxyRefusal{Reason: peer.ProxyUnavailable, Cause: cause.Error()}
	}
	set := p.peerSet.Load()
	if err := p.connectTo(ctx, set, name); err != nil {
		return nil, unavailable(err), nil
	}
	stream, err := p.Link.Open(ctx, set.members[name].Peer, name, messages[0], messages[1:]...)
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
		return nil, nil, &outbound.Error{Cause: &proxyError{proxy: name, cause: m.Broken, ended: m.Ended}}
	default:
		stream.Close()
		return nil, nil, failedAt(name, "unexpected answer")
	}
}

// connectTo makes sure that there is a connection to a host, for no longer than proxyTimeout:
// what is sent over the link afterwards may have arrived.
func (p *Peers) connectTo(ctx context.Context, set *peerSet, name string) error {
	ctx, cancel := context.WithTimeout(ctx, proxyTimeout)
	defer cancel()
	return p.Link.Connect(ctx, set.members[name].Peer, name)
}

// proxies returns the hosts to ask to send a request, in order: those of this region first,
// and among them those of other zones, since a whole zone may be partitioned from the targets.
// Hosts that took no request lately come last, and those of builds that know no requests of
// others are left out.
func (p *Peers) proxies() []string {
	set := p.peerSet.Load()
	if set == nil {
		return nil
	}
	type rank struct {
		name   string
		weight int
	}
	var all []rank
	for name, m := range set.members {
		if name == p.Self || p.isEarlier(name) {
			continue
		}
		weight := 0
		if p.isAvoided(name) || p.unreachable(name) {
			weight += 4
		}
		if p.Regions[m.Zone] != p.Regions[p.Zone] {
			weight += 2
		}
		if m.Zone == p.Zone {
			weight++
		}
		all = append(all, rank{name, weight})
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(x, y rank) int { return cmp.Compare(x.weight, y.weight) })
	var out []string
	for _, r := range all[:min(len(all), maxProxies)] {
		out = append(out, r.name)
	}
	return out
}

// avoidProxy causes a host to be asked last for proxyPause.
func (p *Peers) avoidProxy(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoidedUntil == nil {
		p.avoidedUntil = make(map[string]time.Time)
	}
	p.avoidedUntil[name] = time.Now().Add(proxyPause)
}

func (p *Peers) isAvoided(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.avoidedUntil[name])
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
	header, err := parseHeader(head.Header)
	if err != nil {
		return nil, err
	}
	return &proxyExchange{proxy: proxy, stream: stream, first: head.First, response: &http.Response{StatusCode: head.Status, Header: header}}, nil
}

// Response implements exchange.
func (x *proxyExchange) Response() *http.Response { return x.response }

// First implements exchange.
func (x *proxyExchange) First() bool { return x.first }

// EndsWithConnection implements exchange. The proxy finds out whether the body is whole.
func (x *proxyExchange) EndsWithConnection() bool { return false }

// Read implements exchange. It returns io.EOF only after a complete body.
func (x *proxyExchange) Read(p []byte) (int, error) {
	for len(x.data) == 0 && x.err == nil {
		m, err := x.stream.Recv()
		switch m := m.(type) {
		case peer.ProxyData:
			x.data = m.Data
		case peer.ProxyEnd:
			x.err = io.EOF
			if m.Broken != "" {
				x.err = &proxyError{proxy: x.proxy, cause: m.Broken, ended: m.Ended}
			}
		default:
			cause := "unexpected message"
			if err != nil {
				cause = err.Error()
			}
			x.err = &proxyError{proxy: x.proxy, cause: cause}
		}
	}
	if len(x.data) == 0 {
		return 0, x.err
	}
	n := copy(p, x.data)
	x.data = x.data[n:]
	return n, nil
}

// Discard implements exchange. There is no connection of this host to keep.
func (x *proxyExchange) Discard(int64, time.Time) error { return nil }

// Close implements exchange. If the body wasn't read to its end, the proxy cancels the request.
func (x *proxyExchange) Close() { x.stream.Close() }

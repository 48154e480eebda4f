// Package proxy carries requests to targets through other hosts: a Client has the requests of
// this host sent by another one, a Server sends those of others.
package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/body"
	"jacinthstage/jacinthd/internal/contact"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/memory"
	"jacinthstage/stage/verdict"
)

const (
	// maxProxied is the number of requests that a host sends for others at once.
	maxProxied = 192
	// proxyBuffer is the size of the parts in which an answer is passed on, in bytes.
	proxyBuffer = 16 << 10
	// maxProxiedBody is the largest body of a request that a host sends for others, in bytes.
	maxProxiedBody = 64 << 20
)

// A Server sends requests to targets for hosts that can't reach them. It only transports: the
// other host has selected the target, and does all counting. All exported fields must be set.
type Server struct {
	Headers  outbound.HeaderCodec
	Reach    *contact.Reach
	Stopping func() bool
	Memory   *memory.Budget  // may be nil
	Requests context.Context // ends when all requests in progress must end; nil means never

	mu     sync.Mutex
	active int
	idle   chan struct{} // closed when active gets to 0; nil if nobody waits for that
}

// begin counts a request in progress, and returns how many there are. Unlike with a sync.WaitGroup,
// requests may begin while Wait runs.
func (p *Server) begin() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active++
	return p.active
}

func (p *Server) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
	if p.active == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

// Serve implements peers.Proxy. It sends a request for another host and passes the answer on.
func (p *Server) Serve(ctx context.Context, from string, m peer.ProxyRequest, stream *peer.Stream) {
	active := p.begin()
	defer p.end()
	target := catalog.Target{Name: m.Target, Service: m.Service, Address: m.Address, Started: time.UnixMilli(m.Started)}
	log := p.Reach.Log.With(zap.String("id", m.ID), zap.String("host", from), zap.String("target", m.Target))
	if refusal := p.refusal(active, m, target); refusal != nil {
		log.Info("proxy: request of another host not sent", zap.String("cause", refusal.Cause))
		_ = stream.Send(*refusal)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.Left)*time.Millisecond)
	defer cancel()
	if p.Requests != nil {
		defer context.AfterFunc(p.Requests, cancel)()
	}
	end, err := p.forward(ctx, m, target, stream)
	if err != nil {
		log.Info("proxy: request of another host ended", zap.Error(err))
		return
	}
	log.Info("proxy: request of another host sent", zap.String("broken", end.Broken), zap.Bool("ended", end.Ended))
	_ = stream.Send(end)
}

// refusal returns why this host doesn't send a request, or nil if it does.
func (p *Server) refusal(active int, m peer.ProxyRequest, target catalog.Target) *peer.ProxyRefusal {
	switch {
	case p.Stopping():
		return &peer.ProxyRefusal{Cause: "the host is stopping"}
	case active > maxProxied || m.Size > maxProxiedBody:
		return &peer.ProxyRefusal{Cause: "the host sends too much for others"}
	case !p.Reach.Dispatcher.Knows(target):
		// The other host is not proved to be one: nothing is sent to any other address.
		return &peer.ProxyRefusal{Cause: "the host doesn't know the target"}
	case p.Reach.Links.Indirect(time.Now(), target.Address):
		return &peer.ProxyRefusal{Cause: "the host doesn't reach the target itself"}
	case !p.Reach.Dispatcher.Accepts(time.Now(), target):
		return &peer.ProxyRefusal{Reason: peer.TargetUnwilling, Cause: "the target takes no requests from this host now"}
	}
	return nil
}

// forward sends the request and passes the answer on. It returns how the answer ended, or an
// error if the other host needs no end.
func (p *Server) forward(ctx context.Context, m peer.ProxyRequest, target catalog.Target, stream *peer.Stream) (peer.ProxyEnd, error) {
	held := p.Memory.Open(time.Now(), memory.Passed, nil)
	defer held.Close()
	text, err := receiveBody(stream, held, m.Size)
	if errors.Is(err, body.ErrNoMemory) {
		_ = stream.Send(peer.ProxyRefusal{Reason: peer.ProxyUnavailable, Cause: err.Error()})
	}
	if err != nil {
		return peer.ProxyEnd{}, err
	}
	header, err := parseHeader(m.Header)
	if err != nil {
		return peer.ProxyEnd{}, err
	}
	sent := time.Now()
	x, err := p.Reach.Pool.Do(ctx, m.Address, outbound.Request{
		ID: m.ID, Method: m.Method, RequestURI: m.RequestURI, Host: m.Host, Header: header, Body: text, AtMostOnce: m.AtMostOnce,
	}, outbound.AnswersTo(p.Headers, m.ID))
	var fault *outbound.Error
	if errors.As(err, &fault) && fault.Verdict == verdict.NotRun {
		_ = stream.Send(peer.ProxyRefusal{Reason: peer.TargetUnreached, Cause: err.Error()})
		return peer.ProxyEnd{}, err
	}
	if err != nil {
		return p.broken(ctx, target, err), nil
	}
	defer x.Close()
	p.hear(sent, target, x.Response)
	return p.passOn(ctx, target, x, stream)
}

// hear records what the answer says of its target, which binds this host as well.
func (p *Server) hear(sent time.Time, target catalog.Target, response *http.Response) {
	head := p.Headers.ParseAnswer(response.StatusCode, response.Header)
	if p.Reach.Dispatcher.Heard(time.Now(), sent, target, head.Notice, head.Source()) {
		contact.LogNotice(p.Reach.Log, target, head.Notice)
	}
}

// passOn passes an answer on as it arrives.
func (p *Server) passOn(ctx context.Context, target catalog.Target, x *outbound.Exchange, stream *peer.Stream) (peer.ProxyEnd, error) {
	var header bytes.Buffer
	_ = x.Response.Header.Write(&header)
	if err := stream.Send(peer.ProxyHead{Status: x.Response.StatusCode, Header: header.Bytes(), First: x.First}); err != nil {
		return peer.ProxyEnd{}, err
	}
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := x.Read(buffer)
		if n > 0 {
			if err := stream.Send(peer.ProxyData{Data: buffer[:n]}); err != nil {
				return peer.ProxyEnd{}, err
			}
		}
		switch {
		case err == io.EOF:
			return peer.ProxyEnd{}, nil
		case err != nil:
			return p.broken(ctx, target, err), nil
		}
	}
}

// broken returns the end of an answer that broke off, or never began.
func (p *Server) broken(ctx context.Context, target catalog.Target, cause error) peer.ProxyEnd {
	ended := ctx.Err() == nil && p.Reach.EndedUnannounced(ctx, target)
	return peer.ProxyEnd{Broken: cause.Error(), Ended: ended}
}

// Wait waits until the requests of other hosts that are in progress have ended, or ctx ends.
func (p *Server) Wait(ctx context.Context) {
	select {
	case <-p.untilIdle():
	case <-ctx.Done():
	}
}

// untilIdle returns a channel that is closed once no request is in progress.
func (p *Server) untilIdle() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(chan struct{})
	}
	idle := p.idle
	if p.active == 0 {
		close(p.idle)
		p.idle = nil
	}
	return idle
}

// receiveBody receives a body of a size. The buffer grows with what arrives. Without memory, the rest
// is received and dropped, so that the other host has sent all and reads the refusal.
func receiveBody(stream *peer.Stream, held *memory.Holding, size int) ([]byte, error) {
	buffer := body.Buffer{Holding: held, Limit: int64(size)}
	var full error
	for received := 0; received < size; {
		m, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		part, ok := m.(peer.ProxyData)
		if !ok {
			return nil, errors.Errorf("unexpected %T in a body", m)
		}
		received += len(part.Data)
		if full == nil {
			_, full = buffer.Write(part.Data)
		}
		if full != nil {
			buffer = body.Buffer{}
			held.Close()
		}
	}
	return buffer.Bytes(), full
}

// parseHeader parses a header as in HTTP/1.1, without the empty line behind it.
func parseHeader(text []byte) (http.Header, error) {
	lines := io.MultiReader(bytes.NewReader(text), bytes.NewReader([]byte("\r\n")))
	h, err := textproto.NewReader(bufio.NewReader(lines)).ReadMIMEHeader()
	return http.Header(h), errors.Wrap(err, "header")
}

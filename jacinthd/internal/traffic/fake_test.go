package traffic_test

import (
	"bytes"
	"cmp"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/internal/traffic"
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
	"jacinthstage/stage/verdict"
)

// silence is every liveness deadline of these tests.
const silence = 250 * time.Millisecond

// A step is called before a token is sent; true ends the stream there.
type step func(e *fakeEngine, w http.ResponseWriter, r *http.Request, id string, index int) bool

// A fakeEngine answers each completion with t0 t1 ... and counts what it runs.
type fakeEngine struct {
	server *httptest.Server
	addr   netip.AddrPort
	mu     sync.Mutex
	ran    map[string]int  // by id
	ended  map[string]bool // cancelled
	tries  int             // completion calls
	// steps gives the behaviour of each completion call in order; behind the
	// last, calls are served as they should be.
	steps []step
	deny  string // the code that completions are refused with
	// prompts gives the behaviour of prompts, before steps.
	prompts map[string]step
	down    bool // crashed by end
}

func newEngine(t testing.TB, steps ...step) *fakeEngine {
	e := &fakeEngine{ran: map[string]int{}, ended: map[string]bool{}, steps: steps}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"incarnation":"one"}`) })
	e.server = httptest.NewServer(mux)
	e.addr = netip.MustParseAddrPort(e.server.Listener.Addr().String())
	t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	return e
}

func (e *fakeEngine) complete(w http.ResponseWriter, r *http.Request) {
	var b struct {
		ID, Model, Prompt string

		Max    int `json:"max_tokens"`
		Offset int
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	e.mu.Lock()
	behaviour := func(*fakeEngine, http.ResponseWriter, *http.Request, string, int) bool { return false }
	if e.tries < len(e.steps) && e.steps[e.tries] != nil {
		behaviour = e.steps[e.tries]
	}
	if e.prompts[b.Prompt] != nil {
		behaviour = e.prompts[b.Prompt]
	}
	e.tries++
	deny, gone := e.deny, b.Offset > 0 && (e.ran[b.ID] == 0 || e.ended[b.ID])
	if deny == "" && !gone && e.ran[b.ID] == 0 {
		e.ran[b.ID]++
	}
	e.mu.Unlock()
	if deny != "" || gone {
		w.WriteHeader(http.StatusNotFound)
		_, _ = fmt.Fprintf(w, `{"code":%q}`, cmp.Or(deny, "gone"))
		return
	}
	for i := b.Offset; i <= b.Max; i++ {
		if behaviour(e, w, r, b.ID, i) {
			return
		}
		if i < b.Max {
			say(w, b.ID, b.Model, i)
		}
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"done\":true,\"tokens\":%d}\n\ndata: [DONE]\n\n", b.ID, b.Model, b.Max)
}

func say(w http.ResponseWriter, id, model string, index int) {
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"index\":%d,\"text\":\"t%d \"}\n\n", id, model, index, index)
	_ = http.NewResponseController(w).Flush()
}

func (e *fakeEngine) cancel(w http.ResponseWriter, r *http.Request) {
	var b struct{ ID string }
	_ = json.NewDecoder(r.Body).Decode(&b)
	e.mu.Lock()
	e.ended[b.ID] = true
	e.mu.Unlock()
	_, _ = io.WriteString(w, `{"cancelled":true}`)
}

// total returns how many runs there were, and how many were cancelled.
func (e *fakeEngine) total() (ran, cancelled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.ran {
		ran += n
	}
	return ran, len(e.ended)
}

func at(index int, act step) step {
	return func(e *fakeEngine, w http.ResponseWriter, r *http.Request, id string, i int) bool {
		return i == index && act(e, w, r, id, i)
	}
}

func cut(*fakeEngine, http.ResponseWriter, *http.Request, string, int) bool {
	panic(http.ErrAbortHandler)
}

func hang(_ *fakeEngine, _ http.ResponseWriter, r *http.Request, _ string, _ int) bool {
	<-r.Context().Done()
	return true
}

// crash ends the engine as a process's end does: no connection, no listener.
func crash(e *fakeEngine, _ http.ResponseWriter, _ *http.Request, _ string, _ int) bool {
	_ = e.server.Listener.Close()
	panic(http.ErrAbortHandler)
}

// A fakeControl admits at once to the runners that it owns.
type fakeControl struct {
	mu       sync.Mutex
	config   *patch.Config
	unready  bool
	routes   func() []control.Candidate
	own      map[string]netip.AddrPort
	admit    func(ctx context.Context) error
	admitted chan struct{} // told before admit is called
	stall    time.Duration
	lapsed   bool // tickets' leave has lapsed
	outcomes []string
	crashes  []string
}

func (c *fakeControl) View() *control.View {
	return &control.View{Config: c.config, Ready: !c.unready}
}

func (c *fakeControl) Route(control.Job) []control.Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes()
}

func (c *fakeControl) Admit(ctx context.Context, runner string, _ control.Job) (*control.Ticket, error) {
	c.mu.Lock()
	addr, ok := c.own[runner]
	admit := c.admit
	c.mu.Unlock()
	if !ok {
		return nil, verdict.Refuse(verdict.Unavailable, "not owned here")
	}
	if admit != nil {
		c.admitted <- struct{}{}
		if err := admit(ctx); err != nil {
			return nil, err
		}
	}
	before := time.Now().Add(time.Second)
	if c.lapsed {
		before = time.Now()
	}
	return control.NewTicket(target.Target{Name: runner, Address: addr}, before, control.Hint{}, c.stall, func(o control.Outcome) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.outcomes = append(c.outcomes, strings.TrimPrefix(fmt.Sprintf("%T", o), "control."))
	}), nil
}

func (c *fakeControl) RecordHint(string, adapter.Ref, control.Hint) {}

func (c *fakeControl) RecordCrash(runner string, ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, runner)
}

// ended returns the outcomes of the tickets that have ended.
func (c *fakeControl) ended() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.outcomes...)
}

// configuration allows the caller "carrier" (token "secret") fees@v1 and the
// plain service "registry".
func configuration(t testing.TB) *patch.Config {
	var empty patch.Config
	hash := caller.HashToken("secret")
	config, err := empty.Apply(patch.Patch{Number: 1, ID: "id", Author: "ann", Reason: "test", Changes: []patch.Change{
		patch.PutService{Service: service.Service{Name: "draft", Engine: &service.Engine{Model: "m"}}},
		patch.PutService{Service: service.Service{Name: "registry", Plain: &service.Plain{}}},
		patch.PutService{Service: service.Service{Name: "hidden", Plain: &service.Plain{}}},
		patch.PutAdapter{Adapter: adapter.Adapter{Name: "fees", Service: "draft", Versions: []string{"v1", "v2"}}},
		patch.PutCaller{Caller: caller.Caller{Name: "carrier", Tokens: []string{hex.EncodeToString(hash[:])}}},
		patch.PutRule{Rule: rule.Rule{Name: "r1", Caller: "carrier", Adapter: "fees", Versions: []string{"v1"}}},
		patch.PutRule{Rule: rule.Rule{Name: "r2", Caller: "carrier", Service: "registry"}},
	}})
	require.NoError(t, err)
	return config
}

// identities makes a certificate for each name; all trust each other.
func identities(t testing.TB, names ...string) map[string]*peer.Identity {
	dir := t.TempDir()
	file := func(name, kind string, der []byte) []byte {
		block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), block, 0o600))
		return block
	}
	var all []byte
	for _, name := range names {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		require.NoError(t, err)
		cert := &x509.Certificate{
			SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
			DNSNames: []string{name}, IsCA: true, BasicConstraintsValid: true,
		}
		der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
		require.NoError(t, err)
		private, err := x509.MarshalPKCS8PrivateKey(key)
		require.NoError(t, err)
		all = append(all, file(name+".cert", "CERTIFICATE", der)...)
		file(name+".key", "PRIVATE KEY", private)
	}
	require.NoError(t, os.WriteFile(filepath.Join(dir, "all"), all, 0o600))
	loaded := map[string]*peer.Identity{}
	for _, name := range names {
		identity, err := peer.Credentials{
			Authority: filepath.Join(dir, "all"), Certificate: filepath.Join(dir, name+".cert"), Key: filepath.Join(dir, name+".key"),
		}.Load()
		require.NoError(t, err)
		loaded[name] = identity
	}
	return loaded
}

// A host is one entry host on loopback sockets.
type host struct {
	*traffic.Server
	fake *fakeControl
	name string
	peer netip.AddrPort
	url  string
	// handler serves the link; nil means Forwarded.
	handler peer.Handler
}

// A muted socket drops all datagrams, both ways, while its flag is set.
type muted struct {
	net.PacketConn
	drop atomic.Bool
}

func (m *muted) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := m.PacketConn.ReadFrom(b)
		if err != nil || !m.drop.Load() {
			return n, from, err
		}
	}
}

func (m *muted) WriteTo(b []byte, to net.Addr) (int, error) {
	if m.drop.Load() {
		return len(b), nil
	}
	return m.PacketConn.WriteTo(b, to)
}

func newMuted(t testing.TB, config *patch.Config, identity *peer.Identity, set ...func(*host)) (*host, *muted) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &muted{PacketConn: conn}
	return newHostOn(t, config, identity, m, set...), m
}

func newHost(t testing.TB, config *patch.Config, identity *peer.Identity, set ...func(*host)) *host {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	return newHostOn(t, config, identity, conn, set...)
}

func newHostOn(t testing.TB, config *patch.Config, identity *peer.Identity, conn net.PacketConn, set ...func(*host)) *host {
	fake := &fakeControl{config: config, own: map[string]netip.AddrPort{}, admitted: make(chan struct{}, 8), routes: func() []control.Candidate { return nil }}
	link := &peer.Link{Identity: identity, Conn: conn, LivenessTimeout: silence}
	h := &host{fake: fake, name: identity.Name, peer: netip.MustParseAddrPort(conn.LocalAddr().String())}
	h.Server = &traffic.Server{
		Control: fake, Engine: &engine.Client{ProgressTimeout: silence}, Link: link,
		Limits: traffic.Limits{MaxBodyBytes: 4 << 10, ResumeTimeout: 2 * time.Second},
	}
	for _, f := range set {
		f(h)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.url = "http://" + listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = h.Serve(listener) })
	serving.Go(func() {
		_ = link.Serve(ctx, func(ctx context.Context, name string, first peer.Message, stream *peer.Stream) {
			if h.handler != nil {
				h.handler(ctx, name, first, stream)
				return
			}
			h.ServeForwarded(ctx, name, first.(peer.Forward), stream)
		})
	})
	t.Cleanup(func() {
		last, done := context.WithTimeout(context.Background(), 20*time.Second)
		defer done()
		require.NoError(t, h.Shutdown(last))
		cancel()
		_ = link.Close()
		serving.Wait()
		h.Engine.Close()
	})
	return h
}

// patient lets engines be silent for as long as a test lasts.
func patient(h *host) { h.Engine.ProgressTimeout = patience }

// here returns the candidate for a runner that h owns from now on.
func (h *host) here(runner string, e *fakeEngine) control.Candidate {
	h.takes(runner, e)
	return control.Candidate{Runner: runner, Owner: h.name, Local: true}
}

// there returns the candidate by which other hosts reach h's runner.
func (h *host) there(runner string, e *fakeEngine) control.Candidate {
	h.takes(runner, e)
	return control.Candidate{Runner: runner, Owner: h.name, Peer: h.peer}
}

func (h *host) takes(runner string, e *fakeEngine) {
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	h.fake.own[runner] = e.addr
}

func (h *host) route(candidates ...control.Candidate) {
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	h.fake.routes = func() []control.Candidate { return candidates }
}

// gate holds a stream until opened is closed or its connection ends, and says
// on reached that it does.
func gate(reached chan<- struct{}, opened <-chan struct{}) step {
	return func(_ *fakeEngine, _ http.ResponseWriter, r *http.Request, _ string, _ int) bool {
		reached <- struct{}{}
		select {
		case <-opened:
			return false
		case <-r.Context().Done():
			return true
		}
	}
}

// A reply is what a caller got.
type reply struct {
	status int
	header http.Header
	text   string
}

// problem returns the error in the reply: its body, or the error event of a stream.
func (r reply) problem(t testing.TB) (code, said string) {
	text := r.text
	if _, after, ok := strings.Cut(text, "event: error\ndata: "); ok {
		text = after
	}
	var b struct {
		Error struct{ Code, Verdict, Message string }
	}
	require.NoError(t, json.Unmarshal([]byte(strings.TrimSpace(text)), &b), r.text)
	require.NotEmpty(t, b.Error.Message)
	return b.Error.Code, b.Error.Verdict
}

func post(t testing.TB, h *host, body string, headers ...string) reply {
	r, err := http.NewRequest(http.MethodPost, h.url+"/v1/completions", bytes.NewBufferString(body))
	require.NoError(t, err)
	return send(t, r, headers...)
}

// later posts on a goroutine of its own; the returned function waits for the reply.
func later(t testing.TB, h *host, body string) func() reply {
	got := make(chan reply, 1)
	go func() { got <- post(t, h, body) }()
	return func() reply { return <-got }
}

func send(t testing.TB, r *http.Request, headers ...string) reply {
	r.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	ctx, cancel := context.WithTimeout(r.Context(), 20*time.Second)
	defer cancel()
	response, err := http.DefaultTransport.RoundTrip(r.WithContext(ctx))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return reply{response.StatusCode, response.Header, string(text)}
}

// begun posts a stream and returns once the caller has got seen; the returned
// function waits for the rest.
func begun(t testing.TB, h *host, seen string) func() reply {
	r, err := http.NewRequest(http.MethodPost, h.url+"/v1/completions", strings.NewReader(asStream))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer secret")
	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	var text strings.Builder
	buffer := make([]byte, 1<<10)
	for !strings.Contains(text.String(), seen) {
		n, err := response.Body.Read(buffer)
		require.NoError(t, err)
		text.Write(buffer[:n])
	}
	return func() reply {
		rest, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return reply{response.StatusCode, response.Header, text.String() + string(rest)}
	}
}

const (
	asWhole  = `{"model":"fees@v1","prompt":"p","max_tokens":4}`
	asStream = `{"model":"fees@v1","prompt":"p","max_tokens":4,"stream":true}`
)

// words returns the text of an answer, and whether it is marked as whole.
func words(t testing.TB, r reply) (text string, whole bool) {
	for line := range strings.Lines(r.text) {
		line = strings.TrimSpace(strings.TrimPrefix(line, "data:"))
		if line == "[DONE]" {
			return text, true
		}
		var p struct {
			Model   string
			Choices []struct {
				Text   string
				Reason string `json:"finish_reason"`
			}
			Stall *int64
		}
		if json.Unmarshal([]byte(line), &p) != nil || len(p.Choices) != 1 {
			continue
		}
		require.Equal(t, "fees@v1", p.Model)
		text += p.Choices[0].Text
		whole = p.Choices[0].Reason != "" && p.Stall != nil && r.header.Get("X-Stall") != ""
	}
	return text, whole
}

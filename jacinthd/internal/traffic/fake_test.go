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

// silence is the liveness timeout of links and engines in these tests.
const silence = 250 * time.Millisecond

// A step is called before each token is sent. If it returns true, the stream ends
// there.
type step func(e *fakeEngine, w http.ResponseWriter, r *http.Request, id string, index int) bool

// A fakeEngine answers each completion with t0 t1 ... and counts what it runs.
type fakeEngine struct {
	server       *httptest.Server
	addr         netip.AddrPort
	mu           sync.Mutex
	ran          map[string]int // by id
	cancelledIDs map[string]bool
	calls        int // completion calls so far
	// steps gives the behaviour of each completion call in order. Calls after the
	// last one are served correctly.
	steps      []step
	refuseCode string // the code with which completions are refused
	// promptSteps gives the behaviour by prompt and takes precedence over steps.
	promptSteps map[string]step
	crashed     bool // by crashAll
}

func newEngine(t testing.TB, steps ...step) *fakeEngine {
	e := &fakeEngine{ran: map[string]int{}, cancelledIDs: map[string]bool{}, steps: steps}
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
	if e.calls < len(e.steps) && e.steps[e.calls] != nil {
		behaviour = e.steps[e.calls]
	}
	if e.promptSteps[b.Prompt] != nil {
		behaviour = e.promptSteps[b.Prompt]
	}
	e.calls++
	refuseCode, gone := e.refuseCode, b.Offset > 0 && (e.ran[b.ID] == 0 || e.cancelledIDs[b.ID])
	if refuseCode == "" && !gone && e.ran[b.ID] == 0 {
		e.ran[b.ID]++
	}
	e.mu.Unlock()
	if refuseCode != "" || gone {
		w.WriteHeader(http.StatusNotFound)
		_, _ = fmt.Fprintf(w, `{"code":%q}`, cmp.Or(refuseCode, "gone"))
		return
	}
	for i := b.Offset; i <= b.Max; i++ {
		if behaviour(e, w, r, b.ID, i) {
			return
		}
		if i < b.Max {
			writeToken(w, b.ID, b.Model, i)
		}
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"done\":true,\"tokens\":%d}\n\ndata: [DONE]\n\n", b.ID, b.Model, b.Max)
}

// writeToken sends the token with the given index.
func writeToken(w http.ResponseWriter, id, model string, index int) {
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"index\":%d,\"text\":\"t%d \"}\n\n", id, model, index, index)
	_ = http.NewResponseController(w).Flush()
}

func (e *fakeEngine) cancel(w http.ResponseWriter, r *http.Request) {
	var b struct{ ID string }
	_ = json.NewDecoder(r.Body).Decode(&b)
	e.mu.Lock()
	e.cancelledIDs[b.ID] = true
	e.mu.Unlock()
	_, _ = io.WriteString(w, `{"cancelled":true}`)
}

// counts returns the number of runs and the number of cancelled ones.
func (e *fakeEngine) counts() (ran, cancelled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.ran {
		ran += n
	}
	return ran, len(e.cancelledIDs)
}

// atIndex returns a step that applies act before the token with the given index.
func atIndex(index int, act step) step {
	return func(e *fakeEngine, w http.ResponseWriter, r *http.Request, id string, i int) bool {
		return i == index && act(e, w, r, id, i)
	}
}

// abort closes the connection before the answer is complete.
func abort(*fakeEngine, http.ResponseWriter, *http.Request, string, int) bool {
	panic(http.ErrAbortHandler)
}

// hang sends nothing until the connection ends.
func hang(_ *fakeEngine, _ http.ResponseWriter, r *http.Request, _ string, _ int) bool {
	<-r.Context().Done()
	return true
}

// crash closes the listener and the connection, as when the engine's process ends.
func crash(e *fakeEngine, _ http.ResponseWriter, _ *http.Request, _ string, _ int) bool {
	_ = e.server.Listener.Close()
	panic(http.ErrAbortHandler)
}

// A fakeControl admits requests at once to the runners that it owns.
type fakeControl struct {
	mu             sync.Mutex
	config         *patch.Config
	unready        bool
	routes         func() []control.Candidate
	owned          map[string]netip.AddrPort
	admit          func(ctx context.Context) error
	admitted       chan struct{} // receives a value before each call of admit
	stall          time.Duration
	permitsExpired bool // whether the permits of tickets have expired
	outcomes       []string
	crashes        []string
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
	addr, ok := c.owned[runner]
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
	if c.permitsExpired {
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

// endedOutcomes returns the outcomes of the tickets that have ended, in order.
func (c *fakeControl) endedOutcomes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.outcomes...)
}

// configuration returns a configuration that allows the caller "carrier" (token
// "secret") to use fees@v1 and the plain service "registry".
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

// identities creates an identity for each name. All of them trust each other.
func identities(t testing.TB, names ...string) map[string]*peer.Identity {
	dir := t.TempDir()
	file := func(name, kind string, der []byte) []byte {
		block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), block, 0o600))
		return block
	}
	var trusted []byte
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
		trusted = append(trusted, file(name+".cert", "CERTIFICATE", der)...)
		file(name+".key", "PRIVATE KEY", private)
	}
	require.NoError(t, os.WriteFile(filepath.Join(dir, "all"), trusted, 0o600))
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

// A host is an entry host on loopback sockets.
type host struct {
	*traffic.Server
	fake *fakeControl
	name string
	peer netip.AddrPort
	url  string
	// handler serves the link. If nil, ServeForwarded does.
	handler peer.Handler
}

// A droppableConn drops all datagrams in both directions while drop is set.
type droppableConn struct {
	net.PacketConn
	drop atomic.Bool
}

func (c *droppableConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(b)
		if err != nil || !c.drop.Load() {
			return n, from, err
		}
	}
}

func (c *droppableConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.drop.Load() {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

// newDroppableHost returns a host and the socket of its link.
func newDroppableHost(t testing.TB, config *patch.Config, identity *peer.Identity, configure ...func(*host)) (*host, *droppableConn) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	dropping := &droppableConn{PacketConn: conn}
	return newHostOn(t, config, identity, dropping, configure...), dropping
}

func newHost(t testing.TB, config *patch.Config, identity *peer.Identity, configure ...func(*host)) *host {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	return newHostOn(t, config, identity, conn, configure...)
}

func newHostOn(t testing.TB, config *patch.Config, identity *peer.Identity, conn net.PacketConn, configure ...func(*host)) *host {
	fake := &fakeControl{config: config, owned: map[string]netip.AddrPort{}, admitted: make(chan struct{}, 8), routes: func() []control.Candidate { return nil }}
	link := &peer.Link{Identity: identity, Conn: conn, LivenessTimeout: silence}
	h := &host{fake: fake, name: identity.Name, peer: netip.MustParseAddrPort(conn.LocalAddr().String())}
	h.Server = &traffic.Server{
		Control: fake, Engine: &engine.Client{ProgressTimeout: silence}, Link: link,
		Limits: traffic.Limits{MaxBodyBytes: 4 << 10, ResumeTimeout: 2 * time.Second},
	}
	for _, f := range configure {
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
		shutdownCtx, done := context.WithTimeout(context.Background(), 20*time.Second)
		defer done()
		require.NoError(t, h.Shutdown(shutdownCtx))
		cancel()
		_ = link.Close()
		serving.Wait()
		h.Engine.Close()
	})
	return h
}

// withLongEngineTimeout sets an engine timeout that is longer than a test lasts.
func withLongEngineTimeout(h *host) { h.Engine.ProgressTimeout = testTimeout }

// localCandidate makes h the owner of a runner and returns the candidate by which h
// itself reaches it.
func (h *host) localCandidate(runner string, e *fakeEngine) control.Candidate {
	h.own(runner, e)
	return control.Candidate{Runner: runner, Owner: h.name, Local: true}
}

// remoteCandidate makes h the owner of a runner and returns the candidate by which
// other hosts reach it.
func (h *host) remoteCandidate(runner string, e *fakeEngine) control.Candidate {
	h.own(runner, e)
	return control.Candidate{Runner: runner, Owner: h.name, Peer: h.peer}
}

// own makes h admit requests to a runner.
func (h *host) own(runner string, e *fakeEngine) {
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	h.fake.owned[runner] = e.addr
}

// route sets the candidates for all requests.
func (h *host) route(candidates ...control.Candidate) {
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	h.fake.routes = func() []control.Candidate { return candidates }
}

// gate returns a step that sends on reached and then blocks the stream until opened
// is closed or its connection ends.
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

// A reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	text   string
}

// errorCode returns the code and verdict of the error in the reply, which is either
// its body or the error event of a stream.
func (r reply) errorCode(t testing.TB) (code, verdict string) {
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

// postAsync posts in a separate goroutine. The returned function waits for the
// reply.
func postAsync(t testing.TB, h *host, body string) func() reply {
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

// postStreamUntil posts a request for a stream and returns once the caller has
// received the text seen. The returned function reads the rest.
func postStreamUntil(t testing.TB, h *host, seen string) func() reply {
	r, err := http.NewRequest(http.MethodPost, h.url+"/v1/completions", strings.NewReader(streamBody))
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
	jsonBody   = `{"model":"fees@v1","prompt":"p","max_tokens":4}`
	streamBody = `{"model":"fees@v1","prompt":"p","max_tokens":4,"stream":true}`
)

// completionText returns the text of an answer and whether the answer is marked as
// complete.
func completionText(t testing.TB, r reply) (text string, complete bool) {
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
		complete = p.Choices[0].Reason != "" && p.Stall != nil && r.header.Get("X-Stall") != ""
	}
	return text, complete
}

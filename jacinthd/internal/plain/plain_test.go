package plain_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/plain"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/ledger"
	"jacinthstage/stage/service"
	"jacinthstage/stage/store"
	"jacinthstage/stage/target"
	"jacinthstage/stage/verdict"
)

var registry = service.Service{Name: "registry", Plain: &service.Plain{Idempotent: []service.Call{{Method: "GET", Path: "/status/"}}}}

// A backend is a target of a plain service that counts the calls it runs, by key.
type backend struct {
	*httptest.Server
	mu     sync.Mutex
	ran    map[string]int
	header http.Header // of the last call
	// after, if set, handles each call after it was counted. If nil, calls are
	// answered with 201.
	after func(w http.ResponseWriter, r *http.Request)
}

func newBackend(t *testing.T, after func(w http.ResponseWriter, r *http.Request)) *backend {
	b := &backend{ran: map[string]int{}, after: after}
	b.Server = httptest.NewServer(b)
	t.Cleanup(b.Close)
	t.Cleanup(b.CloseClientConnections)
	return b
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	key := r.Header.Get("Idempotency-Key")
	b.ran[key]++
	times := b.ran[key]
	b.header = r.Header
	b.mu.Unlock()
	if b.after != nil {
		b.after(w, r)
		return
	}
	w.Header().Set("X-Made", "yes")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "%s %s %s %d", r.URL.RequestURI(), key, body, times)
}

func (b *backend) runs(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[key]
}

func (b *backend) target() target.Target {
	return target.Target{Name: b.URL, Service: "registry", Address: netip.MustParseAddrPort(b.Listener.Addr().String())}
}

// closed returns a target that refuses connections.
func closed(t *testing.T) target.Target {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	require.NoError(t, socket.Close())
	return target.Target{Name: "closed", Service: "registry", Address: address}
}

// abort ends the connection without an answer.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// reset resets the TCP connection instead of closing it.
func reset(w http.ResponseWriter, _ *http.Request) {
	socket, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = socket.(*net.TCPConn).SetLinger(0)
		_ = socket.Close()
	}
}

// hang sends nothing until the connection ends.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// serve starts an entry host that serves the registry at the given targets, and returns
// its URL.
func serve(t *testing.T, h *plain.Handler, targets ...target.Target) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.Serve(w, r, caller.Caller{Name: "demo"}, registry, r.URL.Path, targets)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(h.Wait)
	return server.URL
}

// An answer is the response that a caller received.
type answer struct {
	status  int
	verdict string // of an error
	body    string
	header  http.Header
	err     error
}

func call(t *testing.T, method, url, key, body string) answer {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(strings.NewReader(body)))
	require.NoError(t, err)
	r.ContentLength = int64(len(body))
	r.Header.Set("Authorization", "Bearer secret")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	got, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = got.Body.Close() }()
	text, err := io.ReadAll(got.Body)
	var failed struct{ Error struct{ Verdict string } }
	_ = json.Unmarshal(text, &failed)
	return answer{status: got.StatusCode, verdict: failed.Error.Verdict, body: string(text), header: got.Header, err: err}
}

func TestRepeatedKeyReturnsSameAnswer(t *testing.T) {
	b, objects := newBackend(t, nil), &memory.Store{}
	one := serve(t, &plain.Handler{Store: objects}, b.target())
	two := serve(t, &plain.Handler{Store: objects}, b.target())
	first := call(t, "POST", one+"/charge?x=1", "k", "fee")
	require.Equal(t, 201, first.status)
	require.Equal(t, "/charge?x=1 k fee 1", first.body)
	require.Equal(t, "yes", first.header.Get("X-Made"))
	require.Empty(t, b.header.Get("Authorization"))
	again := call(t, "POST", two+"/charge?x=1", "k", "fee")
	require.Equal(t, first.body, again.body)
	require.Equal(t, "yes", again.header.Get("X-Made"))
	other := call(t, "POST", two+"/charge?x=1", "k", "other fee")
	require.Equal(t, 422, other.status)
	require.Equal(t, 400, call(t, "POST", one+"/charge", "", "fee").status)
	require.Equal(t, 1, b.runs("k"))
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  memory.Faults
		record  *ledger.Record // present before the first call
		after   func(http.ResponseWriter, *http.Request)
		status  int
		verdict string
		again   int // status when the key is sent again without faults
		runs    int
	}{
		{"answer of the create lost", memory.Faults{LoseAnswers: 1}, nil, nil, 201, "", 201, 1},
		{"create lost", memory.Faults{DropWrites: 1}, nil, nil, 201, "", 201, 1},
		{"object API down", memory.Faults{Outage: true}, nil, nil, 503, "notrun", 201, 1},
		{"host stopped between record and call", memory.Faults{}, &ledger.Record{State: ledger.Sent, Attempt: "of a stopped host"}, nil, 409, "mayhaverun", 409, 0},
		{"answer of the call lost", memory.Faults{}, nil, abort, 502, "mayhaverun", 409, 1},
		{"connection reset after the call", memory.Faults{}, nil, reset, 502, "mayhaverun", 409, 1},
		{"target goes silent", memory.Faults{}, nil, hang, 502, "mayhaverun", 409, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, objects := newBackend(t, c.after), &memory.Store{}
			url := serve(t, &plain.Handler{Store: objects, IdleTimeout: 200 * time.Millisecond}, b.target())
			if c.record != nil {
				c.record.Fingerprint = ledger.Fingerprint("POST", "/charge", "", []byte("fee"))
				value, err := c.record.Encode()
				require.NoError(t, err)
				_, err = objects.Create(t.Context(), ledger.Key("demo", "registry", "k"), value)
				require.NoError(t, err)
			}
			objects.SetFaults(c.faults)
			first := call(t, "POST", url+"/charge", "k", "fee")
			require.Equal(t, c.status, first.status, first.body)
			require.Equal(t, c.verdict, first.verdict)
			if c.status == 503 {
				require.Equal(t, "1", first.header.Get("Retry-After"))
				require.Zero(t, b.runs("k"))
			}
			objects.SetFaults(memory.Faults{})
			require.Equal(t, c.again, call(t, "POST", url+"/charge", "k", "fee").status)
			require.Equal(t, c.runs, b.runs("k"))
		})
	}
}

func TestAnswerIsRecordedBeforeReply(t *testing.T) {
	b, objects := newBackend(t, nil), &memory.Store{}
	url := serve(t, &plain.Handler{Store: objects, RecordTimeout: 10 * time.Second}, b.target())
	objects.SetFaults(memory.Faults{Delay: 100 * time.Millisecond})
	require.Equal(t, 201, call(t, "POST", url+"/charge", "k", "fee").status)
	objects.SetFaults(memory.Faults{})
	object, err := objects.Get(t.Context(), ledger.Key("demo", "registry", "k"))
	require.NoError(t, err)
	record, err := ledger.Decode(object.Value)
	require.NoError(t, err)
	require.Equal(t, ledger.Done, record.State)
}

func TestLostAnswerOnUsedTarget(t *testing.T) {
	b := newBackend(t, nil)
	url := serve(t, &plain.Handler{Store: &memory.Store{}}, b.target())
	require.Equal(t, 201, call(t, "POST", url+"/charge", "a", "").status)
	b.after = abort
	require.Equal(t, 502, call(t, "POST", url+"/charge", "b", "").status)
	require.Equal(t, 1, b.runs("b"), "no lower layer retries the call")
}

func TestTargetThatRefusesConnections(t *testing.T) {
	b, objects := newBackend(t, nil), &memory.Store{}
	none := serve(t, &plain.Handler{Store: objects}, closed(t), closed(t))
	refused := call(t, "POST", none+"/charge", "k", "fee")
	require.Equal(t, 503, refused.status)
	require.Equal(t, "notrun", refused.verdict)
	url := serve(t, &plain.Handler{Store: objects}, closed(t), b.target())
	for _, key := range []string{"k", "l", "m"} {
		require.Equal(t, 201, call(t, "POST", url+"/charge", key, "fee").status)
		require.Equal(t, 1, b.runs(key))
	}
}

// A slowStore delays each update by 200 ms.
type slowStore struct{ *memory.Store }

func (s slowStore) Update(ctx context.Context, key string, version uint64, value []byte) (store.Object, error) {
	time.Sleep(200 * time.Millisecond)
	return s.Store.Update(ctx, key, version, value)
}

func TestRefusedCallCanBeSentAgainAtOnce(t *testing.T) {
	b, objects := newBackend(t, nil), slowStore{&memory.Store{}}
	none := serve(t, &plain.Handler{Store: objects}, closed(t))
	url := serve(t, &plain.Handler{Store: objects}, b.target())
	require.Equal(t, 503, call(t, "POST", none+"/charge", "k", "fee").status)
	require.Equal(t, 201, call(t, "POST", url+"/charge", "k", "fee").status)
}

// TestConcurrentCallsThroughTwoHosts sends each key through both hosts at the same
// time while answers of the object API to writes are lost. Each call must run exactly
// once.
func TestConcurrentCallsThroughTwoHosts(t *testing.T) {
	b, objects := newBackend(t, nil), &memory.Store{}
	urls := []string{
		serve(t, &plain.Handler{Store: objects}, b.target()),
		serve(t, &plain.Handler{Store: objects}, b.target()),
	}
	for round := range 20 {
		key := fmt.Sprint("key", round)
		objects.SetFaults(memory.Faults{LoseAnswers: round % 3})
		answers := make([]answer, 6)
		var all sync.WaitGroup
		for i := range answers {
			all.Go(func() { answers[i] = call(t, "POST", urls[i%2]+"/charge", key, "fee") })
		}
		all.Wait()
		require.Equal(t, 1, b.runs(key))
		answered := 0
		for _, a := range answers {
			require.NoError(t, a.err)
			if a.status == 409 {
				require.Equal(t, verdict.MayHaveRun.String(), a.verdict)
				continue
			}
			answered++
			require.Equal(t, 201, a.status)
			require.Equal(t, "/charge "+key+" fee 1", a.body)
		}
		require.Positive(t, answered, "the request that sent the call gets its answer")
	}
}

func TestLongAnswerKeepsOnlyOutcome(t *testing.T) {
	long := strings.Repeat("x", ledger.MaxStoredBody+100000)
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
	url := serve(t, &plain.Handler{Store: &memory.Store{}}, b.target())
	require.Equal(t, long, call(t, "POST", url+"/charge", "k", "").body)
	again := call(t, "POST", url+"/charge", "k", "")
	require.Equal(t, 409, again.status)
	require.Equal(t, "ran", again.verdict)
	require.Equal(t, 1, b.runs("k"))
}

func TestCallerDisconnectsAndRetrievesAnswer(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = io.WriteString(w, "late")
	})
	h := &plain.Handler{Store: &memory.Store{}}
	url := serve(t, h, b.target())
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, "POST", url+"/charge", nil)
	require.NoError(t, err)
	r.Header.Set("Idempotency-Key", "k")
	gone := make(chan struct{})
	go func() {
		_, _ = http.DefaultClient.Do(r)
		close(gone)
	}()
	<-arrived
	cancel()
	<-gone
	close(release)
	require.Eventually(t, func() bool { return call(t, "POST", url+"/charge", "k", "").body == "late" }, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, 1, b.runs("k"))
}

func TestIdempotentCalls(t *testing.T) {
	half := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for _, c := range []struct {
		name     string
		first    func(http.ResponseWriter, *http.Request)
		status   int
		complete bool
		runs     int // runs on both targets
	}{
		{"answer lost", abort, 201, true, 2},
		{"silent target", hang, 201, true, 2},
		{"broken after the first byte", half, 200, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			faulty, healthy := newBackend(t, c.first), newBackend(t, nil)
			// The handler rotates its targets, and its first call begins with the second.
			h := &plain.Handler{Store: &memory.Store{}, IdleTimeout: 200 * time.Millisecond}
			got := call(t, "GET", serve(t, h, healthy.target(), faulty.target())+"/status/d1", "", "")
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.complete, got.err == nil)
			require.Equal(t, c.runs, faulty.runs("")+healthy.runs(""))
		})
	}
}

// A spentBudget is a retry budget that allows no retries.
type spentBudget struct{}

func (spentBudget) Succeeded(string)  {}
func (spentBudget) Retry(string) bool { return false }

func TestSpentBudgetStopsRetries(t *testing.T) {
	faulty, healthy := newBackend(t, abort), newBackend(t, nil)
	h := &plain.Handler{Store: &memory.Store{}, RetryBudget: spentBudget{}}
	got := call(t, "GET", serve(t, h, healthy.target(), faulty.target())+"/status/d1", "", "")
	require.Equal(t, 502, got.status)
	require.Zero(t, healthy.runs(""))
}

func TestBodyOverLimit(t *testing.T) {
	b := newBackend(t, nil)
	url := serve(t, &plain.Handler{Store: &memory.Store{}, MaxBodyBytes: 10}, b.target())
	require.Equal(t, 413, call(t, "POST", url+"/charge", "k", "eleven byte").status)
	require.Zero(t, b.runs("k"))
}

package traffic_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/internal/traffic"
	"jacinthstage/stage/adapter"
)

// patience bounds each wait of these tests.
const patience = 10 * time.Second

func eventually(t testing.TB, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, patience, time.Millisecond)
}

// ended waits for the end of a host's one ticket.
func ended(t testing.TB, h *host, outcome string) {
	t.Helper()
	eventually(t, func() bool { return len(h.fake.ended()) > 0 })
	require.Equal(t, []string{outcome}, h.fake.ended())
}

// eachPath runs a test with an entry host that owns the runner, and with one
// that forwards to the owner. set prepares the owner; place puts an engine there.
func eachPath(t *testing.T, set func(*host), test func(t *testing.T, entry, owner *host, place func(*fakeEngine) control.Candidate)) {
	ids := identities(t, "entry-1", "entry-2")
	t.Run("own", func(t *testing.T) {
		t.Parallel()
		entry := newHost(t, configuration(t), ids["entry-1"], set)
		test(t, entry, entry, func(e *fakeEngine) control.Candidate { return entry.here("r1", e) })
	})
	t.Run("forwarded", func(t *testing.T) {
		t.Parallel()
		entry, owner := newHost(t, configuration(t), ids["entry-1"], patient), newHost(t, configuration(t), ids["entry-2"], set)
		test(t, entry, owner, func(e *fakeEngine) control.Candidate { return owner.there("r1", e) })
	})
}

// The link to the owner goes silent in an answer, and another host owns the
// runner now: the answer goes on there, and the old owner cancels nothing.
func TestResumeThroughAnotherOwner(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2", "entry-3")
	reached, opened := make(chan struct{}, 2), make(chan struct{})
	e := newEngine(t, at(2, gate(reached, opened)))
	entry := newHost(t, configuration(t), ids["entry-1"])
	old, link := newMuted(t, configuration(t), ids["entry-2"], patient)
	now := newHost(t, configuration(t), ids["entry-3"])
	entry.route(old.there("r1", e))
	wait := begun(t, entry, "t1 ")
	<-reached
	link.drop.Store(true)
	entry.route(now.there("r1", e))
	got := wait()
	text, whole := words(t, got)
	require.Equal(t, all, text)
	require.True(t, whole)
	ended(t, old, "Lost") // another host owns the runner
	ended(t, now, "Served")
	ran, cancelled := e.total()
	require.Equal(t, []int{1, 0}, []int{ran, cancelled})
}

// The link goes silent in an answer and heals: the answer goes on at the same
// owner, which has held its ticket.
func TestResumeOnTheHeldTicket(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached := make(chan struct{}, 2)
	e := newEngine(t, at(2, gate(reached, nil)))
	entry := newHost(t, configuration(t), ids["entry-1"])
	owner, link := newMuted(t, configuration(t), ids["entry-2"], patient, func(h *host) { h.Limits.ResumeTimeout = patience })
	owner.route(owner.here("r1", e))
	entry.route(owner.there("r1", e))
	wait := begun(t, entry, "t1 ")
	<-reached
	link.drop.Store(true)
	time.Sleep(3 * silence)
	link.drop.Store(false)
	text, whole := words(t, wait())
	require.Equal(t, all, text)
	require.True(t, whole)
	ended(t, owner, "Served") // one ticket
	ran, cancelled := e.total()
	require.Equal(t, []int{1, 0}, []int{ran, cancelled})
}

// The same before the first byte has reached the caller, with no other runner.
func TestResumeBeforeTheFirstByte(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached := make(chan struct{}, 2)
	e := newEngine(t, at(0, gate(reached, nil)))
	entry := newHost(t, configuration(t), ids["entry-1"])
	owner, link := newMuted(t, configuration(t), ids["entry-2"], patient, func(h *host) { h.Limits.ResumeTimeout = patience })
	entry.route(owner.there("r1", e))
	wait := later(t, entry, asWhole)
	<-reached
	link.drop.Store(true)
	time.Sleep(3 * silence)
	link.drop.Store(false)
	text, whole := words(t, wait())
	require.Equal(t, all, text)
	require.True(t, whole)
	ran, cancelled := e.total()
	require.Equal(t, []int{1, 0}, []int{ran, cancelled})
}

// A later try reaches the owner before the end of the earlier one has: it takes
// over the ticket, and nothing is cancelled.
func TestLaterTryTakesOver(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached, opened := make(chan struct{}, 2), make(chan struct{})
	e := newEngine(t, at(1, gate(reached, nil)), at(2, gate(reached, opened)))
	entry := newHost(t, configuration(t), ids["entry-1"])
	owner := newHost(t, configuration(t), ids["entry-2"], patient)
	owner.there("r1", e)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	forward := peer.Forward{ID: "i", Ref: adapter.Ref{Name: "fees", Version: "v1"}, Runner: "r1", Tokens: 4, Deadline: time.Now().Add(patience)}
	earlier, err := entry.Link.Open(ctx, owner.peer, "entry-2", forward)
	require.NoError(t, err)
	<-reached
	forward.Offset = 1
	later, err := entry.Link.Open(ctx, owner.peer, "entry-2", forward)
	require.NoError(t, err)
	defer later.Close()
	<-reached
	earlier.Close()
	require.Empty(t, owner.fake.ended())
	close(opened)
	var got []peer.Message
	for range 5 {
		m, err := later.Recv()
		require.NoError(t, err)
		got = append(got, m)
	}
	require.Equal(t, peer.End{Tokens: 4}, got[4])
	ended(t, owner, "Served")
	ran, cancelled := e.total()
	require.Equal(t, []int{1, 0}, []int{ran, cancelled})
}

// Nobody comes back for a request whose entry host was lost: it is cancelled.
func TestLostEntryHost(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached := make(chan struct{}, 2)
	e := newEngine(t, at(2, gate(reached, nil)))
	entry, link := newMuted(t, configuration(t), ids["entry-1"])
	owner := newHost(t, configuration(t), ids["entry-2"], patient, func(h *host) { h.Limits.ResumeTimeout = time.Millisecond })
	owner.route(owner.here("r1", e))
	entry.route(owner.there("r1", e))
	wait := later(t, entry, asStream)
	<-reached
	link.drop.Store(true)
	ended(t, owner, "Cancelled")
	code, verdict := wait().problem(t)
	require.NotEqual(t, "notrun", verdict, code)
}

func TestCallerHangsUp(t *testing.T) {
	for _, index := range []int{0, 2} {
		eachPath(t, patient, func(t *testing.T, entry, owner *host, place func(*fakeEngine) control.Candidate) {
			reached := make(chan struct{}, 2)
			e := newEngine(t, at(index, gate(reached, nil)))
			entry.route(place(e))
			ctx, cancel := context.WithCancel(context.Background())
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.url+"/v1/completions", strings.NewReader(asStream))
			require.NoError(t, err)
			r.Header.Set("Authorization", "Bearer secret")
			go func() {
				<-reached
				cancel()
			}()
			response, err := http.DefaultTransport.RoundTrip(r)
			if err == nil {
				_ = response.Body.Close()
			}
			ended(t, owner, "Cancelled")
			_, cancelled := e.total()
			require.Equal(t, 1, cancelled)
		})
	}
}

// A caller that takes nothing for a while is gone; its request is cancelled.
func TestStuckCaller(t *testing.T) {
	flood := func(_ *fakeEngine, w http.ResponseWriter, r *http.Request, id string, _ int) bool {
		text := strings.Repeat("x", 32<<10)
		for i := 0; r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(w, "data: {\"id\":%q,\"model\":\"fees@v1\",\"index\":%d,\"text\":%q}\n\n", id, i, text); err != nil {
				return true
			}
		}
		return true
	}
	set := func(h *host) {
		patient(h)
		h.Limits.CallerIOTimeout = silence
	}
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"], set)
	e := newEngine(t, at(0, flood))
	entry.route(entry.here("r1", e))
	begun(t, entry, "xxx") // and never read on
	ended(t, entry, "Cancelled")
}

// More requests than allowed at once, and a spent budget for other regions:
// refused at once, and not run.
func TestFullHostAndSpentLink(t *testing.T) {
	reached, opened := make(chan struct{}, 1), make(chan struct{})
	e := newEngine(t, at(0, gate(reached, opened)))
	set := func(h *host) {
		patient(h)
		h.Limits.MaxRequests = 1
		h.CrossRegionLimiter = rate.NewLimiter(1, 100)
	}
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"], set)
	entry.route(entry.here("r1", e))
	wait := later(t, entry, asWhole)
	<-reached
	code, verdict := post(t, entry, asWhole).problem(t)
	require.Equal(t, "busy notrun", code+" "+verdict)
	close(opened)
	_, whole := words(t, wait())
	require.True(t, whole)
	entry.route(control.Candidate{Runner: "r2", Owner: "entry-9", Peer: entry.peer, CrossRegion: true})
	code, verdict = post(t, entry, asWhole).problem(t)
	require.Equal(t, "unavailable notrun", code+" "+verdict)
	ran, _ := e.total()
	require.Equal(t, 1, ran)
}

func TestFarLimit(t *testing.T) {
	require.Nil(t, traffic.NewCrossRegionLimiter(0, traffic.Limits{}))
	limits := traffic.Limits{MaxBodyBytes: 1000, MaxTokens: 10}
	for bytes, burst := range map[int]int{1: 400 + 1000 + 10*64, 5000: 5000} {
		far := traffic.NewCrossRegionLimiter(bytes, limits)
		require.Equal(t, burst, far.Burst())
		require.Equal(t, rate.Limit(bytes), far.Limit())
	}
}

func TestDeadlinePassesOnTheEngine(t *testing.T) {
	for _, body := range []string{asWhole, asStream} {
		eachPath(t, patient, func(t *testing.T, entry, owner *host, place func(*fakeEngine) control.Candidate) {
			e := newEngine(t, at(1, hang))
			entry.route(place(e))
			got := post(t, entry, body, "X-Deadline", time.Now().Add(time.Second).Format(time.RFC3339Nano))
			code, verdict := got.problem(t)
			require.Equal(t, "expired mayhaverun", code+" "+verdict)
			require.Equal(t, body == asWhole, got.status == http.StatusGatewayTimeout)
			ended(t, owner, "Cancelled")
		})
	}
}

// An owner that was paused between admission and sending: nothing is sent once
// nobody waits, the deadline has passed or the leave has lapsed.
func TestPausedOwnerSendsNothing(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration // the deadline
		pause func(ctx context.Context)
	}{
		{"caller gone", patience, func(ctx context.Context) { <-ctx.Done() }},
		{"deadline passed", time.Second, func(ctx context.Context) { <-ctx.Done() }},
		{"leave lapsed", patience, func(context.Context) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			paused := func(h *host) {
				h.fake.lapsed = c.name == "leave lapsed"
				h.fake.admit = func(ctx context.Context) error {
					c.pause(ctx)
					return nil
				}
			}
			eachPath(t, paused, func(t *testing.T, entry, owner *host, place func(*fakeEngine) control.Candidate) {
				e := newEngine(t)
				entry.route(place(e))
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.name == "caller gone" {
					go func() {
						<-owner.fake.admitted
						cancel()
					}()
				}
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.url+"/v1/completions", strings.NewReader(asStream))
				require.NoError(t, err)
				r.Header.Set("Authorization", "Bearer secret")
				r.Header.Set("X-Deadline", time.Now().Add(c.after).Format(time.RFC3339Nano))
				response, err := http.DefaultTransport.RoundTrip(r)
				if err == nil {
					require.NotEqual(t, http.StatusOK, response.StatusCode)
					_ = response.Body.Close()
				}
				ended(t, owner, "Refused")
				ran, _ := e.total()
				require.Zero(t, ran)
			})
		})
	}
}

// A planned stop ends once what is in progress has ended, at both hosts.
func TestPlannedStopCutsNothing(t *testing.T) {
	eachPath(t, patient, func(t *testing.T, entry, owner *host, place func(*fakeEngine) control.Candidate) {
		reached, opened := make(chan struct{}, 1), make(chan struct{})
		e := newEngine(t, at(2, gate(reached, opened)))
		entry.route(place(e))
		wait := later(t, entry, asStream)
		<-reached
		var mu sync.Mutex
		var order []string
		note := func(what string) {
			mu.Lock()
			defer mu.Unlock()
			order = append(order, what)
		}
		var stops sync.WaitGroup
		for _, h := range []*host{entry, owner} {
			stops.Go(func() {
				if err := h.Shutdown(context.Background()); err == nil {
					note("stopped")
				}
			})
		}
		eventually(t, func() bool { // the listener is closed
			r, _ := http.NewRequest(http.MethodGet, entry.url, nil)
			response, err := (&http.Transport{}).RoundTrip(r)
			if err == nil {
				_ = response.Body.Close()
			}
			return err != nil
		})
		note("released")
		close(opened)
		text, whole := words(t, wait())
		require.Equal(t, all, text)
		require.True(t, whole)
		stops.Wait()
		require.Equal(t, []string{"released", "stopped", "stopped"}, order)
		ended(t, owner, "Served")
	})
}

// A host that answers out of order, short or with something else: nothing of
// it reaches the caller as an answer.
func TestMisbehavingHost(t *testing.T) {
	cases := []struct {
		name    string
		answers []peer.Message
	}{
		{"gap", []peer.Message{peer.Token{Index: 0, Text: "t0 "}, peer.Token{Index: 2, Text: "t2 "}}},
		{"doubled", []peer.Message{peer.Token{Index: 0, Text: "t0 "}, peer.Token{Index: 0, Text: "t0 "}}},
		{"short", []peer.Message{peer.Token{Index: 0, Text: "t0 "}, peer.End{Tokens: 2}}},
		{"no end", []peer.Message{peer.Token{Index: 0, Text: "t0 "}}},
		{"something else", []peer.Message{peer.Token{Index: 0, Text: "t0 "}, peer.Ack{}}},
	}
	ids := identities(t, "entry-1", "entry-2")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry := newHost(t, configuration(t), ids["entry-1"], func(h *host) { h.Limits.ResumeTimeout = silence })
			owner := newHost(t, configuration(t), ids["entry-2"], func(h *host) {
				h.handler = func(_ context.Context, _ string, _ peer.Message, stream *peer.Stream) {
					for _, m := range c.answers {
						_ = stream.Send(m)
					}
				}
			})
			entry.route(control.Candidate{Runner: "r1", Owner: "entry-2", Peer: owner.peer})
			got := post(t, entry, asStream)
			text, whole := words(t, got)
			require.Equal(t, "t0 ", text)
			require.False(t, whole)
			code, verdict := got.problem(t)
			require.Equal(t, "broken mayhaverun", code+" "+verdict)
		})
	}
}

// suspects refuse a request after two crashes.
type suspects struct {
	mu      sync.Mutex
	crashes map[string]map[string]bool
}

func (s *suspects) Refused(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes[fingerprint]) >= 2
}

func (s *suspects) Crashed(fingerprint, crash string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes[fingerprint] == nil {
		s.crashes[fingerprint] = map[string]bool{}
	}
	s.crashes[fingerprint][crash] = true
}

func (s *suspects) Enter(context.Context, string, string, string) error { return nil }

func (s *suspects) Leave(string, string, bool) {}

func (s *suspects) CrashedRun(fingerprint, _, crash string) { s.Crashed(fingerprint, crash) }

// A request that crashes each engine that runs it, sent again and again.
func TestCrashingRequestMeetsTwoEngines(t *testing.T) {
	set := func(h *host) { h.Quarantine = &suspects{crashes: map[string]map[string]bool{}} }
	eachPath(t, set, func(t *testing.T, entry, owner *host, _ func(*fakeEngine) control.Candidate) {
		var engines []*fakeEngine
		var candidates []control.Candidate
		for _, name := range []string{"r1", "r2", "r3", "r4"} {
			e := newEngine(t, at(0, crash))
			engines = append(engines, e)
			if entry == owner {
				candidates = append(candidates, owner.here(name, e))
			} else {
				candidates = append(candidates, owner.there(name, e))
			}
		}
		entry.route(candidates...)
		code, verdict := post(t, entry, asWhole).problem(t)
		require.Equal(t, "suspect mayhaverun", code+" "+verdict)
		got := post(t, entry, asWhole)
		code, verdict = got.problem(t)
		require.Equal(t, "suspect notrun", code+" "+verdict)
		require.Equal(t, http.StatusUnprocessableEntity, got.status)
		require.Empty(t, got.header.Get("Retry-After"))
		total := 0
		for _, e := range engines {
			ran, _ := e.total()
			total += ran
		}
		require.Equal(t, 2, total)
	})
}

// spent is a retry budget that is spent.
type spent struct{}

func (spent) Succeeded(string)  {}
func (spent) Retry(string) bool { return false }

func TestSpentBudgetEndsRetries(t *testing.T) {
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"], func(h *host) { h.RetryBudget = spent{} })
	first, second := newEngine(t), newEngine(t)
	first.deny = "full"
	entry.route(entry.here("r1", first), entry.here("r2", second))
	got := post(t, entry, asWhole)
	code, verdict := got.problem(t)
	require.Equal(t, "busy notrun", code+" "+verdict)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "1", got.header.Get("Retry-After"))
	one, _ := first.total()
	two, _ := second.total()
	require.Zero(t, one+two)
}

// The loss of a host takes all requests that it had in progress at once, far
// more than a budget allows: they go to other runners all the same.
func TestLostHostNeedsNoBudget(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached := make(chan struct{}, 2)
	first, second := newEngine(t, at(0, gate(reached, nil))), newEngine(t)
	entry := newHost(t, configuration(t), ids["entry-1"], func(h *host) { h.RetryBudget = spent{} })
	owner, link := newMuted(t, configuration(t), ids["entry-2"], patient)
	entry.route(owner.there("r1", first), entry.here("r2", second))
	wait := later(t, entry, asWhole)
	<-reached
	link.drop.Store(true)
	text, whole := words(t, wait())
	require.Equal(t, all, text)
	require.True(t, whole)
	text, whole = words(t, post(t, entry, asWhole)) // now the host can't be reached
	require.Equal(t, all, text)
	require.True(t, whole)
}

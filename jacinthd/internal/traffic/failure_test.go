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

// testTimeout limits each wait of these tests.
const testTimeout = 10 * time.Second

func eventually(t testing.TB, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, testTimeout, time.Millisecond)
}

// requireOutcome waits until a ticket of the host has ended and checks that it is the
// only one and has the given outcome.
func requireOutcome(t testing.TB, h *host, outcome string) {
	t.Helper()
	eventually(t, func() bool { return len(h.fake.endedOutcomes()) > 0 })
	require.Equal(t, []string{outcome}, h.fake.endedOutcomes())
}

// eachPath runs a test with an entry host that owns the runner, and with one
// that forwards to the owner. configure prepares the owner. addEngine adds an engine
// as the owner's runner r1 and returns the candidate for the entry host.
func eachPath(t *testing.T, configure func(*host), test func(t *testing.T, entry, owner *host, addEngine func(*fakeEngine) control.Candidate)) {
	ids := identities(t, "entry-1", "entry-2")
	t.Run("own", func(t *testing.T) {
		t.Parallel()
		entry := newHost(t, configuration(t), ids["entry-1"], configure)
		test(t, entry, entry, func(e *fakeEngine) control.Candidate { return entry.localCandidate("r1", e) })
	})
	t.Run("forwarded", func(t *testing.T) {
		t.Parallel()
		entry, owner := newHost(t, configuration(t), ids["entry-1"], withLongEngineTimeout), newHost(t, configuration(t), ids["entry-2"], configure)
		test(t, entry, owner, func(e *fakeEngine) control.Candidate { return owner.remoteCandidate("r1", e) })
	})
}

// TestResumeThroughAnotherOwner silences the link to the owner during an answer, while
// another host takes over the runner. The answer must be resumed through the new owner,
// and the old owner must not cancel the request.
func TestResumeThroughAnotherOwner(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2", "entry-3")
	reached, opened := make(chan struct{}, 2), make(chan struct{})
	e := newEngine(t, atIndex(2, gate(reached, opened)))
	entry := newHost(t, configuration(t), ids["entry-1"])
	oldOwner, link := newDroppableHost(t, configuration(t), ids["entry-2"], withLongEngineTimeout)
	newOwner := newHost(t, configuration(t), ids["entry-3"])
	entry.route(oldOwner.remoteCandidate("r1", e))
	wait := postStreamUntil(t, entry, "t1 ")
	<-reached
	link.drop.Store(true)
	entry.route(newOwner.remoteCandidate("r1", e))
	got := wait()
	text, complete := completionText(t, got)
	require.Equal(t, fullText, text)
	require.True(t, complete)
	requireOutcome(t, oldOwner, "Lost") // without a cancellation, as another host owns the runner
	requireOutcome(t, newOwner, "Served")
	ran, cancelled := e.counts()
	require.Equal(t, []int{1, 0}, []int{ran, cancelled})
}

// TestResumeOnRetainedTicket silences the link during an answer until it recovers. The
// answer must be resumed at the same owner, on the ticket that it has retained.
func TestResumeOnRetainedTicket(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached := make(chan struct{}, 2)
	e := newEngine(t, atIndex(2, gate(reached, nil)))
	entry := newHost(t, configuration(t), ids["entry-1"])
	owner, link := newDroppableHost(t, configuration(t), ids["entry-2"], withLongEngineTimeout, func(h *host) { h.Limits.ResumeTimeout = testTimeout })
	owner.route(owner.localCandidate("r1", e))
	entry.route(owner.remoteCandidate("r1", e))
	wait := postStreamUntil(t, entry, "t1 ")
	<-reached
	link.drop.Store(true)
	time.Sleep(3 * silence)
	link.drop.Store(false)
	text, complete := completionText(t, wait())
	require.Equal(t, fullText, text)
	require.True(t, complete)
	requireOutcome(t, owner, "Served") // on a single ticket
	ran, cancelled := e.counts()
	require.Equal(t, []int{1, 0}, []int{ran, cancelled})
}

// TestResumeBeforeFirstByte silences the link before the first byte has reached the
// caller, until it recovers. As there is no other runner, the request must be resumed
// and not run twice.
func TestResumeBeforeFirstByte(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached := make(chan struct{}, 2)
	e := newEngine(t, atIndex(0, gate(reached, nil)))
	entry := newHost(t, configuration(t), ids["entry-1"])
	owner, link := newDroppableHost(t, configuration(t), ids["entry-2"], withLongEngineTimeout, func(h *host) { h.Limits.ResumeTimeout = testTimeout })
	entry.route(owner.remoteCandidate("r1", e))
	wait := postAsync(t, entry, jsonBody)
	<-reached
	link.drop.Store(true)
	time.Sleep(3 * silence)
	link.drop.Store(false)
	text, complete := completionText(t, wait())
	require.Equal(t, fullText, text)
	require.True(t, complete)
	ran, cancelled := e.counts()
	require.Equal(t, []int{1, 0}, []int{ran, cancelled})
}

// TestLaterAttemptTakesOver has a later attempt reach the owner before the end of the
// earlier one does. It must take over the ticket, and nothing must be cancelled.
func TestLaterAttemptTakesOver(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached, opened := make(chan struct{}, 2), make(chan struct{})
	e := newEngine(t, atIndex(1, gate(reached, nil)), atIndex(2, gate(reached, opened)))
	entry := newHost(t, configuration(t), ids["entry-1"])
	owner := newHost(t, configuration(t), ids["entry-2"], withLongEngineTimeout)
	owner.remoteCandidate("r1", e)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	forward := peer.Forward{ID: "i", Ref: adapter.Ref{Name: "fees", Version: "v1"}, Runner: "r1", Tokens: 4, Deadline: time.Now().Add(testTimeout)}
	earlier, err := entry.Link.Open(ctx, owner.peer, "entry-2", forward)
	require.NoError(t, err)
	<-reached
	forward.Offset = 1
	later, err := entry.Link.Open(ctx, owner.peer, "entry-2", forward)
	require.NoError(t, err)
	defer later.Close()
	<-reached
	earlier.Close()
	require.Empty(t, owner.fake.endedOutcomes())
	close(opened)
	var got []peer.Message
	for range 5 {
		m, err := later.Recv()
		require.NoError(t, err)
		got = append(got, m)
	}
	require.Equal(t, peer.End{Tokens: 4}, got[4])
	requireOutcome(t, owner, "Served")
	ran, cancelled := e.counts()
	require.Equal(t, []int{1, 0}, []int{ran, cancelled})
}

// TestLostEntryHost loses the entry host, and nothing resumes its request. The owner
// must cancel the request after ResumeTimeout.
func TestLostEntryHost(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached := make(chan struct{}, 2)
	e := newEngine(t, atIndex(2, gate(reached, nil)))
	entry, link := newDroppableHost(t, configuration(t), ids["entry-1"])
	owner := newHost(t, configuration(t), ids["entry-2"], withLongEngineTimeout, func(h *host) { h.Limits.ResumeTimeout = time.Millisecond })
	owner.route(owner.localCandidate("r1", e))
	entry.route(owner.remoteCandidate("r1", e))
	wait := postAsync(t, entry, streamBody)
	<-reached
	link.drop.Store(true)
	requireOutcome(t, owner, "Cancelled")
	code, verdict := wait().errorCode(t)
	require.NotEqual(t, "notrun", verdict, code)
}

func TestCallerHangsUp(t *testing.T) {
	for _, index := range []int{0, 2} {
		eachPath(t, withLongEngineTimeout, func(t *testing.T, entry, owner *host, addEngine func(*fakeEngine) control.Candidate) {
			reached := make(chan struct{}, 2)
			e := newEngine(t, atIndex(index, gate(reached, nil)))
			entry.route(addEngine(e))
			ctx, cancel := context.WithCancel(context.Background())
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.url+"/v1/completions", strings.NewReader(streamBody))
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
			requireOutcome(t, owner, "Cancelled")
			_, cancelled := e.counts()
			require.Equal(t, 1, cancelled)
		})
	}
}

// TestCallerStopsReading has a caller that stops reading its answer. After
// CallerIOTimeout, its request must be cancelled.
func TestCallerStopsReading(t *testing.T) {
	flood := func(_ *fakeEngine, w http.ResponseWriter, r *http.Request, id string, _ int) bool {
		text := strings.Repeat("x", 32<<10)
		for i := 0; r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(w, "data: {\"id\":%q,\"model\":\"fees@v1\",\"index\":%d,\"text\":%q}\n\n", id, i, text); err != nil {
				return true
			}
		}
		return true
	}
	configure := func(h *host) {
		withLongEngineTimeout(h)
		h.Limits.CallerIOTimeout = silence
	}
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"], configure)
	e := newEngine(t, atIndex(0, flood))
	entry.route(entry.localCandidate("r1", e))
	postStreamUntil(t, entry, "xxx") // the rest is never read
	requireOutcome(t, entry, "Cancelled")
}

// TestRequestLimitAndCrossRegionBudget checks that requests over MaxRequests, and
// requests to another region over its budget, are refused at once and not run.
func TestRequestLimitAndCrossRegionBudget(t *testing.T) {
	reached, opened := make(chan struct{}, 1), make(chan struct{})
	e := newEngine(t, atIndex(0, gate(reached, opened)))
	configure := func(h *host) {
		withLongEngineTimeout(h)
		h.Limits.MaxRequests = 1
		h.CrossRegionLimiter = rate.NewLimiter(1, 100)
	}
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"], configure)
	entry.route(entry.localCandidate("r1", e))
	wait := postAsync(t, entry, jsonBody)
	<-reached
	code, verdict := post(t, entry, jsonBody).errorCode(t)
	require.Equal(t, "busy notrun", code+" "+verdict)
	close(opened)
	_, complete := completionText(t, wait())
	require.True(t, complete)
	entry.route(control.Candidate{Runner: "r2", Owner: "entry-9", Peer: entry.peer, CrossRegion: true})
	code, verdict = post(t, entry, jsonBody).errorCode(t)
	require.Equal(t, "unavailable notrun", code+" "+verdict)
	ran, _ := e.counts()
	require.Equal(t, 1, ran)
}

func TestCrossRegionLimiter(t *testing.T) {
	require.Nil(t, traffic.NewCrossRegionLimiter(0, traffic.Limits{}))
	limits := traffic.Limits{MaxBodyBytes: 1000, MaxTokens: 10}
	for bytes, burst := range map[int]int{1: 400 + 1000 + 10*64, 5000: 5000} {
		far := traffic.NewCrossRegionLimiter(bytes, limits)
		require.Equal(t, burst, far.Burst())
		require.Equal(t, rate.Limit(bytes), far.Limit())
	}
}

func TestDeadlinePassesOnEngine(t *testing.T) {
	for _, body := range []string{jsonBody, streamBody} {
		eachPath(t, withLongEngineTimeout, func(t *testing.T, entry, owner *host, addEngine func(*fakeEngine) control.Candidate) {
			e := newEngine(t, atIndex(1, hang))
			entry.route(addEngine(e))
			got := post(t, entry, body, "X-Deadline", time.Now().Add(time.Second).Format(time.RFC3339Nano))
			code, verdict := got.errorCode(t)
			require.Equal(t, "expired mayhaverun", code+" "+verdict)
			require.Equal(t, body == jsonBody, got.status == http.StatusGatewayTimeout)
			requireOutcome(t, owner, "Cancelled")
		})
	}
}

// TestPausedOwnerSendsNothing pauses an owner between admission and sending.
// Afterwards, it must not send the request if the caller has gone, the deadline has
// passed or the permit has expired.
func TestPausedOwnerSendsNothing(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration // time until the deadline
		pause func(ctx context.Context)
	}{
		{"caller gone", testTimeout, func(ctx context.Context) { <-ctx.Done() }},
		{"deadline passed", time.Second, func(ctx context.Context) { <-ctx.Done() }},
		{"permit expired", testTimeout, func(context.Context) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			paused := func(h *host) {
				h.fake.permitsExpired = c.name == "permit expired"
				h.fake.admit = func(ctx context.Context) error {
					c.pause(ctx)
					return nil
				}
			}
			eachPath(t, paused, func(t *testing.T, entry, owner *host, addEngine func(*fakeEngine) control.Candidate) {
				e := newEngine(t)
				entry.route(addEngine(e))
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.name == "caller gone" {
					go func() {
						<-owner.fake.admitted
						cancel()
					}()
				}
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.url+"/v1/completions", strings.NewReader(streamBody))
				require.NoError(t, err)
				r.Header.Set("Authorization", "Bearer secret")
				r.Header.Set("X-Deadline", time.Now().Add(c.after).Format(time.RFC3339Nano))
				response, err := http.DefaultTransport.RoundTrip(r)
				if err == nil {
					require.NotEqual(t, http.StatusOK, response.StatusCode)
					_ = response.Body.Close()
				}
				requireOutcome(t, owner, "Refused")
				ran, _ := e.counts()
				require.Zero(t, ran)
			})
		})
	}
}

// TestShutdownWaitsForRequests checks that Shutdown of the entry host and of the owner
// returns only after the requests in progress have ended, and does not interrupt them.
func TestShutdownWaitsForRequests(t *testing.T) {
	eachPath(t, withLongEngineTimeout, func(t *testing.T, entry, owner *host, addEngine func(*fakeEngine) control.Candidate) {
		reached, opened := make(chan struct{}, 1), make(chan struct{})
		e := newEngine(t, atIndex(2, gate(reached, opened)))
		entry.route(addEngine(e))
		wait := postAsync(t, entry, streamBody)
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
		eventually(t, func() bool { // until the listener is closed
			r, _ := http.NewRequest(http.MethodGet, entry.url, nil)
			response, err := (&http.Transport{}).RoundTrip(r)
			if err == nil {
				_ = response.Body.Close()
			}
			return err != nil
		})
		note("released")
		close(opened)
		text, complete := completionText(t, wait())
		require.Equal(t, fullText, text)
		require.True(t, complete)
		stops.Wait()
		require.Equal(t, []string{"released", "stopped", "stopped"}, order)
		requireOutcome(t, owner, "Served")
	})
}

// TestMisbehavingHost has an owner that answers out of order, incompletely or with an
// unexpected message. The caller must receive only the valid tokens and then an error.
func TestMisbehavingHost(t *testing.T) {
	cases := []struct {
		name    string
		answers []peer.Message
	}{
		{"gap", []peer.Message{peer.Token{Index: 0, Text: "t0 "}, peer.Token{Index: 2, Text: "t2 "}}},
		{"duplicate", []peer.Message{peer.Token{Index: 0, Text: "t0 "}, peer.Token{Index: 0, Text: "t0 "}}},
		{"short", []peer.Message{peer.Token{Index: 0, Text: "t0 "}, peer.End{Tokens: 2}}},
		{"no end", []peer.Message{peer.Token{Index: 0, Text: "t0 "}}},
		{"unexpected message", []peer.Message{peer.Token{Index: 0, Text: "t0 "}, peer.Ack{}}},
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
			got := post(t, entry, streamBody)
			text, complete := completionText(t, got)
			require.Equal(t, "t0 ", text)
			require.False(t, complete)
			code, verdict := got.errorCode(t)
			require.Equal(t, "broken mayhaverun", code+" "+verdict)
		})
	}
}

// A fakeQuarantine refuses a request after two crashes.
type fakeQuarantine struct {
	mu      sync.Mutex
	crashes map[string]map[string]bool
}

func (s *fakeQuarantine) Refused(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes[fingerprint]) >= 2
}

func (s *fakeQuarantine) Crashed(fingerprint, crash string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes[fingerprint] == nil {
		s.crashes[fingerprint] = map[string]bool{}
	}
	s.crashes[fingerprint][crash] = true
}

func (s *fakeQuarantine) Enter(context.Context, string, string, string) error { return nil }

func (s *fakeQuarantine) Leave(string, string, bool) {}

func (s *fakeQuarantine) CrashedRun(fingerprint, _, crash string) { s.Crashed(fingerprint, crash) }

// TestCrashingRequestRunsOnTwoEngines sends a request that crashes every engine that
// runs it. It must be refused after it has crashed two engines, also when it is sent
// again.
func TestCrashingRequestRunsOnTwoEngines(t *testing.T) {
	configure := func(h *host) { h.Quarantine = &fakeQuarantine{crashes: map[string]map[string]bool{}} }
	eachPath(t, configure, func(t *testing.T, entry, owner *host, _ func(*fakeEngine) control.Candidate) {
		var engines []*fakeEngine
		var candidates []control.Candidate
		for _, name := range []string{"r1", "r2", "r3", "r4"} {
			e := newEngine(t, atIndex(0, crash))
			engines = append(engines, e)
			if entry == owner {
				candidates = append(candidates, owner.localCandidate(name, e))
			} else {
				candidates = append(candidates, owner.remoteCandidate(name, e))
			}
		}
		entry.route(candidates...)
		code, verdict := post(t, entry, jsonBody).errorCode(t)
		require.Equal(t, "suspect mayhaverun", code+" "+verdict)
		got := post(t, entry, jsonBody)
		code, verdict = got.errorCode(t)
		require.Equal(t, "suspect notrun", code+" "+verdict)
		require.Equal(t, http.StatusUnprocessableEntity, got.status)
		require.Empty(t, got.header.Get("Retry-After"))
		total := 0
		for _, e := range engines {
			ran, _ := e.counts()
			total += ran
		}
		require.Equal(t, 2, total)
	})
}

// A spentBudget is a retry budget that allows no retries.
type spentBudget struct{}

func (spentBudget) Succeeded(string)  {}
func (spentBudget) Retry(string) bool { return false }

func TestSpentBudgetStopsRetries(t *testing.T) {
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"], func(h *host) { h.RetryBudget = spentBudget{} })
	first, second := newEngine(t), newEngine(t)
	first.refuseCode = "full"
	entry.route(entry.localCandidate("r1", first), entry.localCandidate("r2", second))
	got := post(t, entry, jsonBody)
	code, verdict := got.errorCode(t)
	require.Equal(t, "busy notrun", code+" "+verdict)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "1", got.header.Get("Retry-After"))
	one, _ := first.counts()
	two, _ := second.counts()
	require.Zero(t, one+two)
}

// TestLostHostNeedsNoBudget loses a host, which ends all requests that it had in
// progress at once. These can be far more than the retry budget allows. They must still
// be moved to other runners.
func TestLostHostNeedsNoBudget(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	reached := make(chan struct{}, 2)
	first, second := newEngine(t, atIndex(0, gate(reached, nil))), newEngine(t)
	entry := newHost(t, configuration(t), ids["entry-1"], func(h *host) { h.RetryBudget = spentBudget{} })
	owner, link := newDroppableHost(t, configuration(t), ids["entry-2"], withLongEngineTimeout)
	entry.route(owner.remoteCandidate("r1", first), entry.localCandidate("r2", second))
	wait := postAsync(t, entry, jsonBody)
	<-reached
	link.drop.Store(true)
	text, complete := completionText(t, wait())
	require.Equal(t, fullText, text)
	require.True(t, complete)
	text, complete = completionText(t, post(t, entry, jsonBody)) // the host can no longer be reached
	require.Equal(t, fullText, text)
	require.True(t, complete)
}

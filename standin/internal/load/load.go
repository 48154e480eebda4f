// Package load sends a plan's requests to entry hosts as their callers do, and
// checks every answer: each token against the model and prompt, the model
// named in the answer, and that there is exactly one final answer.
//
// A caller comes back after a refusal that says that the request did not run,
// when the refusal says so, a bounded number of times. A request whose
// connection broke before its answer was whole goes to another host, as a
// balancer would send it; those are counted as resent. Calls that may run only
// once keep their key.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/standin/internal/plan"
)

const (
	// hostBackoff is how long a host that refused a connection gets no request.
	hostBackoff = time.Second
	// resendDelay is how long a caller waits before it sends a cut request again.
	resendDelay = 50 * time.Millisecond
	// deadlineMargin is how long after its deadline a request may still be answered.
	deadlineMargin = 5 * time.Second
	// maxIdleConnsPerHost kept to each host.
	maxIdleConnsPerHost = 512
)

// A Tool sends requests. Set its exported fields before Run.
type Generator struct {
	Hosts           []netip.AddrPort // caller API of the entry hosts
	Runners         []netip.AddrPort // engines, for their counts
	Registries      []netip.AddrPort // plain services, for their counts
	Token           string           // bearer token
	IssuanceService string           // plain service that issues certificates
	Plan            plan.Plan        // Models empty: all that the caller may use
	MaxAttempts     int              // most times that a request is sent
	Deadline        time.Duration    // time for a request, all tries together
	Progress        io.Writer        // a line each second; nil for none

	client           *http.Client
	mu               sync.Mutex
	rng              *rand.Rand
	unavailableUntil map[netip.AddrPort]time.Time // hosts to avoid until
	stats            stats
	checker          runChecker
}

// Run sends all requests, waits for their ends and returns the report. It
// fails where the models or the counts can't be read.
func (t *Generator) Run(ctx context.Context) (Report, error) {
	t.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
	t.rng = rand.New(rand.NewPCG(t.Plan.Seed, 1))
	t.unavailableUntil = map[netip.AddrPort]time.Time{}
	if len(t.Plan.Models) == 0 {
		models, err := t.listModels(ctx)
		if err != nil {
			return Report{}, err
		}
		t.Plan.Models = models
	}
	t.checker.seed = t.Plan.Seed
	before, err := t.readCounts(ctx)
	if err != nil {
		return Report{}, err
	}
	shown, stop := context.WithCancel(ctx)
	go t.printProgress(shown)
	t.send(ctx)
	stop()
	after, err := t.readCounts(context.WithoutCancel(ctx))
	if err != nil {
		return Report{}, err
	}
	report := t.stats.report(before, after)
	report.RefusedButRan, report.AnsweredNotRun = t.checker.check(before, after)
	return report, nil
}

// send starts each request at its time, whether or not earlier ones have ended.
func (t *Generator) send(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	start := time.Now()
	source := plan.New(t.Plan)
	for {
		request, at, ok := source.Next()
		if !ok || !sleep(ctx, time.Until(start.Add(at))) {
			return
		}
		all.Go(func() {
			limit, cancel := context.WithTimeout(ctx, t.Deadline+deadlineMargin)
			defer cancel()
			t.execute(limit, request)
		})
	}
}

func (t *Generator) execute(ctx context.Context, request plan.Request) {
	switch r := request.(type) {
	case plan.Completion:
		t.stats.countSent()
		t.stats.countOutcome(t.runCompletion(ctx, r))
	case plan.Issuance:
		t.runIssuance(ctx, r)
	default:
		panic(fmt.Sprintf("load: unknown request %T", request))
	}
}

// pickHost returns a host to send to, not one of those that lately refused a
// connection, and not last unless there is no other.
func (t *Generator) pickHost(last netip.AddrPort) netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var fit []netip.AddrPort
	for _, h := range t.Hosts {
		if h != last && now.After(t.unavailableUntil[h]) {
			fit = append(fit, h)
		}
	}
	if len(fit) == 0 {
		fit = t.Hosts
	}
	return fit[t.rng.IntN(len(fit))]
}

func (t *Generator) markUnavailable(host netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailableUntil[host] = time.Now().Add(hostBackoff)
}

func (t *Generator) listModels(ctx context.Context) ([]string, error) {
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := t.getJSON(ctx, t.Hosts[0], "/v1/models", &list); err != nil {
		return nil, err
	}
	var models []string
	for _, m := range list.Data {
		models = append(models, m.ID)
	}
	if len(models) == 0 {
		return nil, errors.New("load: the caller may use no model")
	}
	return models, nil
}

func (t *Generator) getJSON(ctx context.Context, host netip.AddrPort, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	r.Header.Set("Authorization", "Bearer "+t.Token)
	answer, err := t.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("load: %s: %s", path, answer.Status)
	}
	return errors.Wrap(json.NewDecoder(answer.Body).Decode(into), "load")
}

func (t *Generator) printProgress(ctx context.Context) {
	for t.Progress != nil && sleep(ctx, time.Second) {
		_, _ = fmt.Fprintln(t.Progress, t.stats.progressLine())
	}
}

// sleep returns false where ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

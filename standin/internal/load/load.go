// Package load implements a load generator: it sends a plan's requests to entry
// hosts as callers do and checks every answer: each token against the model and
// prompt, the model named in the answer, and that there is exactly one final
// answer.
//
// After a refusal whose verdict is that the request did not run, the generator
// retries at the time that the refusal names, a bounded number of times. If a
// connection breaks before the answer is complete, it sends the request to
// another host, as a load balancer would, and counts it as resent. The attempts
// of a call that may run only once share one idempotency key.
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
	// hostBackoff is how long no request is sent to a host that refused a connection.
	hostBackoff = time.Second
	// resendDelay is the pause before an attempt that follows an interrupted
	// answer or a refused connection.
	resendDelay = 50 * time.Millisecond
	// deadlineMargin is how long after a request's deadline an answer is still awaited.
	deadlineMargin = 5 * time.Second
	// maxIdleConnsPerHost is the number of idle connections kept open to each host.
	maxIdleConnsPerHost = 512
)

// A Generator sends requests. Set the exported fields before calling Run.
type Generator struct {
	Hosts           []netip.AddrPort // caller API addresses of the entry hosts
	Runners         []netip.AddrPort // engines whose counts are read
	Registries      []netip.AddrPort // plain services whose counts are read
	Token           string           // bearer token
	IssuanceService string           // plain service that issues certificates
	Plan            plan.Plan        // empty Models means all models that the caller may use
	MaxAttempts     int              // maximum number of times that a request is sent
	Deadline        time.Duration    // time limit of a request over all attempts
	Progress        io.Writer        // receives a line each second; nil for none

	client           *http.Client
	mu               sync.Mutex
	rng              *rand.Rand
	unavailableUntil map[netip.AddrPort]time.Time // hosts that refused a connection
	stats            stats
	checker          runChecker
}

// Run sends all requests, waits until they have ended and returns the report.
// It fails if the models or the counts can't be read.
func (g *Generator) Run(ctx context.Context) (Report, error) {
	g.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
	g.rng = rand.New(rand.NewPCG(g.Plan.Seed, 1))
	g.unavailableUntil = map[netip.AddrPort]time.Time{}
	if len(g.Plan.Models) == 0 {
		models, err := g.listModels(ctx)
		if err != nil {
			return Report{}, err
		}
		g.Plan.Models = models
	}
	g.checker.seed = g.Plan.Seed
	before, err := g.readCounts(ctx)
	if err != nil {
		return Report{}, err
	}
	progress, stop := context.WithCancel(ctx)
	go g.printProgress(progress)
	g.send(ctx)
	stop()
	after, err := g.readCounts(context.WithoutCancel(ctx))
	if err != nil {
		return Report{}, err
	}
	report := g.stats.report(before, after)
	report.RefusedButRan, report.AnsweredNotRun = g.checker.check(before, after)
	return report, nil
}

// send starts each request at its scheduled time, whether or not earlier ones
// have ended.
func (g *Generator) send(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	start := time.Now()
	source := plan.New(g.Plan)
	for {
		request, at, ok := source.Next()
		if !ok || !sleep(ctx, time.Until(start.Add(at))) {
			return
		}
		requests.Go(func() {
			reqCtx, cancel := context.WithTimeout(ctx, g.Deadline+deadlineMargin)
			defer cancel()
			g.execute(reqCtx, request)
		})
	}
}

// execute runs a request over all its attempts and records the outcome.
func (g *Generator) execute(ctx context.Context, request plan.Request) {
	switch r := request.(type) {
	case plan.Completion:
		g.stats.countSent()
		g.stats.countOutcome(g.runCompletion(ctx, r))
	case plan.Issuance:
		g.runIssuance(ctx, r)
	default:
		panic(fmt.Sprintf("load: unknown request %T", request))
	}
}

// pickHost returns a random host other than last, leaving out hosts that refused
// a connection within hostBackoff. If none is left, it picks from all hosts.
func (g *Generator) pickHost(last netip.AddrPort) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var candidates []netip.AddrPort
	for _, h := range g.Hosts {
		if h != last && now.After(g.unavailableUntil[h]) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		candidates = g.Hosts
	}
	return candidates[g.rng.IntN(len(candidates))]
}

// markUnavailable excludes a host that refused a connection for hostBackoff.
func (g *Generator) markUnavailable(host netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unavailableUntil[host] = time.Now().Add(hostBackoff)
}

// listModels returns the models that the caller may use.
func (g *Generator) listModels(ctx context.Context) ([]string, error) {
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := g.getJSON(ctx, g.Hosts[0], "/v1/models", &list); err != nil {
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

// getJSON sends a GET request and decodes the answer.
func (g *Generator) getJSON(ctx context.Context, host netip.AddrPort, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	r.Header.Set("Authorization", "Bearer "+g.Token)
	answer, err := g.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("load: %s: %s", path, answer.Status)
	}
	return errors.Wrap(json.NewDecoder(answer.Body).Decode(into), "load")
}

// printProgress writes a line each second until ctx ends.
func (g *Generator) printProgress(ctx context.Context) {
	for g.Progress != nil && sleep(ctx, time.Second) {
		_, _ = fmt.Fprintln(g.Progress, g.stats.progressLine())
	}
}

// sleep waits for d. It returns false if ctx ends first.
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

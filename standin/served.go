package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"jacinthstage/standin/internal/engine"
)

// servedPollInterval is the pause between two queries to a runner.
const servedPollInterval = 20 * time.Millisecond

type servedCommand struct {
	runners addresses
	limit   time.Duration
}

func (*servedCommand) Name() string { return "served" }
func (*servedCommand) Synopsis() string {
	return "wait until each runner has started a request since the call"
}
func (*servedCommand) Usage() string {
	return `served -runners IP:PORT[,IP:PORT]... [flags]:
  Print for each runner the milliseconds until it started a request. Exit status
  0 only where each did within the limit.
`
}

func (c *servedCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.runners, "runners", "engines, `IP:PORT,...`")
	f.DurationVar(&c.limit, "limit", 20*time.Second, "time to wait")
}

func (c *servedCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	start := time.Now()
	errs := make([]error, len(c.runners))
	var runners sync.WaitGroup
	for i, runner := range c.runners {
		runners.Go(func() {
			if errs[i] = waitForRequest(ctx, runner); errs[i] == nil {
				fmt.Printf("%v %d ms\n", runner, time.Since(start).Milliseconds())
			}
		})
	}
	runners.Wait()
	status := subcommands.ExitSuccess
	for i, err := range errs {
		if err != nil {
			fmt.Fprintf(os.Stderr, "served: %v: %v\n", c.runners[i], err)
			status = subcommands.ExitFailure
		}
	}
	return status
}

// waitForRequest blocks until the runner has started a request.
func waitForRequest(ctx context.Context, runner netip.AddrPort) error {
	first, err := startedRequests(ctx, runner)
	if err != nil {
		return err
	}
	for {
		select {
		case <-time.After(servedPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		now, err := startedRequests(ctx, runner)
		if err != nil {
			return err
		}
		if now != first {
			return nil
		}
	}
}

// startedRequests returns the number of requests that the runner has started.
func startedRequests(ctx context.Context, runner netip.AddrPort) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+runner.String()+"/admin/counts", nil)
	if err != nil {
		return 0, errors.Wrap(err, "served")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, errors.Wrap(err, "served")
	}
	defer func() { _ = answer.Body.Close() }()
	var counts engine.Counts
	err = json.NewDecoder(answer.Body).Decode(&counts)
	return counts.Started, errors.Wrap(err, "served")
}

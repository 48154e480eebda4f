package main

import (
	"context"
	"flag"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"jacinthstage/standin/internal/engine"
)

// exitCrashed is the exit status after a prompt that crashes the runner.
const exitCrashed = 3

type runnerCommand struct {
	address  netip.AddrPort
	platform netip.AddrPort
	name     string
	slots    int
	batch    int
	token    time.Duration
	fenced   bool
	lag      time.Duration
	cold     time.Duration
}

func (*runnerCommand) Name() string     { return "runner" }
func (*runnerCommand) Synopsis() string { return "model engine with adapter slots" }
func (*runnerCommand) Usage() string    { return "runner [flags]\n" }

func (c *runnerCommand) SetFlags(f *flag.FlagSet) {
	listen(f, &c.address)
	c.platform = netip.MustParseAddrPort("127.0.0.1:7000")
	f.TextVar(&c.platform, "platform", c.platform, "`address` of the platform, IP:PORT")
	f.StringVar(&c.name, "name", "runner", "name of the runner")
	f.IntVar(&c.slots, "slots", 8, "adapters held at once")
	f.IntVar(&c.batch, "batch", 16, "requests run at once")
	f.DurationVar(&c.token, "token", 20*time.Millisecond, "time of a step, which makes a token for each running request")
	f.BoolVar(&c.fenced, "fenced", false, "refuse orders with an old number")
	f.DurationVar(&c.lag, "lag", 500*time.Millisecond, "age of the load reports")
	f.DurationVar(&c.cold, "cold", 0, "time until the runner listens")
}

func (c *runnerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	e := &engine.Engine{
		Slots:        c.slots,
		Batch:        c.batch,
		StepTime:     c.token,
		Fenced:       c.fenced,
		ReportLag:    c.lag,
		FetchWeights: c.fetchWeights,
		Crash:        func() { os.Exit(exitCrashed) },
	}
	select {
	case <-time.After(c.cold):
	case <-ctx.Done():
		return subcommands.ExitSuccess
	}
	return run(ctx, c.name, c.address, e.Handler())
}

// fetchWeights downloads an adapter's weights from the platform's weight store.
func (c *runnerCommand) fetchWeights(ctx context.Context, adapter string) error {
	weightsURL := url.URL{
		Scheme:   "http",
		Host:     c.platform.String(),
		Path:     "/v1/weights/" + adapter,
		RawQuery: url.Values{"runner": {c.name}}.Encode(),
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, weightsURL.String(), nil)
	if err != nil {
		return errors.Wrap(err, "runner: weights")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "runner: weights")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("runner: weights: %s", answer.Status)
	}
	return nil
}

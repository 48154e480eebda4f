package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"jacinthstage/standin/internal/load"
)

type loadCommand struct {
	gen    load.Generator
	report string
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send requests to entry hosts and check the answers" }
func (*loadCommand) Usage() string {
	return `load -hosts IP:PORT[,IP:PORT]... -token TOKEN [flags]:
  Exit status 0 only where no answer was wrong, lost or doubled and no adapter
  was evicted beneath a request.
`
}

// addresses is a flag value that holds a list of addresses.
type addresses []netip.AddrPort

func (a *addresses) String() string { return fmt.Sprint(*a) }

func (a *addresses) Set(list string) error {
	for _, item := range strings.Split(list, ",") {
		address, err := netip.ParseAddrPort(item)
		if err != nil {
			return err
		}
		*a = append(*a, address)
	}
	return nil
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	g, p := &c.gen, &c.gen.Plan
	f.Var((*addresses)(&g.Hosts), "hosts", "caller API of the entry hosts, `IP:PORT,...`")
	f.Var((*addresses)(&g.Runners), "runners", "engines to read counts of, `IP:PORT,...`")
	f.Var((*addresses)(&g.Registries), "registries", "plain services to read counts of, `IP:PORT,...`")
	f.StringVar(&g.Token, "token", "", "bearer token")
	f.StringVar(&g.IssuanceService, "service", "registry", "plain service that issues certificates")
	f.IntVar(&g.MaxAttempts, "tries", 6, "most times that a request is sent")
	f.DurationVar(&g.Deadline, "deadline", 15*time.Second, "time for a request, all tries together")
	f.Float64Var(&p.Rate, "rate", 100, "requests a second")
	f.IntVar(&p.MaxRequests, "count", 1000, "most requests")
	f.DurationVar(&p.Duration, "time", 30*time.Second, "time of sending")
	f.Float64Var(&p.ZipfExponent, "zipf", 1, "exponent of the popularity")
	f.DurationVar(&p.ShiftInterval, "shift", 10*time.Second, "time between shifts of popularity; 0 is never")
	f.Float64Var(&p.ShiftShare, "moved", 0.15, "share of models that a shift moves")
	f.Float64Var(&p.StreamShare, "stream", 0.7, "share of completions that are streamed")
	f.Float64Var(&p.IssuanceShare, "issue", 0, "share of requests that are certificate issuances")
	f.Float64Var(&p.ResendShare, "resend", 0.5, "share of issuances sent a second time with their key")
	f.IntVar(&p.MeanTokens, "tokens", 16, "mean length of an answer")
	f.IntVar(&p.PromptBytes, "prompt", 200, "length of a prompt in bytes")
	f.Uint64Var(&p.Seed, "seed", 1, "seed of all that is drawn")
	f.StringVar(&c.report, "report", "", "`file` for the report in JSON")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(c.gen.Hosts) == 0 || c.gen.Plan.Rate <= 0 {
		fmt.Fprintln(os.Stderr, "load: -hosts and a -rate above 0 are needed")
		return subcommands.ExitUsageError
	}
	c.gen.Progress = os.Stderr
	report, err := c.gen.Run(ctx)
	if err == nil {
		err = report.Print(os.Stdout)
	}
	if err == nil && c.report != "" {
		err = save(c.report, report)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if !report.Passed() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// save writes the report to file as JSON.
func save(file string, report load.Report) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

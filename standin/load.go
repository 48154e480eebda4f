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
	tool   load.Generator
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

// addresses is a flag with a list of addresses.
type addresses []netip.AddrPort

func (a *addresses) String() string { return fmt.Sprint(*a) }

func (a *addresses) Set(list string) error {
	for _, one := range strings.Split(list, ",") {
		address, err := netip.ParseAddrPort(one)
		if err != nil {
			return err
		}
		*a = append(*a, address)
	}
	return nil
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	t, p := &c.tool, &c.tool.Plan
	f.Var((*addresses)(&t.Hosts), "hosts", "caller API of the entry hosts, `IP:PORT,...`")
	f.Var((*addresses)(&t.Runners), "runners", "engines to read counts of, `IP:PORT,...`")
	f.Var((*addresses)(&t.Registries), "registries", "plain services to read counts of, `IP:PORT,...`")
	f.StringVar(&t.Token, "token", "", "bearer token")
	f.StringVar(&t.IssuanceService, "service", "registry", "plain service that issues certificates")
	f.IntVar(&t.MaxAttempts, "tries", 6, "most times that a request is sent")
	f.DurationVar(&t.Deadline, "deadline", 15*time.Second, "time for a request, all tries together")
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
	if len(c.tool.Hosts) == 0 || c.tool.Plan.Rate <= 0 {
		fmt.Fprintln(os.Stderr, "load: -hosts and a -rate above 0 are needed")
		return subcommands.ExitUsageError
	}
	c.tool.Progress = os.Stderr
	report, err := c.tool.Run(ctx)
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

func save(file string, report load.Report) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

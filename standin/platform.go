package main

import (
	"context"
	"flag"
	"net/netip"
	"time"

	"github.com/google/subcommands"

	"jacinthstage/standin/internal/platform"
)

type platformCommand struct {
	address        netip.AddrPort
	writes         float64
	reads          float64
	loads          float64
	fullSpeedLoads int
	loadTime       time.Duration
	lag            time.Duration
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "object API, host list and weight store" }
func (*platformCommand) Usage() string    { return "platform [flags]\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	listen(f, &c.address)
	f.Float64Var(&c.writes, "writes", 400, "writes a second on the object API; 0 is no limit")
	f.Float64Var(&c.reads, "reads", 2000, "reads a second on the object API; 0 is no limit")
	f.Float64Var(&c.loads, "loads", 4, "loads a second from the weight store; 0 is no limit")
	f.IntVar(&c.fullSpeedLoads, "limit", 8, "loads in flight at full speed")
	f.DurationVar(&c.loadTime, "time", 250*time.Millisecond, "time of a load at full speed")
	f.DurationVar(&c.lag, "lag", time.Second, "time until a change shows in the host list")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	p := &platform.Platform{WritesPerSecond: c.writes, ReadsPerSecond: c.reads}
	p.Weights.LoadsPerSecond, p.Weights.FullSpeedLoads, p.Weights.LoadTime = c.loads, c.fullSpeedLoads, c.loadTime
	p.Hosts.Lag = c.lag
	return run(ctx, "platform", c.address, p.Handler())
}

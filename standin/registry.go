package main

import (
	"context"
	"flag"
	"net/netip"

	"github.com/google/subcommands"

	"jacinthstage/standin/internal/registry"
)

type registryCommand struct {
	address netip.AddrPort
	name    string
}

func (*registryCommand) Name() string     { return "registry" }
func (*registryCommand) Synopsis() string { return "plain service that counts each call by its key" }
func (*registryCommand) Usage() string    { return "registry [flags]\n" }

func (c *registryCommand) SetFlags(f *flag.FlagSet) {
	listen(f, &c.address)
	f.StringVar(&c.name, "name", "registry", "name of the registry")
}

func (c *registryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	g := &registry.Registry{Name: c.name}
	return run(ctx, c.name, c.address, g.Handler())
}

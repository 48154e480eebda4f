package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"strings"

	"github.com/google/subcommands"

	"jacinthstage/jacinthd/internal/build"
	"jacinthstage/jacinthd/internal/peer"
)

// version is the command that prints the version of the program.
type version struct{}

// Name implements subcommands.Command.
func (*version) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*version) Synopsis() string {
	return "print the commit and the versions of the protocol between hosts"
}

// Usage implements subcommands.Command.
func (*version) Usage() string { return "version\n" }

// SetFlags implements subcommands.Command.
func (*version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("jacinthd", build.Commit(), runtime.Version(), strings.Join(peer.Protocols(), " "))
	return subcommands.ExitSuccess
}

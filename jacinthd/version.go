package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// version is the command that prints the version of the program.
type version struct{}

// Name implements subcommands.Command.
func (*version) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*version) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*version) Usage() string { return "version\n" }

// SetFlags implements subcommands.Command.
func (*version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	fmt.Println("jacinthd", text)
	return subcommands.ExitSuccess
}

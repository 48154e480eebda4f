package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"jacinthstage/jacinthd/settings"
)

// check is the command that validates a settings file without starting anything.
type check struct{ file string }

// Name implements subcommands.Command.
func (*check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*check) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*check) Usage() string {
	return "check -settings FILE\n  Prints the first fault, FILE: section.key: reason, and exits with 2.\n"
}

// SetFlags implements subcommands.Command.
func (c *check) SetFlags(f *flag.FlagSet) { f.StringVar(&c.file, "settings", "", "settings `file`") }

// Execute implements subcommands.Command.
func (c *check) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := settings.Read(c.file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	fmt.Println(c.file + ": good")
	return subcommands.ExitSuccess
}

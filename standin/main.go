// Command standin runs the stand-ins that replace the platform, the engines and
// the plain services in tests and in the demo. It also contains the load
// generator and the measurement of the decisions in virtual time.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&platformCommand{}, "stand-ins")
	subcommands.Register(&runnerCommand{}, "stand-ins")
	subcommands.Register(&registryCommand{}, "stand-ins")
	subcommands.Register(&loadCommand{}, "load")
	subcommands.Register(&readyCommand{}, "load")
	subcommands.Register(&markCommand{}, "stand-ins")
	subcommands.Register(&servedCommand{}, "load")
	subcommands.Register(&trialCommand{}, "measurements")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

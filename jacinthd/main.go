// Command jacinthd is the process on every entry host: it takes callers'
// requests, sends them to the owners of runners and to plain services, and
// owns its part of the region's runners itself.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&run{}, "")
	subcommands.Register(&serve{}, "")
	subcommands.Register(&check{}, "")
	subcommands.Register(&version{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// Command jacinthd is the daemon that runs on every host. It accepts requests
// from callers, forwards them to the owners of runners and to plain services,
// and itself owns a share of the region's runners.
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

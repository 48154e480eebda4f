// Command jacinthctl is the command line tool for operators. It sends patches,
// shows the configuration, its audit trail and the state of hosts and targets,
// validates settings, and creates keys.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jacinthstage/jacinthctl/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthstage/jacinthd/internal/process"
	"jacinthstage/jacinthd/settings"
)

// run is the command that serves requests until SIGTERM or SIGINT requests a
// planned stop.
type run struct{ file string }

// Name implements subcommands.Command.
func (*run) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*run) Synopsis() string { return "serve until a planned stop" }

// Usage implements subcommands.Command.
func (*run) Usage() string {
	return "run -settings FILE\n  Serves until SIGTERM, which hands runners over and finishes what is in progress;\n  SIGHUP reads the level of log lines anew.\n"
}

// SetFlags implements subcommands.Command.
func (r *run) SetFlags(f *flag.FlagSet) { f.StringVar(&r.file, "settings", "", "settings `file`") }

// Execute implements subcommands.Command.
func (r *run) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	hangups := catchSignals()
	s, err := settings.Read(r.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	level := zap.NewAtomicLevelAt(s.Log.Level)
	log, err := newLogger(s.Log.Format, level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	defer func() { _ = log.Sync() }()
	go reload(hangups, r.readLevel, level, log)
	p, err := process.New(s, log)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", r.file, err)
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := p.Run(ctx); err != nil {
		log.Error("host: stopped with an error", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readLevel returns the level of log lines that the settings file names now.
func (r *run) readLevel() (zapcore.Level, error) {
	s, err := settings.Read(r.file)
	return s.Log.Level, err
}

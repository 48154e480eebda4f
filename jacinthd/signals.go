package main

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// catchSignals keeps signals whose default action ends a process from ending one that serves, or
// that is stopping and still answers requests, and returns a channel that receives SIGHUP. It holds
// for as long as the process lives. The commands that serve call it before anything else.
func catchSignals() (hangups <-chan os.Signal) {
	signal.Ignore(syscall.SIGPIPE) // whatever reads the log has ended; lines are dropped
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// reload rereads the settings on each of hangups until the process ends. Only the log level, which
// read returns, takes effect in a running process.
func reload(hangups <-chan os.Signal, read func() (zapcore.Level, error), level zap.AtomicLevel, log *zap.Logger) {
	for range hangups {
		l, err := read()
		if err != nil {
			log.Error("host: settings not reloaded", zap.Error(err))
			continue
		}
		level.SetLevel(l)
		log.Info("host: settings reloaded", zap.Stringer("level", l))
	}
}

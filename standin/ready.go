package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
)

const (
	// readyPollInterval is the pause between two queries.
	readyPollInterval = 50 * time.Millisecond
	// readyCallTimeout is the time limit of one query.
	readyCallTimeout = time.Second
)

type readyCommand struct{ limit time.Duration }

func (*readyCommand) Name() string     { return "ready" }
func (*readyCommand) Synopsis() string { return "wait until each URL answers with 200" }
func (*readyCommand) Usage() string    { return "ready [flags] URL...\n" }

func (c *readyCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.limit, "limit", 20*time.Second, "time to wait")
}

func (c *readyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	for _, url := range f.Args() {
		for !isReady(ctx, url) {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				fmt.Fprintf(os.Stderr, "ready: %s: not within %v\n", url, c.limit)
				return subcommands.ExitFailure
			}
		}
	}
	return subcommands.ExitSuccess
}

// isReady reports whether url answers with status 200.
func isReady(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyCallTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// A record holds what was done, sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(file string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644); err != nil {
		fail("record", err)
	}
}

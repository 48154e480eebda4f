package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// A record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// ask sends one request of a client to a host on a new channel, and returns the status of its answer,
// 0 if there was none.
func ask(log *record, h *host, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.caller+"/issue/x", strings.NewReader("certificate"))
	check(err)
	r.GetBody = nil
	r.Host = "service.example"
	r.Header.Set(wire("id"), id)
	r.Header.Set(wire("budget"), "3000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	log.line("client sends %s to %s", id, h.name)
	reply, err := client.Do(r)
	if err != nil {
		log.line("client of %s: %v", id, err)
		return 0
	}
	defer reply.Body.Close()
	text, _ := io.ReadAll(reply.Body)
	log.line("client of %s got %d %q", id, reply.StatusCode, text)
	return reply.StatusCode
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

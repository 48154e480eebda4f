package main

import (
	"bufio"
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

// A streamAnswer is what a client got of a stream.
type streamAnswer struct {
	status   int
	versions []string // of the software that wrote its events, without repetitions in a row
	events   int
	complete bool
}

// stream sends one client attempt for a stream and reads its answer.
func stream(log *record, h *host, id, path string, header map[string]string) streamAnswer {
	log.line("client sends %s to %s", id, h.name)
	a := readStream(h, id, path, header)
	log.line("client of %s got status %d, %d events, complete %v, by software %s", id, a.status, a.events, a.complete, strings.Join(a.versions, " then "))
	return a
}

func readStream(h *host, id, path string, header map[string]string) (a streamAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.caller+path, strings.NewReader("prompt"))
	check(err)
	r.Host = "service.example"
	r.GetBody = nil
	r.Header.Set(wire("id"), id)
	r.Header.Set(wire("budget"), "8000")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	reply, err := client.Do(r)
	if err != nil {
		return a
	}
	defer reply.Body.Close()
	a.status = reply.StatusCode
	if a.status != http.StatusOK || reply.Header.Get(wire("signature")) == "" {
		_, _ = io.Copy(io.Discard, reply.Body)
		return a
	}
	lines := bufio.NewScanner(reply.Body)
	for lines.Scan() {
		_, version, ok := strings.Cut(lines.Text(), "by software ")
		if !ok {
			continue
		}
		a.events++
		if n := len(a.versions); n == 0 || a.versions[n-1] != version {
			a.versions = append(a.versions, version)
		}
	}
	a.complete = lines.Err() == nil && a.events == eventsOfStream
	return a
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

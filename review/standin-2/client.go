package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	budget = 15 * time.Second
	// maxTries is the first attempt of a client and its retries.
	maxTries = 4
	// A client waits minReconnect to maxReconnect after it was not let in, or cut off.
	minReconnect = 100 * time.Millisecond
	maxReconnect = 600 * time.Millisecond
)

// A streamResult is what a client has of a stream in the end, over all its attempts.
type streamResult struct {
	id     string
	builds []string // of the events, in order, without repetitions
	whole  bool
}

// askStream asks for one stream and takes it up where it breaks off.
func askStream(log *record, hosts []*host, name string) streamResult {
	out := streamResult{id: name}
	end := time.Now().Add(budget)
	last := 0
	for try := 1; try <= maxTries && time.Now().Before(end); try++ {
		id := fmt.Sprintf("%s-%d", name, try)
		after := out.attempt(log, hosts[rand.IntN(len(hosts))], id, end, &last, fmt.Sprintf("%s-1", name))
		if out.whole {
			break
		}
		// A client honours the time that it is told up to a third of what it has left.
		time.Sleep(min(max(after, minReconnect+rand.N(maxReconnect-minReconnect)), time.Until(end)/3))
	}
	log.add("stream %s ends: %d events, whole %v, software %s", name, last, out.whole, strings.Join(out.builds, " then "))
	return out
}

// attempt makes one attempt, and returns the time after which the client may come back.
func (out *streamResult) attempt(log *record, h *host, id string, end time.Time, last *int, first string) time.Duration {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.caller+"/report/"+first, strings.NewReader("prompt of "+first))
	if err != nil {
		fail("request", err)
	}
	r.Host = "case.example"
	r.Header.Set(words["id"], id)
	r.Header.Set(words["budget"], strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	r.Header.Set("Model", "m0")
	r.Header.Set(words["tokens"], "900,292")
	r.Header.Set(words["prefix"], fmt.Sprintf("77a1:198,%x:628", rand.Uint64()))
	if *last > 0 {
		r.Header.Set(words["after"], strconv.Itoa(*last))
		r.Header.Set("Resumes", first)
	}
	log.add("sent %s to %s, after event %d", id, h.name, *last)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	a, err := client.Do(r)
	if err != nil {
		log.add("answered %s: nothing (%v)", id, err)
		return 0
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		log.add("answered %s: %d, come back after %v s", id, a.StatusCode, after)
		return time.Duration(after * float64(time.Second))
	}
	began := *last
	err = out.read(bufio.NewReader(a.Body), last)
	log.add("answered %s: 200 signed %s, events %d to %d, software %s, end %v", id, a.Header.Get(words["signature"]), began+1, *last, strings.Join(out.builds, " then "), err)
	return 0
}

// read reads the events of an answer.
func (out *streamResult) read(r *bufio.Reader, last *int) error {
	id := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			out.whole = *last == events
			return err
		}
		line = strings.TrimSuffix(line, "\n")
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			build, _, _ := strings.Cut(text, " ")
			if !slices.Contains(out.builds, build) {
				out.builds = append(out.builds, build)
			}
		}
		if line == "" {
			*last = id
		}
	}
}

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// A channel is one connection of a client to a host.
type channel struct {
	host   *host
	conn   net.Conn
	reader *bufio.Reader
}

// open opens a channel to a host.
func open(h *host) (*channel, error) {
	conn, err := net.DialTimeout("tcp", h.caller, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{host: h, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// A call is one attempt of a client.
type call struct {
	id, method, path, model, body string
	budget                        time.Duration
}

// newID returns the id of an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// An answer is what a client saw of one attempt.
type answer struct {
	call
	host     string
	sent     time.Time // when the whole request had been written
	ended    time.Time
	status   int // 0 if there was no answer
	signed   bool
	length   int // bytes of the body that arrived
	body     []byte
	complete bool // the answer ended as a whole one
	fault    error
	keep     bool // the channel may be used again
}

// do sends a request and reads its answer.
func (c *channel) do(q call) answer {
	a := answer{call: q, host: c.host.name}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, wire["id"], q.id, wire["budget"], q.budget.Milliseconds())
	if q.model != "" {
		fmt.Fprintf(&text, "%s: %s\r\n%s: 60,80\r\n", wire["model"], q.model, wire["tokens"])
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
	}
	text.WriteString("\r\n" + q.body)
	_ = c.conn.SetDeadline(time.Now().Add(q.budget + time.Second))
	if _, a.fault = c.conn.Write(text.Bytes()); a.fault != nil {
		a.ended = time.Now()
		return a
	}
	a.sent = time.Now()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.fault, a.ended = err, time.Now()
		return a
	}
	a.status, a.signed = response.StatusCode, response.Header.Get(wire["signature"]) != ""
	if got := response.Header.Get(wire["id"]); got != q.id {
		a.fault = errors.New("answer of " + got)
	}
	a.body, err = io.ReadAll(response.Body)
	a.length, a.ended = len(a.body), time.Now()
	if err != nil {
		a.fault = err
		return a
	}
	a.complete = true
	a.keep = !response.Close
	return a
}

func (c *channel) close() { _ = c.conn.Close() }

// note writes an attempt to the record.
func (s *site) noteAnswer(a answer) {
	outcome := fmt.Sprintf("status %d, %d bytes, complete %t", a.status, a.length, a.complete)
	if a.fault != nil {
		outcome += ", " + a.fault.Error()
	}
	last := ""
	if a.status == http.StatusOK && strings.HasPrefix(a.path, "/draft/") {
		last = ", last event " + lastEvent(a.body)
	}
	s.note("client: %s %s %s at %s sent %.3f: %s%s", a.id, a.path, a.model, a.host, s.at(a.sent), outcome, last)
}

// lastEvent returns the data of the last whole event of a stream.
func lastEvent(body []byte) string {
	all := strings.Split(strings.TrimSuffix(string(body), "\n\n"), "\n\n")
	_, data, _ := strings.Cut(all[len(all)-1], "data: ")
	if data == "" {
		return "none"
	}
	return data
}

// loop sends requests over kept channels to hosts that get new ones until stop is closed,
// with a pause after each.
func (s *site) loop(stop <-chan struct{}, first *host, pause func() time.Duration, next func() call, seen func(answer)) {
	var c *channel
	h := first
	for {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		default:
		}
		if c == nil {
			if h == nil {
				h = s.anyHost()
			}
			if h != nil {
				c, _ = open(h)
			}
			h = nil
			if c == nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		a := c.do(next())
		s.noteAnswer(a)
		if seen != nil {
			seen(a)
		}
		if !a.keep {
			c.close()
			c = nil
		}
		time.Sleep(pause())
	}
}

// anyHost returns a host that gets new channels.
func (s *site) anyHost() *host {
	var all []*host
	for _, h := range s.hosts {
		if h.rotates.Load() {
			all = append(all, h)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[rand.IntN(len(all))]
}

// pause returns a pause that is always the same.
func pause(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

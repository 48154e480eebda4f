package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a machine, of the settings: the platform kills a process beyond it.
	memoryMB = 284
	// headerBytes is what the crowd sends of each header, below the configuration's maxHeaderBytes of 16,384.
	headerBytes = 15000
	crowd       = 1200 // clients that come to each host at once
	crowds      = 3    // times that they come
	// restartDelay is how long the platform waits until it starts a process again.
	restartDelay = 500 * time.Millisecond
)

// manyHeaders has crowds of callers send headers of legal size in many short lines to two hosts.
func manyHeaders(d *deployment, log *record, trouble bool) int {
	r := &runner{id: "i-0", zone: "north-a", store: d.store, log: log, slots: 6, work: 30 * time.Millisecond}
	r.start()
	d.store.put("config", "main", config("records"))
	hosts := []*host{d.newHost("front-1", "north-a"), d.newHost("front-2", "north-b")}
	guards := make([]*guard, len(hosts))
	for i, h := range hosts {
		h.start()
		guards[i] = &guard{host: h, log: log}
		go guards[i].run()
	}
	head := crowdHeader(trouble)
	for range crowds {
		if !awaitReady(hosts, 15*time.Second) {
			return couldNotRun(log, "hosts not ready")
		}
		time.Sleep(2 * time.Second)
		log.line("%d callers a host send a header of %d bytes in %d lines", crowd, len(head), strings.Count(head, "\n"))
		var wait sync.WaitGroup
		for range crowd {
			for _, h := range hosts {
				wait.Go(func() { sendHeader(h, head) })
			}
		}
		wait.Wait()
	}
	time.Sleep(time.Second)
	broken, what := true, ""
	for _, g := range guards {
		ends, highest := g.result()
		broken = broken && ends >= crowds
		what += fmt.Sprintf("the process of %s took %d MB of %d at most and ended %d times; ", g.host.name, highest, memoryMB, ends)
	}
	return verdict(log, broken, strings.TrimSuffix(what, "; "))
}

// crowdHeader returns the head of a request of headerBytes bytes, in short lines or in one long line.
func crowdHeader(short bool) string {
	var b strings.Builder
	b.WriteString("GET /status/x HTTP/1.1\r\nHost: service.example\r\n" + wire("budget") + ": 6000\r\n")
	if !short {
		b.WriteString("X-Long: " + strings.Repeat("x", headerBytes-b.Len()) + "\r\n")
		return b.String()
	}
	for i := 0; b.Len() < headerBytes-10; i++ {
		fmt.Fprintf(&b, "%c%c%c:1\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676%26)
	}
	return b.String()
}

// sendHeader sends a request whose header is complete after 2.5 s, below the configuration's headerTimeoutMs of
// 3,000, and reads the answer.
func sendHeader(h *host, head string) {
	conn, err := net.Dial("tcp", h.caller)
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = conn.Write([]byte(head))
	time.Sleep(2500 * time.Millisecond)
	_, _ = conn.Write([]byte(wire("id") + ": " + conn.LocalAddr().String() + "\r\n\r\n"))
	_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	_, _ = conn.Read(make([]byte, 4096))
}

// A guard does what the platform does for the process of a host: it kills it once it takes more than the
// machine has, and starts it again after its end.
type guard struct {
	host *host
	log  *record

	mu      sync.Mutex
	highest int // MB
	ends    int // of processes
}

func (g *guard) run() {
	for {
		time.Sleep(10 * time.Millisecond)
		if mb := residentMB(g.host.pid()); mb > 0 {
			g.observe(mb)
		}
		if !g.host.ended() {
			continue
		}
		g.mu.Lock()
		g.ends++
		g.mu.Unlock()
		g.log.line("the process of %s has ended", g.host.name)
		time.Sleep(restartDelay)
		g.host.start()
	}
}

func (g *guard) observe(mb int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.highest = max(g.highest, mb)
	if mb > memoryMB {
		g.log.line("the platform kills %s: %d MB", g.host.name, mb)
		g.host.signal(syscall.SIGKILL)
	}
}

func (g *guard) result() (ends, highest int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ends, g.highest
}

// residentMB returns the memory of a process in MB.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

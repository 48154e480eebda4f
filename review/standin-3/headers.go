package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a machine, of the settings: the platform kills a process beyond it.
	memoryMB = 284
	// headerBytes is what the crowd sends of each header, below the configuration's maxHeaderBytes of 16,384.
	headerBytes = 15000
	crowd       = 1200
)

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

// manyHeaders has a crowd of callers send headers of legal size in many short lines.
func manyHeaders(d *deployment, log *record, trouble bool) int {
	r := &runner{id: "i-0", zone: "north-a", store: d.store, log: log, slots: 6, work: 30 * time.Millisecond}
	r.start()
	d.store.put("config", "main", config("records"))
	h := d.newHost("front-1", "north-a")
	h.start()
	if !awaitReady([]*host{h}, 15*time.Second) {
		return couldNotRun(log, "host not ready")
	}
	time.Sleep(time.Second)
	highest, killed, stop := watchMemory(h, log)
	defer close(stop)
	head := crowdHeader(trouble)
	log.line("%d callers send a header of %d bytes in %d lines", crowd, len(head), strings.Count(head, "\n"))
	var wait sync.WaitGroup
	for range crowd {
		wait.Go(func() {
			conn, err := net.Dial("tcp", h.caller)
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Write([]byte(head))
			time.Sleep(2500 * time.Millisecond) // below the configuration's headerTimeoutMs of 3,000
			_, _ = conn.Write([]byte(wire("id") + ": " + conn.LocalAddr().String() + "\r\n\r\n"))
			_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
			_, _ = conn.Read(make([]byte, 4096))
		})
	}
	wait.Wait()
	log.line("%s took %d MB at most", h.name, highest.Load())
	if killed.Load() || h.ended() {
		return verdict(log, true, fmt.Sprintf("the process of %s ended: it took %d MB of %d", h.name, highest.Load(), memoryMB))
	}
	reply, err := http.Get("http://" + h.ready + wire("ready"))
	if err != nil || reply.StatusCode != http.StatusOK {
		return verdict(log, true, h.name+" is not ready afterwards")
	}
	return verdict(log, false, fmt.Sprintf("the process of %s lives, it took %d MB of %d at most", h.name, highest.Load(), memoryMB))
}

// watchMemory kills the process of a host once it takes more than the machine has, as the platform does.
func watchMemory(h *host, log *record) (highest *atomic.Int64, killed *atomic.Bool, stop chan struct{}) {
	highest, killed, stop = new(atomic.Int64), new(atomic.Bool), make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			mb := int64(residentMB(h.cmd.Process.Pid))
			highest.Store(max(highest.Load(), mb))
			if mb > memoryMB && !killed.Swap(true) {
				log.line("the platform kills %s: %d MB", h.name, mb)
				h.signal(syscall.SIGKILL)
			}
		}
	}()
	return highest, killed, stop
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A host is a process of the project, started as the deploy file says.
type host struct {
	name, zone              string
	caller, ready           string
	peer, admin             string
	binary, settings, logAt string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has ended
}

// A deployment is what the settings of all hosts have in common.
type deployment struct {
	dir    string // temporary folder
	binary string
	store  *store
	zones  string // ZONE=REGION,...
}

const settingsText = `[host]
name = %s
zone = %s
zones = %s
memory = 284
descriptors? = 4100

[listen]
caller = %s
ready = %s
peer = %s
admin = %s

[platform]
address = %s

[orders]
fenced = true
turn = 3000ms

[retries]
share = 0.2
slack = 52

[quotas]

share? = 
slack? = 

[versions]
bound? = 5000ms

[stop]
grace = 8s
`

func (d *deployment) newHost(name, zone string) *host {
	d.store.far.Store(name, strings.HasPrefix(zone, "south"))
	h := &host{name: name, zone: zone, binary: d.binary, caller: freeAddress("tcp"), ready: freeAddress("tcp"), admin: freeAddress("tcp"), peer: freeAddress("udp")}
	h.settings = filepath.Join(d.dir, name+".ini")
	h.logAt = filepath.Join(d.dir, name+".log")
	text := fmt.Sprintf(settingsText, name, zone, d.zones, h.caller, h.ready, h.peer, h.admin, d.store.serveHost(name))
	check(os.WriteFile(h.settings, []byte(text), 0o600))
	return h
}

// given are the ports that freeAddress has returned.
var given sync.Map

// freeAddress returns a loopback address with a port that is free. It is below those that the system
// gives to connections, which would take it until it is used.
func freeAddress(network string) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if _, taken := given.LoadOrStore(address, true); taken {
			continue
		}
		if network == "udp" {
			if c, err := net.ListenPacket("udp", address); err == nil {
				_ = c.Close()
				return address
			}
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

func (h *host) start() {
	log, err := os.OpenFile(h.logAt, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(h.binary, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACINTHSTAGE_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	check(cmd.Start())
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	started.add(h)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

// ended reports whether the process has ended.
func (h *host) ended() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + h.ready + wire("ready"))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready. It returns false if they aren't in time.
func awaitReady(all []*host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range all {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(all) {
			return true
		}
	}
	return false
}

// A startedHosts is all hosts whose processes this program started.
type startedHosts struct {
	mu    sync.Mutex
	all   []*host
	final bool // no process may be started any more
}

var started startedHosts

func (s *startedHosts) add(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, h)
	if s.final {
		h.signal(syscall.SIGKILL)
	}
}

// killAll ends the processes of all hosts.
func (s *startedHosts) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.final = true
	for _, h := range s.all {
		h.kill()
	}
}

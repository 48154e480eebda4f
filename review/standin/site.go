package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// remoteDelay is the time that a message takes from one region to the other.
const remoteDelay = 30 * time.Millisecond

// A site is what a case starts: the store, hosts and runners.
type site struct {
	program   string
	trouble   string // what of the disruption is played; "0" for nothing
	dir       string // temporary
	started   time.Time
	store     *store
	near, far string // addresses of the store for the machines of its region and of the other
	broken    atomic.Int64

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	hosts     []*host
	runs      map[string]*ranRequest // by the id of the request
}

// A ranRequest is what a runner has said of a request.
type ranRequest struct {
	runner       string
	model        string
	version      int
	began, ended time.Time
	times        int
}

func newSite(program, record, trouble string) (*site, error) {
	s := &site{program: program, trouble: trouble, started: time.Now(), runs: make(map[string]*ranRequest)}
	var err error
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	s.store = newStore(s.note)
	if s.near, err = s.store.listen("a host near the store", 200*time.Microsecond); err != nil {
		return nil, err
	}
	if s.far, err = s.store.listen("a host of the other region", remoteDelay); err != nil {
		return nil, err
	}
	go s.store.expire()
	s.note("disruption: %s", map[bool]string{true: "left out", false: "played (" + trouble + ")"}[trouble == "0"])
	s.store.set("config", "main", configText)
	s.note("configuration 7 is acknowledged")
	return s, nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record shows it.
func (s *site) at(t time.Time) float64 { return t.Sub(s.started).Seconds() }

// breaks records that the rule was broken.
func (s *site) breaks(format string, args ...any) {
	s.broken.Add(1)
	s.note("BROKEN: "+format, args...)
}

// close ends all processes that the site started.
func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// start starts a process that ends with this one.
func (s *site) start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, c)
	return nil
}

// A server is the process of a runner.
type server struct {
	name    string
	process *exec.Cmd
	input   io.WriteCloser
	exited  chan struct{}
}

// startRunner starts a runner and notes what it says.
func (s *site) startRunner(name, service, zone string, args ...string) (*server, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &server{name: name, exited: make(chan struct{})}
	r.process = exec.Command(self, append([]string{"runner", "-name", name, "-service", service, "-zone", zone, "-store", s.near}, args...)...)
	if r.input, err = r.process.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := r.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.start(r.process); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			s.heard(name, lines.Text())
		}
		_ = r.process.Wait()
		close(r.exited)
	}()
	return r, nil
}

// heard keeps what a runner says of requests, and notes everything.
func (s *site) heard(name, line string) {
	words := strings.Fields(line)
	now := time.Now()
	s.note("runner %s: %s", name, line)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(words) == 5 && words[0] == "began":
		run := s.runs[words[1]]
		if run == nil {
			run = &ranRequest{runner: name, model: words[2], began: now}
			_, _ = fmt.Sscan(words[4], &run.version)
			s.runs[words[1]] = run
		}
		run.times++
	case len(words) == 2 && words[0] == "ended" && s.runs[words[1]] != nil:
		s.runs[words[1]].ended = now
	}
}

// run returns what a runner has said of a request, the zero value if none has run it.
func (s *site) run(id string) ranRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[id]; r != nil {
		return *r
	}
	return ranRequest{}
}

// kill ends a process at once, as a crash does.
func (r *server) kill() {
	_ = r.process.Process.Kill()
	<-r.exited
}

// A host is one machine with its process of `jacinthd serve`.
type host struct {
	name, zone, caller, ready, settings string
	log                                 *os.File
	process                             *exec.Cmd
	exited                              chan struct{}

	misses  atomic.Int32
	rotates atomic.Bool // it gets new channels
}

// settingsText is the settings file of a host, as the platform renders deploy/settings.ini.
const settingsText = `[host]
name = %s
zone = %s
zones = clyde-a=scot-west,clyde-b=scot-west,forth-a=scot-east
memory = 284

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

[stop]
grace = 8s
`

// grace is the time from SIGTERM to SIGKILL.
const grace = 8 * time.Second

// startHost starts a host and the platform's questions whether it is ready.
func (s *site) startHost(name, zone, store string) (*host, error) {
	var ports [4]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	h := &host{name: name, zone: zone, caller: ports[0], ready: ports[1], settings: filepath.Join(s.dir, name+".ini")}
	text := fmt.Sprintf(settingsText, name, zone, ports[0], ports[1], ports[2], ports[3], store)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if h.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	if err := s.boot(h); err != nil {
		return nil, err
	}
	s.hosts = append(s.hosts, h)
	go h.poll(s)
	return h, nil
}

// boot starts the process of a host.
func (s *site) boot(h *host) error {
	c := exec.Command(s.program, "serve")
	c.Env = append(os.Environ(), "JACINTHSTAGE_SETTINGS="+h.settings)
	c.Stdout, c.Stderr = h.log, h.log
	if err := s.start(c); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited = c, exited
	s.note("host %s: process starts", h.name)
	go func() {
		err := c.Wait()
		s.note("host %s: process has ended: %v", h.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of a host.
func (s *site) signal(h *host, sig syscall.Signal) {
	s.note("host %s: gets %v (%s)", h.name, sig, map[syscall.Signal]string{syscall.SIGTERM: "SIGTERM", syscall.SIGHUP: "SIGHUP", syscall.SIGKILL: "SIGKILL"}[sig])
	_ = h.process.Process.Signal(sig)
}

// poll asks a host once a second whether it is ready, as the platform does.
func (h *host) poll(s *site) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		answer, err := client.Get("http://" + h.ready + wire["ready"])
		ok := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close()
		}
		switch {
		case ok:
			h.misses.Store(0)
			if !h.rotates.Swap(true) {
				s.note("host %s: gets new channels from now on", h.name)
			}
		case h.misses.Add(1) == 2:
			if h.rotates.Swap(false) {
				s.note("host %s: gets no new channels from now on", h.name)
			}
		}
		time.Sleep(time.Second)
	}
}

// awaitHosts waits until all hosts get channels.
func (s *site) awaitHosts() error {
	for range 200 {
		ready := 0
		for _, h := range s.hosts {
			if h.rotates.Load() {
				ready++
			}
		}
		if ready == len(s.hosts) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the hosts are not ready")
}

// freePort returns an address whose port is free for TCP and UDP.
func freePort() (string, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		u, err := net.ListenPacket("udp", l.Addr().String())
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no free port")
}

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// A host is one process of jacinthd.
type host struct {
	name, zone, ip string
	caller, ready  string
	binary, dir    string
	process        *exec.Cmd
	exited         chan struct{}
}

// freeAddress returns an address on an IP that is free for TCP and UDP.
func freeAddress(ip string) string {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fail("no free port", err)
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address
		}
	}
}

// newHost writes the settings of a host as deploy/settings.ini renders them.
func newHost(binary, dir, zone, store string, i int) *host {
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("127.0.7.%d", 10+i), binary: binary, dir: dir}
	h.caller, h.ready = freeAddress(h.ip), freeAddress(h.ip)
	text := strings.NewReplacer("NAME", h.name, "ZONE", zone, "CALLER", h.caller, "READY", h.ready,
		"PEER", freeAddress(h.ip), "ADMIN", freeAddress(h.ip), "STORE", store).Replace(settings)
	if err := os.WriteFile(h.settings(), []byte(text), 0o600); err != nil {
		fail("settings", err)
	}
	return h
}

func (h *host) settings() string { return filepath.Join(h.dir, h.name+".conf") }

func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log", err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(h.binary, "serve")
	c.Env = append(os.Environ(), "JACINTHSTAGE_SETTINGS="+h.settings())
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail("start of a host", err)
	}
	h.process, h.exited = c, make(chan struct{})
	go func() {
		_ = c.Wait()
		close(h.exited)
	}()
}

// kill ends the process at once.
func (h *host) kill() {
	_ = h.process.Process.Kill()
	<-h.exited
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + h.ready + words["ready"])
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func awaitReady(hosts []*host) {
	for _, h := range hosts {
		for i := 0; !h.isReady(); i++ {
			if i == 200 {
				fail("not ready", fmt.Errorf("%s", h.name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func fail(what string, err error) {
	fmt.Fprintln(os.Stderr, what+":", err)
	os.Exit(2)
}

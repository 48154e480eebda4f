package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the case "leaving", from when traffic begins.
const (
	turnedAwayAt  = 1900 * time.Millisecond // two of six hosts, by the store
	turnedAwayFor = 9 * time.Second
	plainCrashAt  = 1 * time.Second
	plainDown     = 1 * time.Second
	leaveAt       = 6500 * time.Millisecond
	servesOn      = 8 * time.Second       // after it leaves
	drainBound    = 3 * time.Second       // drainMs
	lookupGap     = 40 * time.Millisecond // between two requests of all clients, as all of the service on the sheet
	lookupBudget  = 1500 * time.Millisecond
	trafficLength = 14 * time.Second
)

// A lookup is one request of a client.
type lookup struct {
	host string
	sent time.Time
}

// playLeaving has a runner crash, come back under its id and leave, while the store turns the hosts of a
// region away.
func playLeaving(a arena) bool {
	s := newStore()
	s.set("config", "main", rawConfig())
	zones := []string{"a", "a", "b", "b", "c", "c"}
	var hosts []*host
	var gates []*gate
	for i, zone := range zones {
		g := &gate{store: s}
		g.server = httptest.NewServer(g)
		h := newHost(a.binary, a.dir, zone, g.server.Listener.Addr().String(), i)
		hosts, gates = append(hosts, h), append(gates, g)
	}
	for i, zone := range []string{"a", "b"} {
		startPlain(s, a.log, fmt.Sprintf("i-reg%d", i), zone, "127.0.0.1:0")
	}
	leaver := startPlain(s, a.log, "i-reg2", "c", "127.0.0.1:0")
	for _, h := range hosts {
		h.start()
	}
	defer func() {
		for _, h := range hosts {
			h.kill()
		}
	}()
	awaitReady(hosts)
	time.Sleep(copyAt)

	var mu sync.Mutex
	sent := make(map[string]lookup)
	told := make(map[string]time.Time) // by host: when it had passed on that the runner leaves
	late := 0
	start := time.Now()
	var clients sync.WaitGroup
	go func() {
		for n := 0; time.Since(start) < trafficLength; n++ {
			time.Sleep(lookupGap/2 + rand.N(lookupGap))
			clients.Go(func() {
				h, id := hosts[n%len(hosts)], fmt.Sprintf("q%04d", n)
				mu.Lock()
				sent[id] = lookup{h.name, time.Now()}
				mu.Unlock()
				if askLookup(a.log, h, id) {
					mu.Lock()
					if told[h.name].IsZero() {
						told[h.name] = time.Now()
						a.log.add("%s has passed on that i-reg2 leaves", h.name)
					}
					mu.Unlock()
				}
			})
		}
	}()
	at := func(t time.Duration) { time.Sleep(time.Until(start.Add(t))) }
	if a.trouble {
		at(plainCrashAt)
		leaver.crash()
		at(turnedAwayAt)
		for _, g := range gates[4:] {
			g.close()
		}
		a.log.add("the store turns %s and %s away", hosts[4].name, hosts[5].name)
		at(plainCrashAt + plainDown)
		leaver = startPlain(s, a.log, leaver.name, leaver.zone, leaver.address)
		a.log.add("runner %s is back", leaver.name)
	}
	mu.Lock()
	leaver.arrived = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		q := sent[id]
		a.log.add("%s from %s reaches i-reg2", id, q.host)
		if t := told[q.host]; !t.IsZero() && q.sent.Sub(t) > drainBound {
			late++
			a.log.add("DRAIN: %s from %s was sent %v after %s had passed on that i-reg2 leaves", id, q.host, q.sent.Sub(t), q.host)
		}
	}
	mu.Unlock()
	at(leaveAt)
	leaver.leave()
	at(turnedAwayAt + turnedAwayFor)
	for _, g := range gates {
		g.closed.Store(false)
	}
	a.log.add("the store serves all hosts")
	at(leaveAt + servesOn)
	leaver.crash()
	at(trafficLength + lookupBudget)
	clients.Wait()
	a.log.add("%d requests reached a runner too late after it had said that it leaves", late)
	fmt.Printf("%d requests reached a runner too late after it had said that it leaves\n", late)
	return late > 0
}

// askLookup sends one request, and reports whether its answer came from a runner that leaves.
func askLookup(log *record, h *host, id string) (leaving bool) {
	r, err := http.NewRequest(http.MethodGet, "http://"+h.caller+"/lookup/"+id, nil)
	if err != nil {
		fail("request", err)
	}
	r.Host = "case.example"
	r.Header.Set(words["id"], id)
	r.Header.Set(words["budget"], strconv.FormatInt(lookupBudget.Milliseconds(), 10))
	client := http.Client{Timeout: lookupBudget, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	a, err := client.Do(r)
	if err != nil {
		log.add("answered %s by %s: nothing (%v)", id, h.name, err)
		return false
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	signature := a.Header.Get(words["signature"])
	log.add("answered %s by %s: %d signed %s leaving %q, end %v", id, h.name, a.StatusCode, signature, a.Header.Get(words["leaving"]), err)
	return a.Header.Get(words["leaving"]) == "1" && strings.HasPrefix(signature, "i-reg2.")
}

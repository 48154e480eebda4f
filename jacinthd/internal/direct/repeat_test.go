package direct_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/catalog"
)

const (
	// lateTime is stableWindowMs of the users' deployments: what reaches targets later than
	// this after the third crash is a repeat, of which maxRepeats may.
	lateTime   = 4 * time.Second
	maxRepeats = 3
	// minDownTime is how long at least a fleet's target is down after a crash, and maxDownTime
	// how long at most.
	minDownTime = time.Second
	maxDownTime = 3500 * time.Millisecond
	// soundFirst is the time in which only sound requests come.
	soundFirst = 700 * time.Millisecond
)

// A fleet is a service of few targets, which requests of callers crash. A target that
// crashed is back after its downTime, at its address and under a new name.
type fleet struct {
	systems  []*testSystem
	downTime time.Duration // after a crash

	mu      sync.Mutex
	targets []catalog.Target
	starts  int
	crashes []time.Time
}

// newFleet starts linked hosts and the targets.
func newFleet(t *testing.T, hosts, targets int) *fleet {
	f := &fleet{downTime: minDownTime + rand.N(maxDownTime-minDownTime)}
	shared := new(memory.Store)
	for _, h := range startHosts(t, hosts) {
		s := startWithStore(t, h.peers.Suspects, shared, nil)
		s.suspects.Ready = s.dispatcher.ReadyAddresses
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go s.reach.Probe(ctx)
		f.systems = append(f.systems, s)
	}
	for i := range targets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		f.targets = append(f.targets, catalog.Target{Service: "s", Zone: "z", Address: netip.MustParseAddrPort(listener.Addr().String()), Slots: 8})
		f.start(t, i, listener)
	}
	return f
}

// start starts a target and lists it on all hosts.
func (f *fleet) start(t *testing.T, i int, listener net.Listener) {
	server := &http.Server{ReadHeaderTimeout: waitTimeout}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		time.Sleep(soundTime)
		if strings.HasPrefix(r.Header.Get("Id"), crashPart) {
			f.crashed(t, i)
			_ = server.Close()
			abortAnswer()
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		succeed(w, "id: 1\ndata: served\n\n")
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	f.mu.Lock()
	f.starts++
	f.targets[i].Name, f.targets[i].Started = fmt.Sprint("f", f.starts), time.UnixMilli(int64(f.starts))
	list := catalog.TargetsListed{Revision: uint64(f.starts) + 2, Targets: append([]catalog.Target(nil), f.targets...)}
	f.mu.Unlock()
	for _, s := range f.systems {
		for _, ended := range s.dispatcher.Apply(time.Now(), list) {
			s.suspects.TargetEnded(ended)
		}
	}
}

// crashed records the crash of a target, which is back after its downTime.
func (f *fleet) crashed(t *testing.T, i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
	address := f.targets[i].Address.String()
	time.AfterFunc(f.downTime, func() {
		if listener, err := net.Listen("tcp", address); err == nil {
			f.start(t, i, listener)
		}
	})
}

// late returns the number of crashes in all, and of those later than lateTime after the third.
func (f *fleet) late() (all, late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.crashes {
		if at.Sub(f.crashes[min(2, len(f.crashes)-1)]) > lateTime {
			late++
		}
	}
	return len(f.crashes), late
}

// A repeated is a request as a caller sends it again and again.
type repeated struct {
	id     string // prefix of the ids
	caller string // address
	method string
	path   string
	query  func() string
	body   string
}

// send sends the request through any host and returns the status of the answer.
func (f *fleet) send(r repeated) int {
	s := f.systems[rand.IntN(len(f.systems))]
	request, err := http.NewRequest(r.method, s.url+r.path+r.query(), strings.NewReader(r.body))
	if err != nil {
		return 0
	}
	request.Host = "one.example"
	request.Header.Set("Id", fmt.Sprintf("%s%x", r.id, rand.Uint64()))
	request.Header.Set("Left", "1000")
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(r.caller)}}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}).Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// anyQuery returns one of forty queries, or none, as the users' callers send them.
func anyQuery() string {
	if rand.IntN(2) == 0 {
		return ""
	}
	return "?page=" + strconv.Itoa(rand.IntN(40)) + "&sort=new"
}

func noQuery() string { return "" }

// repeat sends the request over and over until stop is closed, and returns the number of those
// sent later than twice lateTime, and how many of these were served.
func (f *fleet) repeat(r repeated, interval time.Duration, stop <-chan struct{}) (sent, served int) {
	began := time.Now()
	for {
		select {
		case <-stop:
			return sent, served
		case <-time.After(interval/2 + rand.N(interval)):
		}
		late := time.Since(began) > 2*lateTime
		status := f.send(r)
		if late {
			sent++
		}
		if late && status == http.StatusOK {
			served++
		}
	}
}

// TestCrashingRequestWithOtherQueryIsRefused guards against a request that crashes each target
// that runs it and that comes again with the same path, caller and body, but with another query
// (BUDGET), and against a refusal of sound requests beside it, be they the same bytes of another
// caller or the same path of this one (LOST).
func TestCrashingRequestWithOtherQueryIsRefused(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts int
		bad   repeated
		sound []repeated
	}{
		{name: "read", hosts: 9, bad: repeated{method: http.MethodGet, path: "/read/a/17"}},
		{name: "with a body", hosts: 3, bad: repeated{method: http.MethodPost, path: "/once/b", body: "same"}},
		{name: "stream", hosts: 3, bad: repeated{method: http.MethodPost, path: "/resumed/c/d", body: "same"}},
		{name: "beside sound callers", hosts: 3, bad: repeated{method: http.MethodGet, path: "/read/a"}, sound: []repeated{
			{caller: "127.0.0.3", method: http.MethodGet, path: "/read/a", query: anyQuery},
			{caller: "127.0.0.2", method: http.MethodGet, path: "/read/b", query: anyQuery},
		}},
		{name: "with the bytes of others", hosts: 3, bad: repeated{method: http.MethodGet, path: "/read/a", query: noQuery}, sound: []repeated{
			{caller: "127.0.0.3", method: http.MethodGet, path: "/read/a", query: noQuery},
			{caller: "127.0.0.4", method: http.MethodGet, path: "/read/a", query: anyQuery},
		}},
		{name: "beside one of the same caller", hosts: 3, bad: repeated{method: http.MethodGet, path: "/read/a"}, sound: []repeated{
			{caller: "127.0.0.2", method: http.MethodGet, path: "/read/a", query: func() string { return "?page=sound" }},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, c.hosts, 3)
			c.bad.id, c.bad.caller = crashPart, "127.0.0.2"
			if c.bad.query == nil {
				c.bad.query = anyQuery
			}
			stop := make(chan struct{})
			var senders sync.WaitGroup
			senders.Go(func() {
				time.Sleep(soundFirst)
				f.repeat(c.bad, 150*time.Millisecond, stop)
			})
			for _, r := range c.sound {
				r.id = "sound"
				senders.Go(func() {
					sent, served := f.repeat(r, 80*time.Millisecond, stop)
					t.Logf("%d of %d sound requests of %s served", served, sent, r.caller)
					if float64(served) < 0.5*float64(sent) {
						t.Errorf("%d of %d sound requests of %s on %s served", served, sent, r.caller, r.path)
					}
				})
			}
			time.Sleep(14 * time.Second)
			close(stop)
			senders.Wait()
			all, late := f.late()
			t.Logf("%d crashes, %d of them late; targets down for %s", all, late, f.downTime)
			require.LessOrEqual(t, late, maxRepeats, "crashes later than 4 s after the third, of %d", all)
		})
	}
}

package load_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/load"
)

const (
	rate        = 4.0
	burst       = 4.0
	maxInFlight = 8
	lease       = 3 * time.Second
	refs        = 6 // adapters for which each host requests loads
)

// A region simulates the hosts of a region, their network and the store.
type region struct {
	t            require.TestingT
	rng          *rand.Rand
	now          time.Time
	hosts        []*host
	grantors     []*load.Grantor // one for each host
	elected      int
	epoch        uint64
	expires      time.Time // end of the grantor's lease
	noFaults     bool
	slowLoadOdds int // one load in this many takes 3 s
	messages     []message
	starts       []time.Time
	loads        []time.Time // ends of the loads in progress
}

type host struct {
	holder      load.Holder
	partitioned bool
	reconnectAt time.Time                 // when the partition ends
	active      map[adapter.Ref]time.Time // ends of the loads in progress
	denied      map[adapter.Ref]time.Time
	permits     map[adapter.Ref]load.PermitGranted // permits not used yet
}

type message struct {
	due     time.Time
	host    int
	request *load.Request
	reply   *load.Reply
}

func ref(i int) adapter.Ref { return adapter.Ref{Name: fmt.Sprintf("a%d", i), Version: "1"} }

func newRegion(t require.TestingT, seed uint64, n int) *region {
	r := &region{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), elected: -1}
	for i := range n {
		r.hosts = append(r.hosts, &host{
			holder:  load.Holder{Host: fmt.Sprintf("h%d", i)},
			active:  map[adapter.Ref]time.Time{},
			denied:  map[adapter.Ref]time.Time{},
			permits: map[adapter.Ref]load.PermitGranted{},
		})
		r.grantors = append(r.grantors, &load.Grantor{Rate: rate, Burst: burst, MaxInFlight: maxInFlight})
	}
	return r
}

// elect starts a new grantor if the lease of the old one has ended.
func (r *region) elect(i int) {
	if r.now.Before(r.expires) {
		return
	}
	r.epoch++
	r.elected = i
	r.expires = r.now.Add(lease)
	r.grantors[i].Start(r.now, r.epoch, r.expires, r.epoch == 1)
	for j := range r.hosts {
		r.act(j, load.Elected{Epoch: r.epoch})
	}
}

func (r *region) act(i int, e load.Event) {
	h := r.hosts[i]
	for _, a := range h.holder.Step(r.now, e) {
		switch x := a.(type) {
		case load.SendRequest:
			q := x.Request
			r.send(message{host: i, request: &q})
		case load.PermitGranted:
			h.permits[x.Ref] = x
		case load.PermitDenied:
			h.denied[x.Ref] = x.RetryAt
		}
	}
}

// send sends a message, which may be delayed, lost or duplicated.
func (r *region) send(m message) {
	chance := r.rng.IntN(20)
	if r.noFaults {
		m.due = r.now.Add(time.Millisecond)
		r.messages = append(r.messages, m)
		return
	}
	if chance == 0 || r.hosts[m.host].partitioned {
		return
	}
	delays := []time.Duration{time.Millisecond, 2 * time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond, 4 * time.Second}
	delayIndex := []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 2, 3, 4}
	m.due = r.now.Add(delays[delayIndex[r.rng.IntN(len(delayIndex))]])
	r.messages = append(r.messages, m)
	if chance == 1 {
		m.due = m.due.Add(50 * time.Millisecond)
		r.messages = append(r.messages, m)
	}
}

func (r *region) deliver() {
	sort.SliceStable(r.messages, func(a, b int) bool { return r.messages[a].due.Before(r.messages[b].due) })
	for len(r.messages) > 0 && !r.messages[0].due.After(r.now) {
		m := r.messages[0]
		r.messages = r.messages[1:]
		if m.reply != nil {
			r.act(m.host, load.ReplyReceived{Reply: *m.reply})
			continue
		}
		for i, g := range r.grantors {
			// A grantor that was replaced still answers requests for its epoch.
			if reply, ok := g.Answer(r.now, *m.request); ok {
				r.send(message{host: m.host, reply: &reply})
				require.Equal(r.t, r.elected, i)
			}
		}
	}
}

// runHost requests loads for one host, starts the granted ones and ends those in
// progress.
func (r *region) runHost(i int) {
	h := r.hosts[i]
	for k := range refs {
		a := ref(i*refs + k)
		if end, ok := h.active[a]; ok {
			if !r.now.Before(end) {
				delete(h.active, a)
				r.act(i, load.PermitReturned{Runner: "r", Ref: a, Used: true})
			}
			continue
		}
		if g, ok := h.permits[a]; ok {
			r.usePermit(i, g)
			continue
		}
		if !r.now.Before(h.denied[a]) {
			r.act(i, load.PermitRequested{PendingLoad: load.PendingLoad{Runner: "r", Ref: a, Waiting: 1 + k}})
		}
	}
	if next := h.holder.Next(); !next.IsZero() && !r.now.Before(next) {
		r.act(i, load.Tick{})
	}
}

func (r *region) usePermit(i int, g load.PermitGranted) {
	h := r.hosts[i]
	choice := r.rng.IntN(4)
	if r.noFaults {
		choice = 2
	}
	switch {
	case choice == 0 && r.now.Before(g.Expires):
		return // the load starts only after a pause
	case choice == 1 || !r.now.Before(g.Expires):
		delete(h.permits, g.Ref)
		r.act(i, load.PermitReturned{Runner: "r", Ref: g.Ref})
	default:
		delete(h.permits, g.Ref)
		duration := 250 * time.Millisecond
		if !r.noFaults && r.rng.IntN(r.slowLoadOdds) == 0 {
			duration = 3 * time.Second
		}
		h.active[g.Ref] = r.now.Add(duration)
		r.starts = append(r.starts, r.now)
		r.loads = append(r.loads, r.now.Add(duration))
	}
}

// checkLimits fails the test if the store's rate or its limit on concurrent loads
// was exceeded.
func (r *region) checkLimits() {
	running := r.loads[:0]
	for _, end := range r.loads {
		if end.After(r.now) {
			running = append(running, end)
		}
	}
	r.loads = running
	require.LessOrEqual(r.t, len(running), maxInFlight, "in flight")
	recent := r.starts[max(0, len(r.starts)-50):]
	for i, from := range recent {
		allowed := burst + rate*r.now.Sub(from).Seconds()
		if float64(len(recent)-i) > allowed {
			require.Fail(r.t, "over the rate", "%d loads since %v", len(recent)-i, r.now.Sub(from))
		}
	}
}

// TestStoreLimits checks that the store's limits hold even if messages are lost,
// late or duplicated, hosts are cut off, and the grantor changes often.
func TestStoreLimits(t *testing.T) {
	granted, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t, rapid.Uint64().Draw(t, "seed"), 5)
		r.slowLoadOdds = 2 + 40*r.rng.IntN(2)
		r.elect(0)
		for range 1500 {
			r.randomEvent()
			r.now = r.now.Add(time.Duration(1+r.rng.IntN(28)) * time.Millisecond)
			r.deliver()
			for i := range r.hosts {
				r.runHost(i)
			}
			r.checkLimits()
		}
		granted += len(r.starts)
		runs++
	})
	// A run lasts 21 s of simulated time. A grantor that seldom grants would keep the
	// limits too.
	require.Greater(t, granted/runs, 15, "loads started in a run")
}

// randomEvent renews the grantor's lease, sometimes elects another grantor or cuts a
// host off, and reconnects hosts whose partition has ended.
func (r *region) randomEvent() {
	if r.elected >= 0 && !r.hosts[r.elected].partitioned && r.now.Before(r.expires) {
		r.expires = r.now.Add(lease)
		r.grantors[r.elected].Renew(r.expires)
	}
	for _, h := range r.hosts {
		if h.partitioned && !r.now.Before(h.reconnectAt) {
			h.partitioned = false
		}
	}
	switch n := r.rng.IntN(1000); {
	case n < len(r.hosts):
		h := r.hosts[n]
		h.partitioned = true
		h.reconnectAt = r.now.Add(time.Duration(r.rng.IntN(12_000)) * time.Millisecond)
	case n < 100:
		r.elect(n % len(r.hosts))
	}
}

// TestFullRate checks that, without faults, at least 95% of the store's rate is used.
func TestFullRate(t *testing.T) {
	r := newRegion(t, 1, 5)
	r.noFaults = true
	r.elect(0)
	for range 8000 {
		r.expires = r.now.Add(lease)
		r.grantors[0].Renew(r.expires)
		r.now = r.now.Add(5 * time.Millisecond)
		r.deliver()
		for i := range r.hosts {
			r.runHost(i)
		}
		r.checkLimits()
	}
	require.Greater(t, float64(len(r.starts)), 0.95*rate*40)
}

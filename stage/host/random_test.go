package host_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthstage/stage/host"
)

// TestMain chooses the seed, so that every run of the tests is the same. A
// longer run gives its own: -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestFaults drives a few hosts through a drawn schedule of faults. The world
// checks on the way that owners exclude each other and that epochs grow; once
// the faults are over, every runner must be owned by a live host.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		w.noise = noise{
			delay:   time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond,
			lost:    rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "lost"),
			mute:    rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "mute"),
			doubled: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "doubled"),
		}
		w.yields = rapid.Bool().Draw(t, "yields")
		w.crew(rapid.IntRange(2, 5).Draw(t, "hosts"), runners(5, 3))
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.fault(t)
			w.run(time.Duration(rapid.IntRange(0, 20000).Draw(t, "wait")) * time.Millisecond)
		}
		w.noise = noise{delay: 20 * time.Millisecond}
		w.outage = false
		w.run(2 * time.Minute)
		w.served()
	})
}

// fault brings about one drawn fault.
func (w *world) fault(t *rapid.T) {
	nodes := w.sorted()
	n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
	switch kind := rapid.SampledFrom([]string{"pause", "outage", "kill", "stop", "restart", "config"}).Draw(t, "kind"); kind {
	case "pause":
		if !n.paused {
			w.pause(n, time.Duration(rapid.IntRange(10, 30000).Draw(t, "pause"))*time.Millisecond)
		}
	case "outage":
		w.outage = true
		w.after(time.Duration(rapid.IntRange(10, 30000).Draw(t, "outage"))*time.Millisecond, func() { w.outage = false })
	case "kill":
		w.replace(n, func() { w.kill(n) })
	case "stop":
		w.replace(n, func() { w.deliver(n, host.Stop{}) })
	case "restart":
		w.restart(n)
	case "config":
		w.config++
		w.all(host.RunnersConfigured{Version: w.config, Runners: runners(rapid.IntRange(0, 8).Draw(t, "fenced"), rapid.IntRange(0, 4).Draw(t, "unfenced"))})
	}
}

// replace takes a host out and starts one of a new name. The platform's list
// shows the old one as gone some time after it ended.
func (w *world) replace(n *node, out func()) {
	if n.dead || n.stopped {
		return
	}
	out()
	w.serial++
	w.begin(fmt.Sprintf("r%03d", w.serial), "1")
	var look func()
	look = func() {
		if n.dead || n.stopped {
			w.all(host.PlatformStatus{Name: n.name, State: host.Gone})
		}
		w.after(5*time.Second, look)
	}
	w.after(5*time.Second, look)
}

// restart ends a process and starts another of its name.
func (w *world) restart(n *node) {
	if n.dead || n.stopped {
		return
	}
	w.kill(n)
	w.serial++
	w.begin(n.name, fmt.Sprint("restart ", w.serial))
}

func (w *world) begin(name, incarnation string) {
	n := w.start(name, "z0", incarnation)
	w.step(n, host.RunnersConfigured{Version: w.config, Runners: w.wanted})
}

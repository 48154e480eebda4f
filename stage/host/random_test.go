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

// TestMain sets a default seed and number of checks, so that test runs are
// reproducible. Longer runs override them with -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		isSet := false
		flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
		if !isSet {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestRandomFaults runs a few hosts through a random schedule of faults. The
// simulation checks throughout that no two hosts own the same runner and that epochs grow.
// Once the faults are over, every runner must be owned by a live host.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"))
		sim.faults = callFaults{
			maxDelay:   time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond,
			lost:       rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "lost"),
			answerLost: rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "answer lost"),
			duplicated: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicated"),
		}
		sim.earlyHandover = rapid.Bool().Draw(t, "early handover")
		sim.startHosts(rapid.IntRange(2, 5).Draw(t, "hosts"), runners(5, 3))
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			sim.injectFault(t)
			sim.run(time.Duration(rapid.IntRange(0, 20000).Draw(t, "wait")) * time.Millisecond)
		}
		sim.faults = callFaults{maxDelay: 20 * time.Millisecond}
		sim.outage = false
		sim.run(2 * time.Minute)
		sim.checkServed()
	})
}

// injectFault injects one randomly drawn fault.
func (sim *simulation) injectFault(t *rapid.T) {
	nodes := sim.sortedNodes()
	n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
	switch kind := rapid.SampledFrom([]string{"pause", "outage", "kill", "stop", "restart", "config"}).Draw(t, "kind"); kind {
	case "pause":
		if !n.paused {
			sim.pause(n, time.Duration(rapid.IntRange(10, 30000).Draw(t, "pause"))*time.Millisecond)
		}
	case "outage":
		sim.outage = true
		sim.schedule(time.Duration(rapid.IntRange(10, 30000).Draw(t, "outage"))*time.Millisecond, func() { sim.outage = false })
	case "kill":
		sim.replace(n, func() { sim.kill(n) })
	case "stop":
		sim.replace(n, func() { sim.deliver(n, host.Stop{}) })
	case "restart":
		sim.restart(n)
	case "config":
		sim.config++
		sim.broadcast(host.RunnersConfigured{Version: sim.config, Runners: runners(rapid.IntRange(0, 8).Draw(t, "fenced"), rapid.IntRange(0, 4).Draw(t, "unfenced"))})
	}
}

// replace ends a host and starts one with a new name. The platform's host list
// shows the old host as gone some time after it ended.
func (sim *simulation) replace(n *node, end func()) {
	if n.dead || n.stopped {
		return
	}
	end()
	sim.serial++
	sim.startConfigured(fmt.Sprintf("r%03d", sim.serial), "1")
	var poll func()
	poll = func() {
		if n.dead || n.stopped {
			sim.broadcast(host.PlatformStatus{Name: n.name, State: host.Gone})
		}
		sim.schedule(5*time.Second, poll)
	}
	sim.schedule(5*time.Second, poll)
}

// restart ends a process and starts another with the same host name.
func (sim *simulation) restart(n *node) {
	if n.dead || n.stopped {
		return
	}
	sim.kill(n)
	sim.serial++
	sim.startConfigured(n.name, fmt.Sprint("restart ", sim.serial))
}

func (sim *simulation) startConfigured(name, incarnation string) {
	n := sim.start(name, "z0", incarnation)
	sim.step(n, host.RunnersConfigured{Version: sim.config, Runners: sim.configured})
}

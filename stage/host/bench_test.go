package host_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthstage/stage/host"
)

// sizes are the numbers of hosts and runners in the benchmarked regions.
var sizes = []struct{ hosts, runners int }{
	{9, 23}, {50, 300}, {100, 300}, {185, 300}, {370, 600},
}

// identities returns the identities of hosts in three zones.
func identities(hosts int) []host.Identity {
	var all []host.Identity
	for i := range hosts {
		all = append(all, host.Identity{
			Name: fmt.Sprintf("entry-%03d", i), Incarnation: "0123456789abcdef", Zone: fmt.Sprintf("z%d", i%3),
		})
	}
	return all
}

// BenchmarkAssign measures computing the next table after the loss of every third
// host, and reports the size of the encoded table.
func BenchmarkAssign(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/runners=%d", s.hosts, s.runners), func(b *testing.B) {
			inputs := host.Inputs{Members: identities(s.hosts), ConfigVersion: 1, Runners: runners(s.runners, 0)}
			table := host.Assign(host.Table{}, inputs)
			var remaining []host.Identity
			for i, m := range inputs.Members {
				if i%3 != 0 {
					remaining = append(remaining, m)
				}
			}
			inputs.Members = remaining
			b.ReportAllocs()
			for b.Loop() {
				host.Assign(table, inputs)
			}
			b.ReportMetric(float64(len(table.Encode())), "B/table")
		})
	}
}

// BenchmarkWatched measures how a Member processes a table written by another host.
func BenchmarkWatched(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/runners=%d", s.hosts, s.runners), func(b *testing.B) {
			value := host.Assign(host.Table{}, host.Inputs{Members: identities(s.hosts), ConfigVersion: 1, Runners: runners(s.runners, 0)}).Encode()
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			m := host.Member{Region: region, Self: identities(1)[0]}
			m.Step(now, host.Started{})
			b.ReportAllocs()
			version := uint64(0)
			for b.Loop() {
				version++
				m.Step(now, host.TableWatched{Version: version, Value: value})
			}
		})
	}
}

// BenchmarkRegion simulates whole regions: a minute of normal operation, then the
// loss of every third host. It reports the calls per second on the object API, the
// writes of the table, the time spent in Step per host, and how long it takes until
// every runner of the lost hosts has a new owner.
func BenchmarkRegion(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/runners=%d", s.hosts, s.runners), func(b *testing.B) {
			for b.Loop() {
				measureRegion(b, s.hosts, s.runners)
			}
		})
	}
}

func measureRegion(b *testing.B, hosts, count int) {
	sim := newSimulation(b, 1)
	sim.skipChecks = true
	sim.startHosts(hosts, runners(count, 0))
	sim.run(20 * time.Second)
	starts := sim.tablePuts

	reads, writes, spent := sim.reads, sim.writes, sim.stepTime
	sim.run(time.Minute)
	b.ReportMetric(float64(sim.reads-reads)/60, "reads/s")
	b.ReportMetric(float64(sim.writes-writes)/60, "writes/s")
	b.ReportMetric(float64((sim.stepTime-spent).Microseconds())/60/float64(hosts), "µs/host/s")
	b.ReportMetric(float64(starts), "puts/start")

	lost := make(map[string]bool)
	for i := 0; i < hosts; i += 3 {
		name := fmt.Sprintf("h%03d", i)
		lost[name] = true
		sim.kill(sim.nodes[name])
	}
	reads, writes, puts := sim.reads, sim.writes, sim.tablePuts
	peak, moved := 0, 0
	for second := 1; second <= 30; second++ {
		calls := sim.reads + sim.writes
		sim.run(time.Second)
		peak = max(peak, sim.reads+sim.writes-calls)
		if moved == 0 && !owns(sim.table(), lost) {
			moved = second
		}
	}
	b.ReportMetric(float64(sim.reads-reads)/30, "lostreads/s")
	b.ReportMetric(float64(sim.writes-writes)/30, "lostwrites/s")
	b.ReportMetric(float64(peak), "peak/s")
	b.ReportMetric(float64(sim.tablePuts-puts), "puts/loss")
	b.ReportMetric(float64(moved), "s/moved")
}

// owns reports whether any of the hosts owns a runner in the table.
func owns(table host.Table, hosts map[string]bool) bool {
	for _, row := range table.Rows {
		if hosts[row.Owner] {
			return true
		}
	}
	return false
}

package host_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthstage/stage/host"
)

// sizes are the hosts and runners of a region that the benchmarks measure.
var sizes = []struct{ hosts, runners int }{
	{9, 23}, {50, 300}, {100, 300}, {185, 300}, {370, 600},
}

func fleet(hosts int) []host.Identity {
	var all []host.Identity
	for i := range hosts {
		all = append(all, host.Identity{
			Name: fmt.Sprintf("entry-%03d", i), Incarnation: "0123456789abcdef", Zone: fmt.Sprintf("z%d", i%3),
		})
	}
	return all
}

// BenchmarkAssign measures the next table after the loss of one host in three,
// and reports the size of the object.
func BenchmarkAssign(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/runners=%d", s.hosts, s.runners), func(b *testing.B) {
			facts := host.Inputs{Members: fleet(s.hosts), ConfigVersion: 1, Runners: runners(s.runners, 0)}
			table := host.Assign(host.Table{}, facts)
			var left []host.Identity
			for i, m := range facts.Members {
				if i%3 != 0 {
					left = append(left, m)
				}
			}
			facts.Members = left
			b.ReportAllocs()
			for b.Loop() {
				host.Assign(table, facts)
			}
			b.ReportMetric(float64(len(table.Encode())), "B/table")
		})
	}
}

// BenchmarkWatched measures a Member that takes in a table that another wrote.
func BenchmarkWatched(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/runners=%d", s.hosts, s.runners), func(b *testing.B) {
			value := host.Assign(host.Table{}, host.Inputs{Members: fleet(s.hosts), ConfigVersion: 1, Runners: runners(s.runners, 0)}).Encode()
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			m := host.Member{Region: region, Self: fleet(1)[0]}
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

// BenchmarkRegion runs whole regions on a made-up clock: a minute of ordinary
// time, then the loss of a third of the hosts, all of one zone. It reports calls
// on the object API a second, the table's writes, the control time of one host,
// and when the last runner of the lost zone had a new owner.
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
	w := newWorld(b, 1)
	w.quiet = true
	w.crew(hosts, runners(count, 0))
	w.run(20 * time.Second)
	starts := w.puts

	reads, writes, spent := w.reads, w.writes, w.spent
	w.run(time.Minute)
	b.ReportMetric(float64(w.reads-reads)/60, "reads/s")
	b.ReportMetric(float64(w.writes-writes)/60, "writes/s")
	b.ReportMetric(float64((w.spent-spent).Microseconds())/60/float64(hosts), "µs/host/s")
	b.ReportMetric(float64(starts), "puts/start")

	lost := make(map[string]bool)
	for i := 0; i < hosts; i += 3 {
		name := fmt.Sprintf("h%03d", i)
		lost[name] = true
		w.kill(w.nodes[name])
	}
	reads, writes, puts := w.reads, w.writes, w.puts
	peak, moved := 0, 0
	for second := 1; second <= 30; second++ {
		calls := w.reads + w.writes
		w.run(time.Second)
		peak = max(peak, w.reads+w.writes-calls)
		if moved == 0 && !owns(w.table(), lost) {
			moved = second
		}
	}
	b.ReportMetric(float64(w.reads-reads)/30, "lostreads/s")
	b.ReportMetric(float64(w.writes-writes)/30, "lostwrites/s")
	b.ReportMetric(float64(peak), "peak/s")
	b.ReportMetric(float64(w.puts-puts), "puts/loss")
	b.ReportMetric(float64(moved), "s/moved")
}

// owns reports whether the table has one of the hosts as an owner.
func owns(table host.Table, hosts map[string]bool) bool {
	for _, row := range table.Rows {
		if hosts[row.Owner] {
			return true
		}
	}
	return false
}

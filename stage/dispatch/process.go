package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/relay"
)

const (
	// processRetention is how long a process is remembered after its entry was last listed
	// or it last said something.
	processRetention = time.Hour
	// maxProcesses is the number of processes without an entry that are remembered.
	maxProcesses = 4096
)

// A processID identifies a process of a target.
type processID struct {
	name    string
	address netip.AddrPort
	started int64 // Unix milliseconds
}

func idOf(t catalog.Target) processID { return processID{t.Name, t.Address, t.Started.UnixMilli()} }

// A process is what one process of a target has said of itself, and what was acknowledged
// of it. It outlives the target's entry, which may lapse and come back, or come back from an
// older copy of the store, while the process lives.
type process struct {
	hash         relay.TargetHash // of the target's name
	started      int64            // Unix milliseconds
	notice       notice.State
	draining     bool      // which does not end
	terminatesAt time.Time // of a draining process; zero if unknown
	removed      bool      // the removal of the entry was acknowledged, and no list of the same era shows it again
	seenAt       time.Time // last time at which the entry was listed or the process said something
}

// processOf returns what is known of a target's process. It creates a record for one that
// isn't known yet.
func (d *Dispatcher) processOf(now time.Time, t catalog.Target) (p *process, known bool) {
	id := idOf(t)
	if p = d.processes[id]; p != nil {
		p.seenAt = now
		return p, true
	}
	if d.processes == nil {
		d.processes = make(map[processID]*process)
	}
	p = &process{hash: relay.HashTarget(t.Name), started: id.started, seenAt: now}
	d.processes[id] = p
	return p, false
}

// listed updates a process by its entry, and the entry by what is known of the process: no
// process goes back to ready.
func (p *process) listed(entry *catalog.Target) {
	p.removed = false
	if p.draining && entry.State == catalog.Ready {
		entry.State, entry.TerminatesAt = catalog.Draining, p.terminatesAt
	}
	if entry.State == catalog.Draining {
		p.draining, p.terminatesAt = true, entry.TerminatesAt
	}
}

// heard records what the process said in an answer to what was sent at the time sent. It
// reports whether that is new.
func (p *process) heard(now, sent time.Time, n notice.Notice, from notice.Source) (changed bool) {
	p.seenAt = now
	return p.notice.Heard(now, sent, n, from)
}

// isLeaving reports whether a process has announced its end.
func (p *process) isLeaving() bool { return p.draining || p.notice.Leaving() }

// WhyUnused returns why a target is not used though an entry that was just listed says that
// it is ready. It is empty if the entry counts.
func (d *Dispatcher) WhyUnused(now time.Time, entry catalog.Target) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, p := d.targets[entry.Name], d.processes[idOf(entry)]
	switch {
	case entry.State != catalog.Ready:
		return ""
	case t == nil || t.process != p:
		return "a later process has its name"
	case p.draining:
		return "draining before"
	case p.notice.Leaving():
		return "said that it is leaving"
	case now.Before(t.unconfirmedUntil):
		return "removed before, not confirmed yet"
	default:
		return ""
	}
}

// forgetProcesses deletes the processes that have had no entry for long, and the oldest of
// those without an entry if there are too many.
func (d *Dispatcher) forgetProcesses(now time.Time) {
	var unlisted []processID
	for id, p := range d.processes {
		switch t := d.targets[id.name]; {
		case t != nil && t.process == p:
			p.seenAt = now
		case now.Sub(p.seenAt) > processRetention:
			delete(d.processes, id)
		default:
			unlisted = append(unlisted, id)
		}
	}
	if len(unlisted) <= maxProcesses {
		return
	}
	slices.SortFunc(unlisted, func(x, y processID) int {
		return cmp.Compare(d.processes[x].seenAt.UnixNano(), d.processes[y].seenAt.UnixNano())
	})
	for _, id := range unlisted[:len(unlisted)-maxProcesses] {
		delete(d.processes, id)
	}
}

package daemon

import (
	"math"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"jacinthstage/jacinthd/settings"
)

const (
	// assumedMemory is the memory of the process, in MB, where the settings name none.
	assumedMemory = 256
	// heldShare is the share of the process's memory, as a divisor, that bodies and answers may
	// take. Freed buffers take as much again until the collector runs.
	heldShare = 8
	// connectionMemoryShare and connectionSize are the share of the process's memory, as a divisor, that
	// connections of callers may take, and what one takes, in bytes: two goroutines, two buffers
	// and the header of a request.
	connectionMemoryShare = 4
	connectionSize        = 32 << 10
	// reservedDescriptors and reservedShare are the descriptors that are kept for files, the store
	// and other hosts: a number or, of a small total, a share as a divisor. Of the others callers
	// get a part, callersShare as a divisor, since each request may need a connection to a target.
	reservedDescriptors = 200
	reservedShare       = 4
	callersShare        = 2
)

// limits is what callers may take of the process.
type limits struct {
	held        int64 // bytes of bodies and answers
	connections int
}

// limitsOf returns the limits that the settings name, or that follow from the memory and the
// descriptors of the process.
func limitsOf(s settings.Direct) limits {
	memory := s.MemoryLimitMB
	if memory <= 0 {
		memory = assumedMemory
	}
	l := limits{held: int64(memory * bytesPerMB / heldShare), connections: s.Connections}
	if s.HeldMB > 0 {
		l.held = int64(s.HeldMB * bytesPerMB)
	}
	if l.connections > 0 {
		return l
	}
	total := descriptors(s.Descriptors)
	l.connections = max(1, (total-min(reservedDescriptors, total/reservedShare))/callersShare)
	l.connections = max(1, min(l.connections, int(memory*bytesPerMB/connectionMemoryShare/connectionSize)))
	return l
}

// descriptors returns how many descriptors the process may open: those of the settings, 0 if they
// name none, but no more than the system allows.
func descriptors(set int) int {
	total := math.MaxInt32
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		total = int(min(limit.Cur, math.MaxInt32))
	}
	if set > 0 {
		total = min(total, set)
	}
	return total
}

// applyLimits sets the limits.
func (p *Process) applyLimits() {
	l := limitsOf(p.settings)
	p.memory.SetLimit(l.held)
	p.connections.Table.SetLimit(l.connections)
	p.log.Info("host: limits of callers", zap.Int64("held", l.held), zap.Int("connections", l.connections))
}

// closeIdle closes the connections of callers that have been idle for longer than they may.
func (p *Process) closeIdle(now time.Time) {
	timeout := idleTimeout
	if config := p.dispatcher.Config(); config != nil {
		timeout = max(timeout, config.Limits.IdleTimeout)
	}
	p.connections.Table.CloseIdle(now, timeout)
}

// A shortage says whether a part of the process is short of something, so that only changes are
// logged.
type shortage struct {
	seen  uint64 // how often it was, in all
	short bool
}

// update records how often there was a shortage so far, and reports whether it has begun or ended.
func (s *shortage) update(total uint64) (changed bool) {
	was := s.short
	s.short = total != s.seen
	s.seen = total
	return s.short != was
}

// logShortages logs when the process has become short of memory or connections for callers, or no
// longer is.
func (p *Process) logShortages() {
	if u := p.memory.Usage(); p.noMemory.update(u.Shortages()) {
		p.log.Info("host: memory for callers", zap.Bool("short", p.noMemory.short), zap.Int64s("held", u.Held[:]),
			zap.Uint64s("refused", u.Refused[:]), zap.Uint64s("evicted", u.Evicted[:]))
	}
	if u := p.connections.Table.Usage(); p.noConnections.update(u.Shortages()) {
		p.log.Info("host: connections of callers", zap.Bool("short", p.noConnections.short), zap.Int("open", u.Open),
			zap.Uint64("refused", u.Refused), zap.Uint64("closed", u.Closed))
	}
}

package admission

import "time"

const (
	// contributionTTL is how long the report of a host counts.
	contributionTTL = 1500 * time.Millisecond
	// sumInterval is the time after which sums are formed anew, so that rounding doesn't add up in them.
	sumInterval = 500 * time.Millisecond
)

// A contribution is what one host reported.
type contribution struct {
	at       time.Time
	reporter bool // the host reports to this one, which passes its counts on
	counts   map[key]count
}

// heard is what other hosts reported, with its sums: a relay gets and answers many reports in a
// moment, and must not add up all of them for each.
type heard struct {
	from      map[string]contribution // by the host that reported
	all       map[key]count
	reporters map[key]count // of the hosts that report to this one
	summed    time.Time
}

// set replaces what a host reported.
func (h *heard) set(name string, c contribution) {
	h.forget(name)
	if h.from == nil {
		h.from, h.all, h.reporters = make(map[string]contribution), make(map[key]count), make(map[key]count)
	}
	h.from[name] = c
	h.add(c)
}

// forget drops what a host reported.
func (h *heard) forget(name string) {
	c, known := h.from[name]
	if !known {
		return
	}
	delete(h.from, name)
	for k, counted := range c.counts {
		h.all[k] = h.all[k].subtract(counted)
		if c.reporter {
			h.reporters[k] = h.reporters[k].subtract(counted)
		}
	}
}

func (h *heard) add(c contribution) {
	for k, counted := range c.counts {
		h.all[k] = h.all[k].add(counted)
		if c.reporter {
			h.reporters[k] = h.reporters[k].add(counted)
		}
	}
}

// expire drops what is too old, and forms the sums anew from time to time.
func (h *heard) expire(now time.Time) {
	if now.Sub(h.summed) < sumInterval {
		return
	}
	h.summed = now
	clear(h.all)
	clear(h.reporters)
	for name, c := range h.from {
		if now.Sub(c.at) > contributionTTL {
			delete(h.from, name)
			continue
		}
		h.add(c)
	}
}

// passedOn returns the sums to tell a host, without its own part: of all hosts, or of those that
// report to this one.
func (h *heard) passedOn(to string, all bool) map[key]count {
	sums := make(map[key]count)
	own := h.from[to]
	from := h.reporters
	if all {
		from = h.all
	}
	for k, c := range from {
		if all || own.reporter {
			c = c.subtract(own.counts[k])
		}
		sums[k] = c
	}
	return sums
}

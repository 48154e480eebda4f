// Package memory decides which bytes a process may hold for others: bodies that arrive, answers
// that callers haven't taken, and bodies that pass through for other hosts.
//
// A Budget is the account of one process. Each body and each answer is a Holding, which asks for
// room before its buffer grows. When there is none, holdings that have made no progress for a while
// are evicted: those without progress for longest first, of these the largest. If that doesn't give
// enough room, the holding that asks doesn't get any. What can no longer be refused, such as the
// body of a request that has been sent, is never evicted.
//
// Small holdings find room where large ones don't, since a part of the budget is theirs. Up to
// FreeSize a holding always gets room: that is less than what its connection costs. So does a
// holding while there is no other, whatever the limit.
package memory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// FreeSize is the size of a holding, in bytes, up to which it always gets room.
	FreeSize = 4 << 10
	// SmallSize is the size of a holding, in bytes, up to which it may use the reserve.
	SmallSize = 64 << 10
	// reserveShare is the part of the limit, as a divisor, that only small holdings use.
	reserveShare = 8
	// StallTime is how long a holding makes no progress until it may be evicted.
	StallTime = 500 * time.Millisecond
	// evictionFactor limits all bytes held, with those of evicted holdings that aren't closed
	// yet, to a multiple of the limit.
	evictionFactor = 2
)

// A Kind is what a holding consists of.
type Kind int

// The kinds of holdings.
const (
	Body   Kind = iota // the body of a caller's request
	Answer             // an answer that its caller hasn't taken
	Passed             // the body of a request that this host sends for another one
	kinds
)

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Body, Answer, Passed} }

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"body", "answer", "passed"}[k] }

// A Budget is the account of the bytes that a process holds. The zero value has no limit. It is
// safe for concurrent use; a nil Budget has no limit either.
type Budget struct {
	mu       sync.Mutex
	limit    int64
	held     int64 // by all holdings
	leaving  int64 // of that, by evicted holdings
	holdings map[*Holding]struct{}
	usage    Usage
}

// Usage is what a Budget holds, and how often it has been short of room.
type Usage struct {
	Held    [kinds]int64  // bytes, by kind
	Refused [kinds]uint64 // holdings that got no room, by kind
	Evicted [kinds]uint64 // holdings that were evicted, by kind
}

// Shortages returns how often there was no room.
func (u Usage) Shortages() uint64 {
	sum := uint64(0)
	for k := range kinds {
		sum += u.Refused[k] + u.Evicted[k]
	}
	return sum
}

// SetLimit sets the limit, in bytes. 0 means no limit.
func (b *Budget) SetLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
}

// Usage returns what is held now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// A Holding is one body or answer. It must be closed.
type Holding struct {
	budget   *Budget
	kind     Kind
	evict    func() // nil if the holding can't be evicted
	evicted  bool
	size     int64
	progress time.Time // when it last made some
}

// Open begins a holding without bytes. evict is called at most once, when the holding has to give
// up its bytes, and not after Settle or Close; it must not block or call the Budget. A holding with
// a nil evict is never evicted.
func (b *Budget) Open(now time.Time, kind Kind, evict func()) *Holding {
	h := &Holding{budget: b, kind: kind, evict: evict, progress: now}
	if b == nil {
		return h
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holdings == nil {
		b.holdings = make(map[*Holding]struct{})
	}
	b.holdings[h] = struct{}{}
	return h
}

// Grow asks for room for n more bytes, and reports whether there is.
func (h *Holding) Grow(now time.Time, n int64) bool {
	b := h.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress = now
	if h.evicted {
		return false
	}
	if !b.fits(h, n) {
		b.makeRoom(now, h, n)
	}
	if !b.fits(h, n) {
		b.usage.Refused[h.kind]++
		return false
	}
	h.size += n
	b.held += n
	b.usage.Held[h.kind] += n
	return true
}

// fits reports whether there is room for n more bytes of h. b.mu must be held.
func (b *Budget) fits(h *Holding, n int64) bool {
	limit := b.limit
	if h.size+n > SmallSize {
		limit -= limit / reserveShare
	}
	switch {
	case b.limit <= 0, h.size+n <= FreeSize, b.held == h.size:
		return true
	default:
		return b.held-b.leaving+n <= limit && b.held+n <= evictionFactor*b.limit
	}
}

// makeRoom evicts stalled holdings until there is room for n more bytes of h, there are none, or
// too many bytes are held by those that were evicted before.
// b.mu must be held.
func (b *Budget) makeRoom(now time.Time, h *Holding, n int64) {
	var stalled []*Holding
	for other := range b.holdings {
		if other != h && other.evict != nil && !other.evicted && other.size > 0 && now.Sub(other.progress) >= StallTime {
			stalled = append(stalled, other)
		}
	}
	slices.SortFunc(stalled, func(x, y *Holding) int {
		longer := cmp.Compare(now.Sub(y.progress)/StallTime, now.Sub(x.progress)/StallTime)
		return cmp.Or(longer, cmp.Compare(y.size, x.size), x.progress.Compare(y.progress))
	})
	for _, other := range stalled {
		if b.fits(h, n) || b.held+n > evictionFactor*b.limit {
			return
		}
		other.evicted = true
		b.leaving += other.size
		b.usage.Evicted[other.kind]++
		other.evict()
	}
}

// Progress records that bytes were taken or have arrived.
func (h *Holding) Progress(now time.Time) {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress = now
}

// MayEvict makes the holding one that may be evicted, as Open does.
func (h *Holding) MayEvict(now time.Time, evict func()) {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress, h.evict = now, evict
}

// Settle makes the holding one that is never evicted. It returns false if it has been already.
func (h *Holding) Settle() bool {
	if h.budget == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.evict = nil
	return !h.evicted
}

// Close gives all bytes back. Further calls do nothing.
func (h *Holding) Close() {
	b := h.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		b.leaving -= h.size
	}
	b.held -= h.size
	b.usage.Held[h.kind] -= h.size
	h.size, h.evict, h.evicted = 0, nil, false
	delete(b.holdings, h)
}

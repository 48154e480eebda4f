// Package retry limits retries by a budget for each service, a fraction of the
// service's recent requests. So when a service fails as a whole, retries add
// little to its load, however many requests fail.
//
// Whether a request may be sent again at all is for those that send it: what
// that takes is the verdict of the failed try, and whether the caller has
// received a byte. A retry goes to another target at once: it isn't held back,
// since a refusal must not be either.
package retry

import (
	"sync"
	"time"
)

// The limits that hold where a Budgets sets none.
const (
	DefaultRatio      = 0.1
	DefaultMinRetries = 10
)

const span = 10 // seconds in the window

// Budgets are the budgets of all services. The zero value is ready for use, by
// several goroutines at once.
type Budgets struct {
	Ratio      float64 // retries for each request in the window
	MinRetries float64 // retries in the window that need no requests; see SetFloor

	mu       sync.Mutex
	services map[string]*window
}

// A window counts requests and retries in each of the last seconds.
type window struct{ seconds [span]second }

// A second is one second of a window.
type second struct {
	unix             int64 // which second, since 1970
	counted, retries int
}

// at returns the second of now, emptied where it was an older one.
func (w *window) at(now time.Time) *second {
	unix := now.Unix()
	s := &w.seconds[unix%span]
	if s.unix != unix {
		*s = second{unix: unix}
	}
	return s
}

// room reports whether the budget has room for one more retry.
func (w *window) room(now time.Time, floor, share float64) bool {
	counted, retries := 0, 0
	for _, s := range w.seconds {
		if s.unix > now.Unix()-span && s.unix <= now.Unix() {
			counted += s.counted
			retries += s.retries
		}
	}
	return float64(retries) < floor+share*float64(counted)
}

// SetMinRetries changes Floor of budgets in use.
func (b *Budgets) SetMinRetries(floor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.MinRetries = floor
}

func (b *Budgets) limits() (floor, share float64) {
	if b.MinRetries == 0 && b.Ratio == 0 {
		return DefaultMinRetries, DefaultRatio
	}
	return b.MinRetries, b.Ratio
}

func (b *Budgets) window(service string) *window {
	if b.services == nil {
		b.services = map[string]*window{}
	}
	if b.services[service] == nil {
		b.services[service] = &window{}
	}
	return b.services[service]
}

// CountRequest notes a request of the service, by which its budget grows.
func (b *Budgets) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).at(now).counted++
}

// Take takes one retry from the budget of the service, false where it is used up.
func (b *Budgets) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	floor, share := b.limits()
	if !w.room(now, floor, share) {
		return false
	}
	w.at(now).retries++
	return true
}

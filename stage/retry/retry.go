// Package retry limits retries by a budget for each service: a fraction of the
// service's recent requests. When a service fails as a whole, retries therefore
// add little to its load, however many requests fail.
//
// The package does not decide whether a request may be sent again at all. That
// is up to its callers and depends on the verdict of the failed attempt and on
// whether the caller of the request has received a byte. A retry goes to another
// target without backoff, because a refusal must not be delayed either.
package retry

import (
	"sync"
	"time"
)

// The limits of a Budgets that sets none.
const (
	DefaultRatio      = 0.1
	DefaultMinRetries = 10
)

const windowSeconds = 10

// Budgets holds the retry budgets of all services. The zero value is ready for
// use. It is safe for concurrent use.
type Budgets struct {
	Ratio      float64 // retries allowed per request in the window
	MinRetries float64 // retries allowed in the window regardless of requests; see SetMinRetries

	mu       sync.Mutex
	services map[string]*window
}

// A window counts requests and retries per second over the last windowSeconds.
type window struct{ buckets [windowSeconds]bucket }

// A bucket holds the counts of one second.
type bucket struct {
	unix              int64 // the second, as Unix time
	requests, retries int
}

// bucketAt returns the bucket of now. It resets the bucket if it holds an older
// second.
func (w *window) bucketAt(now time.Time) *bucket {
	unix := now.Unix()
	b := &w.buckets[unix%windowSeconds]
	if b.unix != unix {
		*b = bucket{unix: unix}
	}
	return b
}

// allows reports whether the budget allows one more retry.
func (w *window) allows(now time.Time, minRetries, ratio float64) bool {
	requests, retries := 0, 0
	for _, b := range w.buckets {
		if b.unix > now.Unix()-windowSeconds && b.unix <= now.Unix() {
			requests += b.requests
			retries += b.retries
		}
	}
	return float64(retries) < minRetries+ratio*float64(requests)
}

// SetMinRetries changes MinRetries. Unlike an assignment to the field, it is safe
// while the budgets are in use.
func (b *Budgets) SetMinRetries(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.MinRetries = n
}

func (b *Budgets) limits() (minRetries, ratio float64) {
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

// CountRequest counts a request of the service, which increases its budget.
func (b *Budgets) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).bucketAt(now).requests++
}

// Take takes one retry from the budget of the service. It returns false if the
// budget is exhausted.
func (b *Budgets) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	minRetries, ratio := b.limits()
	if !w.allows(now, minRetries, ratio) {
		return false
	}
	w.bucketAt(now).retries++
	return true
}

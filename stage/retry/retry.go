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

	"jacinthstage/stage/host"
)

// The limits of a Budgets that sets none.
const (
	DefaultRatio      = 0.1
	DefaultMinRetries = 10
)

const (
	// windowSeconds is the time over which a budget holds.
	windowSeconds = 10
	// bucketCount is one more than windowSeconds: the oldest second is still partly in
	// the window.
	bucketCount = windowSeconds + 1
)

// Budgets holds the retry budgets of all services. The zero value is ready for
// use. It is safe for concurrent use.
type Budgets struct {
	Ratio      float64 // retries allowed per request in the window
	MinRetries float64 // retries allowed in the window regardless of requests; see SetHosts

	mu       sync.Mutex
	hosts    host.Count
	epoch    time.Time // start of second 0; steps of the time of day don't move it
	services map[string]*window
}

// A window counts requests and retries per second over the last windowSeconds. Its
// retries are those of at least that time, its requests those of at most that time.
type window struct{ buckets [bucketCount]bucket }

// A bucket holds the counts of one second.
type bucket struct {
	second            int64 // since the epoch
	requests, retries int
}

// bucketAt returns the bucket of a second. It resets the bucket if it holds an older
// second.
func (w *window) bucketAt(second int64) *bucket {
	b := &w.buckets[second%bucketCount]
	if b.second != second {
		*b = bucket{second: second}
	}
	return b
}

// allows reports whether the budget allows one more retry. A fraction of a retry is none: were
// each host to round its part up, all hosts together would exceed the total.
func (w *window) allows(second int64, minRetries, ratio float64) bool {
	requests, retries := 0, 0
	for _, b := range w.buckets {
		if b.second > second-windowSeconds {
			requests += b.requests
		}
		if b.second > second-bucketCount {
			retries += b.retries
		}
	}
	return float64(retries+1) <= minRetries+ratio*float64(requests)
}

// second returns the second since the epoch.
func (b *Budgets) second(now time.Time) int64 {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	return max(0, int64(now.Sub(b.epoch)/time.Second))
}

// SetHosts sets MinRetries to this host's part of the total that all hosts together have
// regardless of requests. The argument hosts is the number of hosts that are listed, 0
// if it is unknown: this host then has no part. It is safe while the budgets are in use.
func (b *Budgets) SetHosts(now time.Time, total float64, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts.Update(now, hosts)
	if b.hosts.Most == 0 {
		b.MinRetries = 0
		return
	}
	// A host that has just started isn't listed yet.
	b.MinRetries = total / float64(b.hosts.Most+1)
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
	b.window(service).bucketAt(b.second(now)).requests++
}

// Take takes one retry from the budget of the service. It returns false if the
// budget is exhausted.
func (b *Budgets) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	minRetries, ratio := b.limits()
	second := b.second(now)
	if !w.allows(second, minRetries, ratio) {
		return false
	}
	w.bucketAt(second).retries++
	return true
}

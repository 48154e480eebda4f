// Package weight implements the platform's weight store, which limits the loads
// per second and slows down when too many are in flight.
//
// The loads in flight share the store's bandwidth: up to FullSpeedLoads each load
// runs at full speed; above that each gets an equal share, so that loads take
// proportionally longer.
package weight

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// ErrLimited is returned for a load over the store's rate.
var ErrLimited = errors.New("weight: over the rate")

// A Store simulates a weight store. Set the exported fields before the first load.
type Store struct {
	LoadsPerSecond float64       // 0 means no limit
	FullSpeedLoads int           // maximum number of loads in flight at full speed
	LoadTime       time.Duration // duration of a load at full speed

	mu          sync.Mutex
	limiter     *rate.Limiter
	counts      Counts
	inflight    int
	work        time.Duration // full-speed time that a load in flight since the start has received
	workUpdated time.Time     // when work was last updated
	changed     chan struct{} // closed when the speed changes
}

// Counts holds the totals of a store.
type Counts struct {
	Loads       int // loads that ended
	Refused     int // loads over the rate
	MaxInflight int // highest number of concurrent loads
}

// Fetch blocks for the duration of a load. It fails with ErrLimited if the load is
// over the rate, and with ctx.Err() if ctx ends first.
func (s *Store) Fetch(ctx context.Context) error {
	end, err := s.begin(time.Now())
	if err != nil {
		return err
	}
	defer s.end()
	for {
		wait, changed := s.remaining(time.Now(), end)
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// Counts returns the totals so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// begin starts a load and returns the value of s.work at which it is complete.
func (s *Store) begin(now time.Time) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = newLimiter(s.LoadsPerSecond)
	}
	if !s.limiter.AllowN(now, 1) {
		s.counts.Refused++
		return 0, ErrLimited
	}
	s.addInflight(now, 1)
	s.counts.MaxInflight = max(s.counts.MaxInflight, s.inflight)
	return s.work + s.LoadTime, nil
}

// end removes a load from those in flight.
func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInflight(time.Now(), -1)
	s.counts.Loads++
}

// addInflight updates the work and changes the number of loads in flight.
func (s *Store) addInflight(now time.Time, change int) {
	s.updateWork(now)
	s.inflight += change
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// updateWork adds the work done since the last update.
func (s *Store) updateWork(now time.Time) {
	if !s.workUpdated.IsZero() {
		s.work += time.Duration(float64(now.Sub(s.workUpdated)) / s.slowdown())
	}
	s.workUpdated = now
}

// slowdown returns the factor by which loads take longer than at full speed.
func (s *Store) slowdown() float64 {
	return max(1, float64(s.inflight)/float64(max(1, s.FullSpeedLoads)))
}

// remaining returns the time until s.work reaches end at the current speed, and a
// channel that is closed when the speed changes.
func (s *Store) remaining(now time.Time, end time.Duration) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateWork(now)
	return time.Duration(math.Ceil(float64(end-s.work) * s.slowdown())), s.changed
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond))))
}

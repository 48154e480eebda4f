// Package weight is the stand-in's weight store, which serves a number of
// loads a second and slows down when more than its limit are in flight.
//
// Loads share the store's speed: up to the limit each goes at full speed,
// beyond it each gets its part, so a load takes proportionally longer.
package weight

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// ErrLimited says that the load was over the store's rate.
var ErrLimited = errors.New("weight: over the rate")

// A Store is a weight store. Set its fields before the first load.
type Store struct {
	LoadsPerSecond float64       // loads a second; 0 is no limit
	FullSpeedLoads int           // loads in flight at full speed
	LoadTime       time.Duration // time of a load at full speed

	mu          sync.Mutex
	limiter     *rate.Limiter
	counts      Counts
	inflight    int
	work        time.Duration // work done for each load in flight since the start
	workUpdated time.Time     // when work was brought up to date
	changed     chan struct{}
}

// Counts are what the store saw.
type Counts struct {
	Loads       int // loads that ended
	Refused     int // loads over the rate
	MaxInflight int // highest number of loads at once
}

// Fetch returns when the weights have been fetched. It fails with ErrLimited
// over the rate, and with ctx.
func (s *Store) Fetch(ctx context.Context) error {
	end, err := s.begin(time.Now())
	if err != nil {
		return err
	}
	defer s.end()
	for {
		left, changed := s.remaining(time.Now(), end)
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
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

// Counts returns what the store saw.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

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

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInflight(time.Now(), -1)
	s.counts.Loads++
}

// addInflight brings the work up to date and changes the number of loads in flight.
func (s *Store) addInflight(now time.Time, change int) {
	s.updateWork(now)
	s.inflight += change
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Store) updateWork(now time.Time) {
	if !s.workUpdated.IsZero() {
		s.work += time.Duration(float64(now.Sub(s.workUpdated)) / s.slowdown())
	}
	s.workUpdated = now
}

func (s *Store) slowdown() float64 {
	return max(1, float64(s.inflight)/float64(max(1, s.FullSpeedLoads)))
}

// remaining returns the time that a load needs until end at the present speed, and
// a channel closed when the speed changes.
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

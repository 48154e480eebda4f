// Package retry decides whether a failed request is sent again, and when.
//
// A request is retried only where its verdict is NotRun, or where it is
// idempotent and its caller has received no byte yet; where coming back can
// help; within its deadline; and within the budget of its service, which is a
// fraction of the service's recent successes. So when a service fails as a
// whole, retries add little to its load, however many requests fail.
package retry

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/verdict"
)

const (
	// Attempts is the most that one request is sent, the first time included.
	Attempts = 3

	share     = 0.1 // retries for each success in the window
	floor     = 10  // retries in the window that need no successes
	span      = 10  // seconds in the window
	firstWait = 50 * time.Millisecond
	mostWait  = 2 * time.Second
)

// An Attempt is what is known of a request that failed.
type Attempt struct {
	Service    string
	Sent       int  // how often it was sent
	Idempotent bool // whether it may run twice
	Begun      bool // whether its caller has received a byte
	Deadline   time.Time
}

// A Decision is what to do with a failed request: Again or Give.
type Decision interface{ decision() }

// Again says to send the request again, at At.
type Again struct{ At time.Time }

// Give says to give the request up.
type Give struct{ Cause Cause }

func (Again) decision() {}
func (Give) decision()  {}

// A Cause is why a request isn't retried.
type Cause string

// The causes, one word each as in metrics.
const (
	Final    Cause = "final"    // coming back can't help
	Unsafe   Cause = "unsafe"   // it may have run
	Often    Cause = "often"    // it was sent Attempts times
	Deadline Cause = "deadline" // its deadline comes first
	Budget   Cause = "budget"   // the service's budget is used up
)

// Budgets are the budgets of all services. The zero value is ready for use, by
// several goroutines at once.
type Budgets struct {
	mu       sync.Mutex
	services map[string]*window
}

// A window counts successes and retries in each of the last seconds.
type window struct{ seconds [span]second }

// A second is one second of a window.
type second struct {
	unix               int64 // which second, since 1970
	successes, retries int
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
func (w *window) room(now time.Time) bool {
	successes, retries := 0, 0
	for _, s := range w.seconds {
		if s.unix > now.Unix()-span && s.unix <= now.Unix() {
			successes += s.successes
			retries += s.retries
		}
	}
	return float64(retries) < floor+share*float64(successes)
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

// Succeeded notes that a request of the service succeeded.
func (b *Budgets) Succeeded(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).at(now).successes++
}

// Decide says what to do with a request that failed with err. Jitter is a
// random number from 0 up to 1, which spreads the retries. A retry that it
// grants counts against the budget.
func (b *Budgets) Decide(now time.Time, a Attempt, err error, jitter float64) Decision {
	if cause := refuse(a, err); cause != "" {
		return Give{cause}
	}
	at := when(now, a, err, jitter)
	if !at.Before(a.Deadline) {
		return Give{Deadline}
	}
	if !b.Take(now, a.Service) {
		return Give{Budget}
	}
	return Again{at}
}

// Take takes one retry from the budget of the service, false where it is used up.
func (b *Budgets) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	if !w.room(now) {
		return false
	}
	w.at(now).retries++
	return true
}

// refuse returns why the request may not be retried at all, empty where it may.
func refuse(a Attempt, err error) Cause {
	switch {
	case !helps(err):
		return Final
	case a.Begun:
		return Unsafe
	case verdict.Of(err) == verdict.Ran:
		return Final
	case verdict.Of(err) != verdict.NotRun && !a.Idempotent:
		return Unsafe
	case a.Sent >= Attempts:
		return Often
	default:
		return ""
	}
}

// helps reports whether coming back can help. An error of no code is of a
// connection, where it can.
func helps(err error) bool {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return true
	}
	switch e.Code {
	case verdict.Busy, verdict.Unavailable, verdict.Broken:
		return true
	default:
		return false
	}
}

// when returns the time of the retry: after a wait that doubles with each
// attempt, half of it jittered, and not before the error says that coming back
// may help.
func when(now time.Time, a Attempt, err error, jitter float64) time.Time {
	wait := min(firstWait<<max(a.Sent-1, 0), mostWait)
	at := now.Add(wait/2 + time.Duration(jitter*float64(wait/2)))
	var e *verdict.Error
	if errors.As(err, &e) && e.Again.After(at) {
		return e.Again
	}
	return at
}

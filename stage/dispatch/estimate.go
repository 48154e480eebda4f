package dispatch

import (
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
)

const (
	// readRate is how many prompt tokens a runner reads in a millisecond.
	readRate = 38.0
	// stepTime is the time of one step of a batch, in which each of its requests
	// gets a token.
	stepTime = 7 * time.Millisecond
	// meanRun is how long a request usually holds its place on a runner.
	meanRun = 1500 * time.Millisecond
	// crowding is what each request that runs adds to the time to the first token.
	crowding = 4 * time.Millisecond
	// meanWork is how long a plain service works on a request.
	meanWork = 40 * time.Millisecond
	// nearDelay and farDelay are what a request loses on its way to another zone
	// and to another region, there and back.
	nearDelay = 3 * time.Millisecond
	farDelay  = 65 * time.Millisecond
	// loadAge is the time in which what a target said of its load halves.
	loadAge = 2 * time.Second
)

// distance returns what a request loses on its way to a target.
func (b *Dispatcher) distance(t *target) time.Duration {
	switch {
	case t.Zone == b.Zone:
		return 0
	case !b.far(t):
		return nearDelay
	default:
		return farDelay
	}
}

// far reports whether a target is in another region.
func (b *Dispatcher) far(t *target) bool { return b.distant(t.Zone) }

// distant reports whether an availability zone is in another region.
func (b *Dispatcher) distant(zone string) bool { return b.Regions[zone] != b.Regions[b.Zone] }

// running estimates how many requests of all hosts a target has, and how many
// tokens of other hosts' prompts it still reads.
func (b *Dispatcher) running(now time.Time, t *target) (running, unread int) {
	others := b.exchange.OthersLoad(t.mark)
	running = t.open + others.InProgress
	if t.heard.Known {
		age := now.Sub(t.at).Seconds() / loadAge.Seconds()
		heard := float64(t.heard.Running+t.heard.Waiting-t.opened) / (1 + 2*age)
		running = max(running, t.open+int(heard))
	}
	return running, others.PrefillTokens
}

// queue estimates the wait for a place on a target whose requests hold one for
// span.
func (t *target) queue(running int, span time.Duration) time.Duration {
	if t.Slots <= 0 || running < t.Slots {
		return 0
	}
	return span * time.Duration(running-t.Slots+1) / time.Duration(t.Slots)
}

// expected estimates the time until a target answers, loads aside.
func (b *Dispatcher) expected(now time.Time, t *target, w Request) time.Duration {
	running, unread := b.running(now, t)
	var span time.Duration
	if w.engine() {
		cached := t.memory.CachedTokens(w.Call, w.keys)
		span = reading(unread+t.prefill+max(0, w.Call.InputTokens-cached)) + stepTime
		span += t.queue(running, meanRun) + crowding*time.Duration(running)
	} else {
		span = meanWork + t.queue(running, meanWork)
		span += meanWork * time.Duration(running) / time.Duration(max(1, t.Slots)) / 2
	}
	span = time.Duration(float64(span) * t.pace)
	return span + b.distance(t)
}

// reading returns the time that a runner takes to read tokens of prompts.
func reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Millisecond))
}

// listed reports whether a target takes new requests by its entry.
func (t *target) listed(now time.Time) bool {
	return t.State == catalog.Ready && (t.gone.IsZero() || !now.After(t.gone))
}

// usable reports whether new requests should go to a target: it is listed, and
// not shunned or up for a trial.
func (t *target) usable(now time.Time) bool {
	if !t.listed(now) {
		return false
	}
	return t.shunned.IsZero() || now.After(t.shunned) && !t.trial
}

// hear takes in what a target said of its load.
func (t *target) hear(now time.Time, l call.TargetLoad) {
	if l.Known {
		t.heard, t.at, t.opened = l, now, t.open
	}
}

// The prices of a choice, in answers that come late: 1 is one answer.
const (
	// fetchPrice is that of an adapter fetched from the weight store, handPrice
	// that of one that the runner has at hand.
	fetchPrice = 0.30
	handPrice  = 0.03
	// homePrice is that of each runner that comes before in the order of an
	// adapter: the next request looks there first.
	homePrice = 0.012
	// farPrice is that of 16 KB between regions.
	farPrice = 0.03
	farUnit  = 16 << 10 // bytes
	// tailPrice is that of a wait of one aim, where the answer is in time all the same.
	tailPrice = 0.2
	// latePrice is that of each further aim, once the answer is late.
	latePrice = 0.5
	// lostPrice is that of a target to which other hosts can't connect.
	lostPrice = 0.6
	// failPrice is that of a target all of whose answers fail.
	failPrice = 2.0
)

// risk returns the price of an expected time to the first byte. It grows slowly
// while there is room for what the estimate doesn't know, then up to 1 at the aim.
func risk(span, aim time.Duration) float64 {
	if aim <= 0 {
		aim = time.Second
	}
	x := float64(span) / float64(aim)
	price := tailPrice * x
	if x > 0.5 {
		steep := min(2*x-1, 1)
		price += (1 - tailPrice) * steep * steep
	}
	if x > 1 {
		price += latePrice * (x - 1)
	}
	return price
}

package dispatch

import (
	"math/rand/v2"
	"time"

	"jacinthstage/stage/notice"
)

// roomAt returns what this host knows of the room at a brittle target.
func (d *Dispatcher) roomAt(now time.Time, t *target) notice.Room {
	running, _ := d.running(now, t)
	waiting := t.reportedLoad.Known && t.reportedLoad.Waiting > 0 && now.Sub(t.reportedAt) < waitingAge
	return notice.Room{Slots: t.Slots, Own: t.inFlight, Running: running, Waiting: waiting, Spare: d.mayRisk(now, t)}
}

// mayRisk reports whether this host may send a request that a brittle target may have to reject.
// All hosts together cause a quarter of the rejections that the targets of a service bear: each risks
// one, and none for a time after it, which is drawn also when the first target says that it is
// brittle.
func (d *Dispatcher) mayRisk(now time.Time, t *target) bool {
	if !t.process.notice.Brittle() {
		return true
	}
	if _, ok := d.riskFrom[t.Service]; !ok {
		d.setRisk(t.Service, now.Add(rand.N(d.riskInterval(t))))
	}
	return !now.Before(d.riskFrom[t.Service])
}

// rejectedByBrittle begins the time in which this host risks no rejection.
func (d *Dispatcher) rejectedByBrittle(now time.Time, t *target) {
	if t.process.notice.Brittle() {
		d.setRisk(t.Service, now.Add(jitter(d.riskInterval(t))))
	}
}

func (d *Dispatcher) setRisk(service string, from time.Time) {
	if d.riskFrom == nil {
		d.riskFrom = make(map[string]time.Time)
	}
	d.riskFrom[service] = from
}

// riskInterval returns the time between two rejections that one host may cause.
func (d *Dispatcher) riskInterval(t *target) time.Duration {
	borne := max(1, t.process.notice.Tolerated()/4) * max(1, len(d.services[t.Service]))
	return max(time.Millisecond, time.Duration(max(1, len(d.hosts)))*time.Second/time.Duration(borne))
}

package suspect

import (
	"time"

	"jacinthstage/stage/recent"
)

// exemption is the time after an answer in which crashes don't count against a trait. Many
// targets may end at once with requests that share a popular part.
const exemption = 2 * time.Second

// exemptionOf returns the exemption of a trait. What repeats have in common is that of one
// caller: it is in progress at few crashes by chance.
func exemptionOf(t Trait) time.Duration {
	if t.isRepeat() {
		return 0
	}
	return exemption
}

// answered remembers when requests with each trait were last answered. The zero value is
// ready to use.
type answered struct{ times recent.Map[Trait, time.Time] }

func (a *answered) add(now, at time.Time, t Trait) {
	if at.After(a.last(t)) {
		a.times.Put(now, t, at)
	}
}

// last returns the time of the last answer, zero if none is remembered.
func (a *answered) last(t Trait) time.Time {
	at, _ := a.times.Get(t)
	return at
}

// exempts reports whether a crash at a time doesn't count against a trait.
func (a *answered) exempts(t Trait, crash time.Time) bool {
	last := a.last(t)
	return !last.IsZero() && crash.Sub(last) <= exemptionOf(t)
}

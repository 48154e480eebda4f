package queue

// CallerUsage are what each caller has had by its weight, in units that the user
// charges, as in start-time fair queueing: a caller that comes back has no
// credit for the time that it wanted nothing. The zero value has none.
type CallerUsage struct {
	clock  float64 // level of the least served caller that wants something
	values map[string]float64
}

// Advance moves the clock to the least served of the callers that want something,
// and forgets the callers that it has passed.
func (l *CallerUsage) Advance(wanting func(yield func(caller string) bool)) {
	least, found := 0.0, false
	for caller := range wanting {
		if v := l.Usage(caller); !found || v < least {
			least, found = v, true
		}
	}
	if !found {
		return
	}
	l.clock = max(l.clock, least)
	for caller, v := range l.values {
		if v <= l.clock {
			delete(l.values, caller)
		}
	}
}

// Usage returns the caller's level.
func (l *CallerUsage) Usage(caller string) float64 { return max(l.values[caller], l.clock) }

// Exceeds reports whether the caller is more than slack above the least served.
func (l *CallerUsage) Exceeds(caller string, slack float64) bool {
	return l.Usage(caller) > l.clock+slack
}

// Charge counts one unit for the caller. A weight below 1 counts as 1.
func (l *CallerUsage) Charge(caller string, weight int) {
	if l.values == nil {
		l.values = map[string]float64{}
	}
	l.values[caller] = l.Usage(caller) + 1/float64(max(weight, 1))
}

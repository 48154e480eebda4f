package queue

// CallerUsage tracks how much each caller has received by its weight, as in
// start-time fair queueing. What is counted as one unit is up to the code that
// calls Charge. A caller that returns after a pause gets no credit for the time in
// which it requested nothing. The zero value is ready to use and has nothing
// charged.
type CallerUsage struct {
	clock float64 // usage of the least served caller among those that request something
	usage map[string]float64
}

// Advance moves the clock to the usage of the least served of the requesting
// callers, and forgets the callers that the clock has passed. The clock never
// moves back.
func (c *CallerUsage) Advance(requesting func(yield func(caller string) bool)) {
	least, found := 0.0, false
	for caller := range requesting {
		if u := c.Usage(caller); !found || u < least {
			least, found = u, true
		}
	}
	if !found {
		return
	}
	c.clock = max(c.clock, least)
	for caller, u := range c.usage {
		if u <= c.clock {
			delete(c.usage, caller)
		}
	}
}

// Usage returns the units charged to the caller, divided by its weight. It is at
// least that of the least served requesting caller at the last Advance.
func (c *CallerUsage) Usage(caller string) float64 { return max(c.usage[caller], c.clock) }

// Exceeds reports whether the caller is more than slack above the least served
// caller.
func (c *CallerUsage) Exceeds(caller string, slack float64) bool {
	return c.Usage(caller) > c.clock+slack
}

// Charge charges one unit to the caller. A weight below 1 counts as 1.
func (c *CallerUsage) Charge(caller string, weight int) {
	if c.usage == nil {
		c.usage = map[string]float64{}
	}
	c.usage[caller] = c.Usage(caller) + 1/float64(max(weight, 1))
}

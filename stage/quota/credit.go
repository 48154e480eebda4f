package quota

import "time"

// credit is the right to send a number of units until a deadline.
type credit struct {
	amount float64
	until  time.Time
}

// A balance is credit in the order of the deadlines. Its zero value holds none.
type balance []credit

// add adds credit. Credit whose deadline is at most step later than that of held credit is merged
// with it and ends with it.
func (b *balance) add(c credit, step time.Duration) {
	if c.amount <= 0 {
		return
	}
	i := len(*b)
	for i > 0 && (*b)[i-1].until.After(c.until) {
		i--
	}
	if i > 0 && c.until.Sub((*b)[i-1].until) <= step {
		(*b)[i-1].amount += c.amount
		return
	}
	*b = append(*b, credit{})
	copy((*b)[i+1:], (*b)[i:])
	(*b)[i] = c
}

// endBy makes all credit lapse by a time.
func (b balance) endBy(until time.Time) {
	for i := range b {
		if b[i].until.After(until) {
			b[i].until = until
		}
	}
}

// total returns the credit that is valid at the time now, and drops the rest.
func (b *balance) total(now time.Time) float64 {
	first := 0
	for first < len(*b) && !now.Before((*b)[first].until) {
		first++
	}
	*b = (*b)[first:]
	sum := 0.0
	for _, c := range *b {
		sum += c.amount
	}
	return sum
}

// take takes credit, that which lapses first before the rest, and returns its parts. The balance
// holds at least the amount.
func (b *balance) take(amount float64) (parts []credit) {
	for amount > 0 && len(*b) > 0 {
		first := &(*b)[0]
		part := min(amount, first.amount)
		parts = append(parts, credit{part, first.until})
		first.amount -= part
		amount -= part
		if first.amount <= 0 {
			*b = (*b)[1:]
		}
	}
	return parts
}

// takeLast is like take but takes the credit first that lapses last.
func (b *balance) takeLast(amount float64) (parts []credit) {
	for amount > 0 && len(*b) > 0 {
		last := &(*b)[len(*b)-1]
		part := min(amount, last.amount)
		parts = append(parts, credit{part, last.until})
		last.amount -= part
		amount -= part
		if last.amount <= 0 {
			*b = (*b)[:len(*b)-1]
		}
	}
	return parts
}

// takeLasting is like take but takes credit that lapses before the time until only if the rest
// doesn't suffice.
func (b *balance) takeLasting(until time.Time, amount float64) []credit {
	first := 0
	for first < len(*b) && (*b)[first].until.Before(until) {
		first++
	}
	short, lasting := (*b)[:first:first], (*b)[first:]
	parts := lasting.take(amount)
	for _, c := range parts {
		amount -= c.amount
	}
	parts = append(parts, short.takeLast(amount)...)
	*b = append(short, lasting...)
	return parts
}

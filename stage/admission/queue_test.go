package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/admission"
)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// TestQueueOrder checks that the most urgent request polls first, then the one whose deadline is first.
func TestQueueOrder(t *testing.T) {
	var l admission.Queue
	join := func(rank, deadline int) *admission.Waiter {
		w, ok := l.Join(start, rank, ms(1000), ms(deadline))
		require.True(t, ok)
		return w
	}
	third, first, second, last := join(1, 5000), join(0, 9000), join(1, 4000), join(2, 100)
	before := start
	for _, w := range []*admission.Waiter{first, second, third, last} {
		next, ok := l.Next(start, w)
		require.True(t, ok)
		require.True(t, next.After(before))
		before = next
	}
	l.Leave(first)
	next, _ := l.Next(start, second)
	require.True(t, next.Before(before))
	_, ok := l.Next(start, first)
	require.False(t, ok)
}

// TestQueueIsShort checks that a request waits for an eighth of its objective at most, and that few wait.
func TestQueueIsShort(t *testing.T) {
	var l admission.Queue
	_, ok := l.Join(ms(1001), 0, ms(1000), ms(5000))
	require.False(t, ok, "its objective has passed")
	w, _ := l.Join(start, 1, ms(800), ms(5000))
	_, ok = l.Next(ms(79), w)
	require.True(t, ok)
	_, ok = l.Next(ms(100), w)
	require.False(t, ok)
	for range 31 {
		_, ok = l.Join(start, 0, ms(1000), ms(5000))
		require.True(t, ok)
	}
	_, ok = l.Join(start, 2, ms(1000), ms(5000))
	require.False(t, ok, "the queue is full")
	_, ok = l.Join(start, 0, ms(1000), ms(5000))
	require.True(t, ok, "the last one leaves it")
	_, ok = l.Next(start, w)
	require.False(t, ok)
}

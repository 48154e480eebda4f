package memory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/memory"
)

const limit = 8 << 20

func open(b *memory.Budget, at time.Time, size int64, evicted *int) *memory.Holding {
	h := b.Open(at, memory.Body, func() { *evicted++ })
	h.Grow(at, size)
	return h
}

func TestRoom(t *testing.T) {
	start := time.Unix(1, 0)
	for _, c := range []struct {
		name    string
		held    int64 // by another holding
		stalled time.Duration
		size    int64
		fits    bool
		evicted int
	}{
		{"room for both", limit / 2, time.Hour, limit / 4, true, 0},
		{"the reserve isn't for large ones", limit / 2, 0, limit/2 - 1, false, 0},
		{"the reserve is for small ones", limit * 7 / 8, 0, memory.SmallSize, true, 0},
		{"the other one makes progress", limit / 2, memory.StallTime - 1, limit / 2, false, 0},
		{"the other one makes none", limit / 2, memory.StallTime, limit / 2, true, 1},
		{"over the limit, alone", 0, 0, 2 * limit, true, 0},
		{"small beyond the limit", 3 * limit, 0, memory.FreeSize, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b memory.Budget
			b.SetLimit(limit)
			evicted := 0
			if c.held > 0 {
				open(&b, start, c.held, &evicted)
			}
			h := b.Open(start, memory.Body, nil)
			require.Equal(t, c.fits, h.Grow(start.Add(c.stalled), c.size))
			require.Equal(t, c.evicted, evicted)
			require.Equal(t, !c.fits || c.evicted > 0, b.Usage().Shortages() > 0)
		})
	}
}

func TestLongestWithoutProgressThenLargestLoses(t *testing.T) {
	start := time.Unix(1, 0)
	var b memory.Budget
	b.SetLimit(limit)
	var older, small, large, settled int
	open(&b, start.Add(2*memory.StallTime), limit/8, &older)
	open(&b, start.Add(3*memory.StallTime), limit/8, &small)
	open(&b, start.Add(3*memory.StallTime), limit/4, &large)
	require.True(t, open(&b, start, limit/4, &settled).Settle())
	now := start.Add(4 * memory.StallTime)
	h := b.Open(now, memory.Body, nil)
	require.True(t, h.Grow(now, limit/4))
	require.Equal(t, []int{1, 0, 0, 0}, []int{older, small, large, settled})
	require.True(t, h.Grow(now, limit/4))
	require.Equal(t, []int{1, 0, 1, 0}, []int{older, small, large, settled})
}

func TestEvictedHoldingsCountUntilClosed(t *testing.T) {
	start := time.Unix(1, 0)
	now := start
	var b memory.Budget
	b.SetLimit(limit)
	evicted := 0
	var first *memory.Holding
	for range 3 {
		h := open(&b, now, limit/2, &evicted)
		open(&b, now, limit/4, &evicted)
		if first == nil {
			first = h
		}
		now = now.Add(memory.StallTime)
	}
	held := b.Usage().Held[memory.Body]
	require.LessOrEqual(t, held, int64(2*limit))
	require.False(t, first.Grow(now, 1))
	require.False(t, first.Settle())
	first.Close()
	first.Close()
	require.Equal(t, held-limit/2, b.Usage().Held[memory.Body])
}

func TestNoBudget(t *testing.T) {
	h := (*memory.Budget)(nil).Open(time.Time{}, memory.Answer, nil)
	defer h.Close()
	require.True(t, h.Grow(time.Time{}, 1<<40))
	require.True(t, h.Settle())
}

package prefix_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/prefix"
)

// prompt returns a call whose prompt has segments of 100 tokens with these ids.
func prompt(adapter string, ids ...uint64) call.Call {
	c := call.Call{Model: "m", Adapter: adapter}
	for _, id := range ids {
		c.Segments = append(c.Segments, call.Segment{ID: id, Tokens: 100})
	}
	return c
}

func TestCachedTokens(t *testing.T) {
	m := &prefix.Cache{MaxTokens: 1000}
	first := prompt("a", 1, 2, 3)
	m.Add(first, prefix.Keys(first))
	for _, c := range []struct {
		name string
		call call.Call
		want int
	}{
		{"same prefix", prompt("a", 1, 2, 9), 200},
		{"different second segment", prompt("a", 1, 7, 9), 100},
		{"different first segment", prompt("a", 8, 2, 9), 0},
		{"different adapter", prompt("b", 1, 2, 9), 0},
		{"no shared segment", prompt("a", 1), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, m.CachedTokens(c.call, prefix.Keys(c.call)))
		})
	}
}

func TestEvictsLeastRecentlyUsed(t *testing.T) {
	m := &prefix.Cache{MaxTokens: 200}
	for id := range uint64(3) {
		c := prompt("a", id, 99)
		m.Add(c, prefix.Keys(c))
	}
	oldest, newest := prompt("a", 0, 99), prompt("a", 2, 99)
	require.Zero(t, m.CachedTokens(oldest, prefix.Keys(oldest)))
	require.Equal(t, 100, m.CachedTokens(newest, prefix.Keys(newest)))
}

package prefix_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/prefix"
)

func prompt(adapter string, ids ...uint64) call.Call {
	c := call.Call{Model: "m", Adapter: adapter}
	for _, id := range ids {
		c.Segments = append(c.Segments, call.Segment{ID: id, Tokens: 100})
	}
	return c
}

func TestCached(t *testing.T) {
	m := &prefix.Cache{MaxTokens: 1000}
	first := prompt("a", 1, 2, 3)
	m.Add(first, prefix.Keys(first))
	for _, c := range []struct {
		name  string
		call  call.Call
		wants int
	}{
		{"the same parts", prompt("a", 1, 2, 9), 200},
		{"another second part", prompt("a", 1, 7, 9), 100},
		{"another first part", prompt("a", 8, 2, 9), 0},
		{"another adapter", prompt("b", 1, 2, 9), 0},
		{"only its own part", prompt("a", 1), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.wants, m.CachedTokens(c.call, prefix.Keys(c.call)))
		})
	}
}

func TestForgetsTheOldest(t *testing.T) {
	m := &prefix.Cache{MaxTokens: 200}
	for id := range uint64(3) {
		c := prompt("a", id, 99)
		m.Add(c, prefix.Keys(c))
	}
	oldest, newest := prompt("a", 0, 99), prompt("a", 2, 99)
	require.Zero(t, m.CachedTokens(oldest, prefix.Keys(oldest)))
	require.Equal(t, 100, m.CachedTokens(newest, prefix.Keys(newest)))
}

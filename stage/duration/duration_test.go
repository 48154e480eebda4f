package duration_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/duration"
)

func TestMeans(t *testing.T) {
	var m duration.Means
	require.Zero(t, m.Of("a"))
	m.Add("a", time.Second)
	require.Equal(t, time.Second, m.Of("a"))
	require.Zero(t, m.Of("b"))
	m.Add("a", 9*time.Second)
	require.Equal(t, 2*time.Second, m.Of("a"))
	for range 100 {
		m.Add("a", time.Millisecond)
	}
	require.InDelta(t, time.Millisecond, m.Of("a"), float64(time.Millisecond))
}

package connection_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/connection"
)

func TestCloseIdle(t *testing.T) {
	var table connection.Table
	now := time.Unix(1, 0)
	var closed []connection.State
	for _, state := range []connection.State{connection.Idle, connection.Reading, connection.Writing, connection.Serving} {
		table.Open(now, func() { closed = append(closed, state) }).Set(now, state)
	}
	table.CloseIdle(now.Add(time.Minute-1), time.Minute)
	require.Empty(t, closed)
	table.CloseIdle(now.Add(time.Minute), time.Minute)
	require.Equal(t, []connection.State{connection.Idle}, closed)
	require.Equal(t, 3, table.Usage().Open)
}

func TestLoser(t *testing.T) {
	const serving, idle, reading, writing = connection.Serving, connection.Idle, connection.Reading, connection.Writing
	for _, c := range []struct {
		name   string
		states []connection.State // the longest without progress first
		age    time.Duration      // of the last one
		loser  int                // len(states) is the new one
	}{
		{"idle ones first", []connection.State{writing, reading, idle, idle}, time.Second, 2},
		{"then unfinished requests", []connection.State{serving, writing, reading, reading}, time.Second, 2},
		{"then answers not taken", []connection.State{serving, writing, writing}, time.Second, 1},
		{"idle ones of any age", []connection.State{reading, idle}, 0, 1},
		{"those that have just begun stay", []connection.State{reading, writing}, 0, 2},
		{"those that are served stay", []connection.State{serving, serving}, time.Hour, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table connection.Table
			table.SetLimit(len(c.states))
			now := time.Unix(1, 0)
			var closed []int
			for i, state := range c.states {
				table.Open(now, func() { closed = append(closed, i) }).Set(now, state)
				now = now.Add(time.Millisecond)
			}
			e := table.Open(now.Add(c.age), func() { closed = append(closed, len(c.states)) })
			require.Equal(t, []int{c.loser}, closed)
			require.Equal(t, len(c.states), table.Usage().Open)
			require.EqualValues(t, 1, table.Usage().Shortages())
			e.Close()
		})
	}
}

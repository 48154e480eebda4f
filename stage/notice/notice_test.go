package notice_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/notice"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestLimitOutlastsOtherAnswers guards against a limit that is forgotten because of an
// answer that doesn't speak of limits: one to an order or a report, or a refusal (LIMIT).
func TestLimitOutlastsOtherAnswers(t *testing.T) {
	var s notice.State
	require.True(t, s.Heard(after(10), after(0), notice.Notice{Limit: 2}, notice.Other))
	require.False(t, s.Heard(after(30), after(20), notice.Notice{}, notice.Other))
	require.False(t, s.Unrestricted(after(30)))
	require.True(t, s.Heard(after(50), after(40), notice.Notice{}, notice.Run))
	require.True(t, s.Unrestricted(after(50)))
}

// TestLimitEndsWithALaterRequest checks that an answer without a limit ends the limit
// only if its request was sent after the limit was named.
func TestLimitEndsWithALaterRequest(t *testing.T) {
	var s notice.State
	require.False(t, s.Heard(after(0), after(-10), notice.Notice{}, notice.Run))
	require.True(t, s.Heard(after(10), after(0), notice.Notice{Limit: 2}, notice.Run))
	require.False(t, s.Heard(after(20), after(10), notice.Notice{}, notice.Run))
	require.False(t, s.Unrestricted(after(20)))
	require.False(t, s.Heard(after(30), after(20), notice.Notice{Limit: 2}, notice.Run))
	require.True(t, s.Heard(after(40), after(31), notice.Notice{}, notice.Run))
	require.True(t, s.Unrestricted(after(40)))
}

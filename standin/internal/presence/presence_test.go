package presence_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/presence"
)

func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	l := &presence.List{Lag: time.Second}
	start := time.Unix(0, 0)
	live := presence.Entry{Name: "a", State: "live", Kind: "host"}
	leaving := presence.Entry{Name: "a", State: "leaving", Kind: "host"}
	l.Put(start, live)
	l.Put(start.Add(time.Second), leaving)
	require.Empty(t, l.Entries(start))
	require.Equal(t, []presence.Entry{live}, l.Entries(start.Add(time.Second)))
	require.Equal(t, []presence.Entry{leaving}, l.Entries(start.Add(2*time.Second)))
}

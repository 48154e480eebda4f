package ownership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/answer/answertest"
)

// TestBrokenReplyIsNone checks that an order with a broken answer counts as unanswered, not as
// carried out or refused.
func TestBrokenReplyIsNone(t *testing.T) {
	unanswered := replyTo(t, "", false)
	for _, broken := range answertest.Broken() {
		t.Run(fmt.Sprintf("%q", broken.Name), func(t *testing.T) {
			require.Equal(t, unanswered, replyTo(t, broken.With(""), false))
		})
	}
	require.NotEqual(t, unanswered, replyTo(t, "HTTP/1.1 200 OK\r\n\r\n", false))
}

// TestReplyThatStops cuts the answer to an order after each byte of its head.
func TestReplyThatStops(t *testing.T) {
	unanswered := replyTo(t, "", false)
	for _, head := range answertest.SoundHeads {
		for _, reset := range []bool{false, true} {
			for n := range len(head) {
				require.Equal(t, unanswered, replyTo(t, head[:n], reset), "%q, reset %v", head[:n], reset)
			}
		}
	}
}

package peer_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/quota"
	"jacinthstage/stage/relay"
)

// TestDigestExtra checks that a digest with Extra arrives whole, and that one without has the
// bytes of builds that know none.
func TestDigestExtra(t *testing.T) {
	plain := peer.Digest{Digest: relay.Digest{From: "h", ConfigVersion: 3}}
	full := plain
	full.Extra.Quotas = []quota.Report{{Account: 7}}
	for _, d := range []peer.Digest{plain, full} {
		got, err := peer.Read(bytes.NewReader(frameOf(t, d)))
		require.NoError(t, err)
		require.Equal(t, d, got)
	}
	former, err := cbor.Marshal([]any{plain.Digest})
	require.NoError(t, err)
	require.Equal(t, former, frameOf(t, plain)[5:])
}

package direct_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/mirror"
)

// TestReadersWithoutStore checks that hosts which the store refuses learn of changes while those that
// read it for them are refused as well, from a host that reads for itself.
func TestReadersWithoutStore(t *testing.T) {
	all := startHosts(t, 20)
	for _, h := range all {
		h.copy.Update(mirror.Page{Revision: 1, Full: true}, 0, time.Now())
	}
	var reading *testHost
	for _, h := range all {
		if info := h.peers.ReaderInfo(); info.ServedByOther && !info.ServesOthers {
			reading = h
		}
	}
	require.NotNil(t, reading)
	require.Eventually(t, func() bool { return time.Now().After(reading.copy.RefreshDue()) }, waitTimeout, 20*time.Millisecond)
	revision := uint64(1)
	learned := func() bool {
		page := mirror.Page{Revision: max(revision, 2), Objects: []mirror.Object{{Name: "a", Revision: 2, Body: []byte("b")}}}
		reading.copy.Update(page, revision, time.Now())
		revision = 2
		for _, h := range all {
			if h.object("a") == "" {
				return false
			}
		}
		return true
	}
	require.Eventually(t, learned, waitTimeout, 50*time.Millisecond)
}

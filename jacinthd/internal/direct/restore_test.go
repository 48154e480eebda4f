package direct_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/host"
	"jacinthstage/stage/mirror"
	"jacinthstage/stage/store"
)

const configKind = "config"

// followConfig lets a host follow the configuration, and lists it as the store holds it.
func (h *testHost) followConfig(revision uint64, version string) *mirror.Copy {
	number := func(o mirror.Object) uint64 {
		n, _ := strconv.ParseUint(string(o.Body), 10, 64)
		return n
	}
	copied := h.copies.OpenOrdered(configKind, number, func(p mirror.Page) {
		for _, o := range p.Objects {
			h.dispatcher.Apply(time.Now(), catalog.ConfigUpdated{Config: catalog.NewConfig(number(o), nil, nil, catalog.Limits{})})
		}
	})
	copied.Update(configPage(revision, version), 0, time.Now())
	return copied
}

func configPage(revision uint64, version string) mirror.Page {
	return mirror.Page{Revision: revision, Full: true, Objects: []mirror.Object{{Name: "main", Revision: revision, Body: []byte(version)}}}
}

// TestStartingHostAsksForNewerConfig guards against a host that starts after a restore and waits
// until others have noticed that it is there.
func TestStartingHostAsksForNewerConfig(t *testing.T) {
	all := startHosts(t, 2)
	all[0].followConfig(store.Revision(1, 100), "7")
	started := startHost(t, "host-2")
	started.peers.Era = func() uint64 { return 2 }
	started.followConfig(store.Revision(2, 90), "6")
	// Only the starting host knows the others.
	started.peers.SetMembers([]host.Identity{all[0].identity, all[1].identity, started.identity})
	require.Eventually(t, func() bool { return started.dispatcher.Config().Version == 7 }, time.Second, 10*time.Millisecond)
}

// TestHostThatStartsInRestoreTakesNewerConfig guards against a host that starts while the
// store holds an older configuration, since it has come back from a copy: it must not serve by
// that while the other hosts hold a newer one, and none of these goes back.
func TestHostThatStartsInRestoreTakesNewerConfig(t *testing.T) {
	all := startHosts(t, 3)
	for _, h := range all[:2] {
		copied := h.followConfig(store.Revision(1, 100), "7")
		copied.Update(configPage(store.Revision(2, 90), "6"), 0, time.Now())
	}
	started := all[2]
	started.followConfig(store.Revision(2, 90), "6")
	require.Eventually(t, func() bool { return started.dispatcher.Config().Version == 7 }, waitTimeout, 10*time.Millisecond)
	for _, h := range all {
		require.EqualValues(t, 7, h.dispatcher.Config().Version)
	}
}

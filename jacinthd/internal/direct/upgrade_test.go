package direct_test

import (
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"jacinthstage/jacinthd/internal/metrics"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/internal/peers"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/host"
	"jacinthstage/stage/mirror"
)

// knowsNoProxies lets some hosts refuse requests of others as a call that they don't know, as
// builds before 0c2534b do.
func knowsNoProxies(first, end int) func(i int, h *testHost) {
	return func(i int, h *testHost) {
		if i >= first && i < end {
			h.peers.Proxy = nil
		}
	}
}

// TestEarlierBuildIsRecognized checks that a host of the first version of the protocol is asked
// whether it knows requests of others, and that the builds of hosts are counted.
func TestEarlierBuildIsRecognized(t *testing.T) {
	hosts := startHostsWith(t, 2, knowsNoProxies(1, 2))
	identity, err := peer.EphemeralOf("asker", "b")
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	core, logs := observer.New(zapcore.WarnLevel)
	registry := prometheus.NewRegistry()
	suspects := newSuspects()
	suspects.Metrics = metrics.New(registry)
	link := &peer.Link{Identity: identity, Conn: socket}
	t.Cleanup(func() { _ = link.Close() })
	p := &peers.Group{
		Self: "asker", Zone: "z", Regions: map[string]string{"z": "r"}, Dispatcher: &dispatch.Dispatcher{Zone: "z", Regions: map[string]string{"z": "r"}},
		Copies: new(mirror.Set), Suspects: suspects, Link: link, Log: zap.New(core),
	}
	p.SetMembers([]host.Identity{hosts[0].identity, hosts[1].identity})
	first := peer.Version{Protocol: "jacinthstage/1"}
	p.OnVersion("host-0", first)
	p.OnVersion("host-1", first)
	require.Eventually(t, func() bool { return logs.Len() > 0 }, waitTimeout, 10*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, 1, logs.Len())
	require.Equal(t, "host-1", logs.All()[0].ContextMap()["host"])
	n, err := testutil.GatherAndCount(registry, "jacinth_peers")
	require.NoError(t, err)
	require.Equal(t, 1, n)
	p.OnVersion("host-1", peer.Version{Protocol: "jacinthstage/2", Build: "c"})
	n, err = testutil.GatherAndCount(registry, "jacinth_peers")
	require.NoError(t, err)
	require.Equal(t, 2, n)
}

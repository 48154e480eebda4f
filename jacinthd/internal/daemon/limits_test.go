package daemon_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/daemon"
	"jacinthstage/jacinthd/settings"
)

func TestCallerLimits(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		name        string
		settings    settings.Direct
		held        int64
		connections int
	}{
		{"follow the memory", settings.Direct{MemoryLimitMB: 64, Descriptors: 512}, 8 * mb, 192},
		{"memory bears fewer connections", settings.Direct{MemoryLimitMB: 8, Descriptors: 512}, 1 * mb, 64},
		{"memory unknown", settings.Direct{Descriptors: 512}, 32 * mb, 192},
		{"given", settings.Direct{MemoryLimitMB: 64, HeldMB: 3.5, Connections: 7}, 3.5 * mb, 7},
		{"hardly any descriptors", settings.Direct{Descriptors: 1}, 32 * mb, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			held, connections := daemon.CallerLimits(c.settings)
			require.Equal(t, c.held, held)
			require.Equal(t, c.connections, connections)
		})
	}
}

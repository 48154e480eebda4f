package daemon

import "jacinthstage/jacinthd/settings"

// CallerLimits returns the bytes and the connections that callers may take with the settings s.
func CallerLimits(s settings.Direct) (held int64, connections int) {
	l := limitsOf(s)
	return l.held, l.connections
}

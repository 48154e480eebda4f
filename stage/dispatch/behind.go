package dispatch

import "time"

// newerConfigAge is how long the report of a newer configuration by another host counts. Hosts
// repeat theirs many times a second.
const newerConfigAge = 2 * time.Second

// A newerConfig is the report of another host that it has a newer configuration.
type newerConfig struct {
	version uint64
	heardAt time.Time
}

// IsBehind reports whether another host has lately had a newer configuration than this one. What
// this host's configuration doesn't allow may be allowed by then.
func (d *Dispatcher) IsBehind(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	newer := d.config == nil || d.newerHeard.version > d.config.Version
	return newer && now.Sub(d.newerHeard.heardAt) < newerConfigAge
}

// hearConfig records the version of another host's configuration. One that is older than the newest
// that was heard lately doesn't replace that.
func (d *Dispatcher) hearConfig(now time.Time, version uint64) {
	known := d.newerHeard
	if version < known.version && now.Sub(known.heardAt) < newerConfigAge {
		return
	}
	if d.config == nil || version > d.config.Version {
		d.newerHeard = newerConfig{version: version, heardAt: now}
	}
}

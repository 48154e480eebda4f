// Package boottime is a clock for leases: it goes on while the host is
// suspended and does not jump with the time of day.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's start, as a time after the zero of
// Unix time. It compares only with other times of this clock.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Unix(t.Unix())
}

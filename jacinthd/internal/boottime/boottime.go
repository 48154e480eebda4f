// Package boottime provides the clock for leases. The clock keeps running while the
// host is suspended and isn't affected by changes of the time of day.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted, as an offset from the Unix epoch.
// It can be compared only with other times of this clock.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Unix(t.Unix())
}

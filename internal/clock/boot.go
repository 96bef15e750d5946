package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted. Like the monotonic clock it
// never steps; unlike it, it includes the time during which the machine was
// suspended.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: read CLOCK_BOOTTIME: " + err.Error()) // available since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

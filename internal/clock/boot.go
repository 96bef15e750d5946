package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot reads a clock that never steps and that counts the time during
// which the machine was suspended, which the monotonic clock does not.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot time: " + err.Error()) // exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

package director

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine booted, including time spent suspended: leases must expire while the machine is
// suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists on every supported Linux
	}
	return time.Duration(ts.Nano())
}

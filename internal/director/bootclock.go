package director

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is the time since the machine started, suspension included: leases must expire while the machine is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(ts.Nano())
}

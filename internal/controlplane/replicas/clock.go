package replicas

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started. It includes the time that the machine was
// suspended, during which leases end too.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported Linux has this clock
	}
	return time.Duration(ts.Nano())
}

// newNumber returns a random number for a group, a disk or an incarnation; never 0.
func newNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

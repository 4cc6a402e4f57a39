package replicas

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted. It includes time during which the machine was
// suspended, because leases expire during suspension too.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported Linux version has this clock
	}
	return time.Duration(ts.Nano())
}

// newID returns a random ID for a group, a disk or an incarnation. It is never 0.
func newID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

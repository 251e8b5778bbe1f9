package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// SuspendedTime returns the time for which the machine has been suspended since it booted. The
// monotonic clock, by which leases are measured, stands still meanwhile.
func SuspendedTime() time.Duration {
	var mono, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// A system without these clocks doesn't tell; leases are then measured by the monotonic one.
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

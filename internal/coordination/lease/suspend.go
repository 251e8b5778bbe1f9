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

// processStart is the origin of Elapsed.
var processStart = time.Now()

// Elapsed returns the time on a clock that goes on while the process is frozen or the machine
// suspended. Its origin is the same for the life of the process and has no meaning. The time is
// one between the call's beginning and its end.
func Elapsed() time.Duration {
	// The monotonic clock is read first: a freeze between the two readings then counts once.
	mono := time.Since(processStart)
	return mono + SuspendedTime()
}

package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the system started, including the time for which it was suspended. It never decreases.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return fallback.sinceStart() // The kernel lacks the clock, so every call ends here.
	}
	return time.Duration(t.Nano())
}

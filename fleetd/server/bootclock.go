package server

import (
	"time"

	"golang.org/x/sys/unix"
)

// newBootClock returns a clock that starts at the current time and also counts the time for which the host is suspended. It
// falls back to the monotonic clock if the system has no such clock.
func newBootClock() func() time.Time {
	start, began := time.Now(), bootTime()
	if began == 0 {
		return SteadyClock()
	}
	return func() time.Time { return start.Add(bootTime() - began).Round(0) }
}

// bootTime returns the time since the host was booted, 0 if it is not known.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

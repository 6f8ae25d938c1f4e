package server

import (
	"time"

	"lycheelift.example/lib/timekeeper"
)

// newBootClock returns a clock that starts at the current time and also counts the time for which the host is suspended.
func newBootClock() func() time.Time {
	start, began := time.Now(), timekeeper.SinceBoot()
	return func() time.Time { return start.Add(timekeeper.SinceBoot() - began).Round(0) }
}

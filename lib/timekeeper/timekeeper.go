// Package timekeeper measures durations that include the time for which the system was suspended.
package timekeeper

import (
	"sync"
	"time"
)

// combined measures elapsed time where the system has no clock that counts suspended time. It advances by the larger of
// the advances of the monotonic clock, which stops during suspension, and of the wall clock, which may be set back.
type combined struct {
	mu      sync.Mutex
	now     func() time.Time
	last    time.Time
	elapsed time.Duration
}

// sinceStart returns the time since the first call.
func (c *combined) sinceStart() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.last.IsZero() {
		c.elapsed += max(now.Sub(c.last), now.Round(0).Sub(c.last.Round(0)), 0) // Round(0) drops the monotonic reading.
	}
	c.last = now
	return c.elapsed
}

var fallback = &combined{now: time.Now}

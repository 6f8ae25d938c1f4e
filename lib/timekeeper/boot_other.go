//go:build !linux

package timekeeper

import "time"

// SinceBoot returns the time since its first call, including the time for which the system was suspended as far as the
// wall clock shows it. It never decreases.
func SinceBoot() time.Duration {
	return fallback.sinceStart()
}

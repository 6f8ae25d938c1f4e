// Package repeater runs periodic work until it is cancelled.
package repeater

import (
	"context"
	"time"
)

// Every calls f after each interval until ctx ends. A call that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

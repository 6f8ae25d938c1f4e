// Package tallier reports an entry host's counts of the calls to services with a running rollout to the control hosts.
package tallier

import (
	"context"
	"time"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/repeater"
	"lycheelift.example/lib/roller"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// interval is the time between two reports while an order is running.
	interval = 300 * time.Millisecond
	// timeout bounds the delivery of one report. Counts are cumulative, so a lost report only delays them.
	timeout = 250 * time.Millisecond
)

// Sender delivers counts to a control host.
type Sender interface {
	ReportCounts(ctx context.Context, counts []*peerv1.ServiceCounts) error
	// CloseCounts closes the connection for counts.
	CloseCounts()
}

// Run reports until ctx ends, as long as an order is running. Fresh reports whether this host uses the shares of running
// rollouts.
func Run(ctx context.Context, t *roller.Tally, fresh func(now time.Time) bool, to Sender, clock func() time.Time) {
	open := false
	repeater.Every(ctx, interval, func() {
		now := clock()
		counts := t.Report(fresh(now), now)
		if len(counts) == 0 {
			if open {
				to.CloseCounts()
			}
			open = false
			return
		}
		open = true
		attempt, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if err := to.ReportCounts(attempt, counts); err != nil {
			eventer.CountsFailed.Log(clock(), "counts", len(counts), "error", err.Error())
		}
	})
}

package answerer

import (
	"context"
	"time"

	"lycheelift.example/lib/carrier"
)

// reportTimeout limits the time for which the reply to a lost request waits until other hosts know of the loss. The caller may
// send the request again at once, and each host that does not know of it would run it.
const reportTimeout = 50 * time.Millisecond

// reportSuspect reports whether the leaves that received the request survived it.
func (q *query) reportSuspect(ctx context.Context) {
	now := q.answerer.clock()
	if q.answered {
		q.answerer.suspects.ReportAnswered(q.request, now)
		return
	}
	if q.lostConnections == 0 {
		return
	}
	told := q.answerer.suspects.ReportLost(q.request, now)
	timer := time.NewTimer(min(reportTimeout, q.deadline.Sub(now)))
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// beginTrial limits a suspected request to one leaf of each shard. It returns a function that must be called when the request has
// ended and was reported, or a reply if the request must not run now.
func (q *query) beginTrial(ctx context.Context, now time.Time) (end func(), reply *carrier.Reply) {
	ended, wait := q.answerer.suspects.Begin(ctx, q.request, q.deadline, now)
	switch {
	case wait > 0:
		return nil, &carrier.Reply{Outcome: carrier.Refused, RetryAfter: wait, Reason: "a request like this one has ended the leaves that ran it, and another one is being tried"}
	case ended == nil:
		return func() {}, nil
	}
	single := *q.route
	single.Attempts = 1
	q.route = &single
	return func() { ended(q.answerer.clock()) }, nil
}

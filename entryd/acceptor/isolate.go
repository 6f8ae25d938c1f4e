package acceptor

import (
	"context"
	"time"

	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/quarantiner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// enter decides whether the request runs normally, as a canary, alone on its leaf, or not at all.
func (q *activeQuery) enter(ctx context.Context, now time.Time) *refusal {
	if q.acceptor.isolate == nil {
		q.ticket = quarantiner.Ticket{Verdict: quarantiner.Free}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, q.request.deadline.Add(-planner.HopMargin).Sub(now))
	defer cancel()
	q.ticket = q.acceptor.isolate.Enter(ctx, q.fingerprint, q.request.policy.Canary && q.request.key == "")
	switch q.ticket.Verdict {
	case quarantiner.Blocked:
		return notRun(callerv1.Reason_REASON_QUARANTINED, "the request crashed backend servers and is blocked")
	case quarantiner.Wait:
		return notRun(callerv1.Reason_REASON_DEADLINE, "the deadline passed while a canary of the same request ran")
	case quarantiner.Free, quarantiner.Canary, quarantiner.Alone:
	}
	return nil
}

// leave unblocks the requests that wait for this one's canary.
func (q *activeQuery) leave() {
	if q.acceptor.isolate != nil {
		q.acceptor.isolate.Leave(q.fingerprint, q.ticket)
	}
}

// reportCleared records that the canary was answered.
func (q *activeQuery) reportCleared() {
	if q.acceptor.isolate == nil {
		return
	}
	q.acceptor.isolate.Cleared(q.fingerprint)
	q.leave()
}

// reportCrash reports the request to all hosts. The planner delays the reply until the report has ended.
func (q *activeQuery) reportCrash(c *planner.Call) {
	done := func() {
		select {
		case q.reported <- struct{}{}:
		case <-q.ended:
		}
	}
	if q.acceptor.isolate == nil {
		go done()
		return
	}
	q.acceptor.isolate.Crashed(q.fingerprint, c, done)
}

package acceptor

import (
	"context"
	"time"

	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/quarantiner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// enter decides whether the request runs as usual, as a canary, alone, or not at all.
func (q *running) enter(ctx context.Context, now time.Time) *refusal {
	if q.accept.isolate == nil {
		q.ticket = quarantiner.Ticket{Verdict: quarantiner.Free}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, q.ask.deadline.Add(-planner.Hop).Sub(now))
	defer cancel()
	q.ticket = q.accept.isolate.Enter(ctx, q.fingerprint, q.ask.policy.Canary && q.ask.key == "")
	switch q.ticket.Verdict {
	case quarantiner.Blocked:
		return notRun(callerv1.Reason_REASON_QUARANTINED, "the request crashed backend servers and is blocked")
	case quarantiner.Wait:
		return notRun(callerv1.Reason_REASON_DEADLINE, "the deadline passed while a canary of the same request ran")
	case quarantiner.Free, quarantiner.Canary, quarantiner.Alone:
	}
	return nil
}

// leave lets the requests that wait for this one's canary go on.
func (q *running) leave() {
	if q.accept.isolate != nil {
		q.accept.isolate.Leave(q.fingerprint, q.ticket)
	}
}

// cleared notes that the canary was answered.
func (q *running) cleared() {
	if q.accept.isolate == nil {
		return
	}
	q.accept.isolate.Cleared(q.fingerprint)
	q.leave()
}

// crashed reports the request to all hosts. The planner waits for the report before it gives the reply.
func (q *running) crashed(c *planner.Call) {
	done := func() {
		select {
		case q.reported <- struct{}{}:
		case <-q.ended:
		}
	}
	if q.accept.isolate == nil {
		go done()
		return
	}
	q.accept.isolate.Crashed(q.fingerprint, c, done)
}

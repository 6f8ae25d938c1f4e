package planner

import (
	"fmt"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// Names of the invariants.
const (
	OneSnapshot  = "one_snapshot"
	CoverageTrue = "coverage_true"
	NotRunTrue   = "not_run_true"
	OneReply     = "one_reply"
	OneAttempt   = "one_attempt"
)

// panicOnViolation is the default handler of invariant violations.
func panicOnViolation(invariant, detail string) {
	panic("planner: " + invariant + ": " + detail)
}

// checkOneAttempt asserts, before a call of a non-idempotent request, that no earlier call of the shard can have reached a
// leaf. The call that it is exclusive with is exempt, because at most one of the two is sent.
func (p *Planner) checkOneAttempt(call *Call) {
	if !p.query.NonIdempotent {
		return
	}
	for n := range p.attempts {
		a := &p.attempts[n]
		exclusive := call.ExclusiveWith != "" && a.call.Attempt == call.ExclusiveWith && a.state == open
		if a.call.Shard == call.Shard && a.reached && !exclusive {
			p.violation(OneAttempt, fmt.Sprintf("shard %d is called again after %s", call.Shard, a.call.Attempt))
		}
	}
}

// checkReply asserts that the reply comes from one snapshot and that its coverage and outcome are true.
func (p *Planner) checkReply(r *Reply) {
	for i := range p.shards {
		if s := &p.shards[i]; s.answered && s.bodySnapshot != r.Snapshot {
			p.violation(OneSnapshot, fmt.Sprintf("shard %d answered from snapshot %d in a reply from %d", i, s.bodySnapshot, r.Snapshot))
		}
	}
	if int(r.Answered) != len(r.Parts) || len(r.Parts)+len(r.Missing) != int(p.snapshot.Shards) {
		p.violation(CoverageTrue, fmt.Sprintf("%d parts and %d missing of %d shards", len(r.Parts), len(r.Missing), p.snapshot.Shards))
	}
	for _, m := range r.Missing {
		if m.Reason == reasonNone {
			p.violation(CoverageTrue, fmt.Sprintf("shard %d is missing without a reason", m.Shard))
		}
	}
	if r.Outcome == callerv1.Outcome_OUTCOME_REFUSED && p.reached() {
		p.violation(NotRunTrue, "a leaf may have received a call of a query refused as not run")
	}
}

// checkOneReply asserts that no reply has been sent before.
func (p *Planner) checkOneReply() {
	if p.replied {
		p.violation(OneReply, "a second reply is sent")
	}
}

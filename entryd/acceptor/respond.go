package acceptor

import (
	"time"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// respond converts the planner's reply to the response or refusal for the caller.
func (r *request) respond(reply *planner.Reply) (*callerv1.QueryResponse, *refusal) {
	coverage := &callerv1.Coverage{Answered: reply.Answered, Total: reply.Total}
	for _, m := range reply.Missing {
		coverage.Missing = append(coverage.Missing, &callerv1.Missing{Shard: m.Shard, Reason: m.Reason})
	}
	if reply.Outcome != callerv1.Outcome_OUTCOME_WHOLE && reply.Outcome != callerv1.Outcome_OUTCOME_PARTIAL {
		return nil, &refusal{
			outcome: reply.Outcome, reason: reply.Reason, text: explain(reply.Reason), wait: retryDelays[reply.Reason], coverage: coverage,
		}
	}
	out := &callerv1.QueryResponse{
		Outcome: reply.Outcome, Coverage: coverage, Snapshot: reply.Snapshot, Parts: make([]*callerv1.Part, len(reply.Parts)),
	}
	parts := make([]callerv1.Part, len(reply.Parts))
	for i, p := range reply.Parts {
		parts[i].Shard = p.Shard
		parts[i].Body = p.Body
		out.Parts[i] = &parts[i]
	}
	return out, nil
}

func explain(reason planner.Reason) string {
	if text, ok := reasonTexts[reason]; ok {
		return text
	}
	return reason.String()
}

// retryDelays holds the delay that is suggested to the caller before a resend.
var retryDelays = map[planner.Reason]time.Duration{
	callerv1.Reason_REASON_STARTING:   cataloguer.Lease,
	callerv1.Reason_REASON_OVERLOADED: overloadRetryDelay,
}

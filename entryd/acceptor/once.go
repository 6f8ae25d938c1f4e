package acceptor

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"lycheelift.example/entryd/submitter"
	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// Submitter runs each request that has an idempotency key at most once.
type Submitter interface {
	Submit(ctx context.Context, r submitter.Request, run submitter.Run) (*callerv1.QueryResponse, *submitter.Refusal)
}

// WithSubmitter sets the submitter of requests that have a key. Without it such requests are refused.
func WithSubmitter(s Submitter) Option {
	return func(a *Acceptor) { a.submit = s }
}

// runOnce answers a request that has a key. Across all hosts, run is called at most once for a key.
func (a *Acceptor) runOnce(ctx context.Context, r *request, run func(context.Context) (*callerv1.QueryResponse, *refusal)) (*callerv1.QueryResponse, *refusal) {
	if a.submit == nil {
		return nil, notRun(callerv1.Reason_REASON_NO_QUORUM, "this host does not run requests with a key")
	}
	var failed *refusal
	out, refused := a.submit.Submit(ctx, submitter.Request{
		Tenant: r.tenant, Key: r.key, Issued: r.issued, Deadline: r.deadline.Add(-planner.HopMargin),
		Fingerprint: xxhash.Sum64String(r.service + "\x00" + string(r.body)),
	}, func(ctx context.Context) (*callerv1.QueryResponse, bool) {
		response, refused := run(ctx)
		if refused == nil {
			return response, false
		}
		failed = refused
		if refused.outcome == callerv1.Outcome_OUTCOME_REFUSED {
			return nil, true
		}
		return &callerv1.QueryResponse{Outcome: refused.outcome, Reason: refused.reason, Coverage: refused.coverage}, false
	})
	switch {
	case failed != nil:
		return nil, failed
	case refused != nil:
		return nil, &refusal{outcome: refused.Outcome, reason: refused.Reason, text: refused.Text}
	case out.GetOutcome() == callerv1.Outcome_OUTCOME_FAILED || out.GetOutcome() == callerv1.Outcome_OUTCOME_UNKNOWN:
		return nil, &refusal{outcome: out.GetOutcome(), reason: out.GetReason(), coverage: out.GetCoverage(), text: "the first run of this key did not succeed"}
	}
	return out, nil
}

package answerer

import (
	"context"
	"time"

	"lycheelift.example/fleetd/acquirer"
	"lycheelift.example/lib/carrier"
)

// QuotaKeeper permits requests of tenants that have a quota.
type QuotaKeeper interface {
	// Acquire permits one request, or says when to retry.
	Acquire(ctx context.Context, tenant string, target time.Duration) acquirer.Permit
	// Release returns the permit of a request that has not run and never will.
	Release(p acquirer.Permit)
}

// WithQuotas sets the keeper of quotas. Without one, no quota is kept.
func WithQuotas(k QuotaKeeper) Option {
	return func(a *Answerer) { a.quotas = k }
}

// acquireToken obtains a token for a request of a tenant with a quota. It returns the reply if there is none. The token covers
// all calls to leaves that are made for the request.
func (q *query) acquireToken(ctx context.Context) *carrier.Reply {
	if q.answerer.quotas == nil || q.tenant == nil || !q.tenant.Limited() {
		return nil
	}
	p := q.answerer.quotas.Acquire(ctx, q.tenant.Name, q.route.Target)
	switch p.Outcome {
	case acquirer.OverQuota:
		return &carrier.Reply{Outcome: carrier.OverQuota, RetryAfter: p.RetryAfter, Reason: "the quota of the tenant is used up"}
	case acquirer.Unavailable:
		return &carrier.Reply{Outcome: carrier.Refused, RetryAfter: p.RetryAfter, Reason: "no coordinator of quotas answers"}
	}
	q.permit = p
	return nil
}

// returnToken returns the token of a request that has not run.
func (q *query) returnToken(reply *carrier.Reply) {
	unrun := reply.Outcome == carrier.Refused || reply.Outcome == carrier.Unauthorized
	if q.permit.Outcome == acquirer.Permitted && unrun {
		q.answerer.quotas.Release(q.permit)
	}
}

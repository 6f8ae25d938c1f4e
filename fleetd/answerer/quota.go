package answerer

import (
	"context"
	"time"

	"lycheelift.example/fleetd/acquirer"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/router"
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
	if reply := quotaReply(p); reply != nil {
		return reply
	}
	q.permit = p
	return nil
}

// quotaReply returns the reply to a request that may not run, nil if it may.
func quotaReply(p acquirer.Permit) *carrier.Reply {
	switch p.Outcome {
	case acquirer.OverQuota:
		return &carrier.Reply{Outcome: carrier.OverQuota, RetryAfter: p.RetryAfter, Reason: "the quota of the tenant is used up"}
	case acquirer.Unavailable:
		return &carrier.Reply{Outcome: carrier.Refused, RetryAfter: p.RetryAfter, Reason: "no coordinator of quotas answers"}
	}
	return nil
}

// returnToken returns the token of a request that has not run.
func (q *query) returnToken(reply *carrier.Reply) {
	unrun := reply.Outcome == carrier.Refused || reply.Outcome == carrier.Unauthorized
	if q.permit.Outcome == acquirer.Permitted && unrun {
		q.answerer.quotas.Release(q.permit)
	}
}

// QuotaInspector provides the state of tenants' quotas without changing it.
type QuotaInspector interface {
	Inspect(tenant string) acquirer.State
}

// PreviewQuota returns the function for Preview.Quota. Whether a tenant without tokens on this host is over its quota is known to
// the coordinator only, so the function returns a reply only if no coordinator can be asked.
func PreviewQuota(i QuotaInspector) func(t *router.Tenant, now time.Time) (QuotaState, *carrier.Reply) {
	return func(t *router.Tenant, now time.Time) (QuotaState, *carrier.Reply) {
		s := i.Inspect(t.Name)
		out := QuotaState{Stock: float64(s.Tokens), Silence: s.Silence}
		if s.Tokens > 0 {
			out.ValidUntil = now.Add(s.Left)
			return out, nil
		}
		if s.Isolated {
			return out, quotaReply(acquirer.Unavailability())
		}
		return out, nil
	}
}

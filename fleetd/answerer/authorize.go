package answerer

import (
	"sync"
	"time"

	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/router"
)

// WithConfirmation sets the function that reports whether the configuration is recent enough to rely on the keys in it.
// Views that are taken after it has returned true must be at least as new as the confirmed one.
func WithConfirmation(confirmed func() bool) Option {
	return func(a *Answerer) { a.confirmed = confirmed }
}

// keyUse identifies the key with which a request was accepted. It is immutable.
type keyUse struct {
	// version is the version of the configuration that accepted the key, tenant the name of its holder, and ordinal its
	// position among the keys of the tenant in that version.
	version uint64
	tenant  string
	ordinal int
	// digest is meaningful only if known is true: a host that gathers a portion may not hold the version.
	digest router.Digest
	known  bool
}

func unauthorized(reason string) *carrier.Reply {
	return &carrier.Reply{Outcome: carrier.Unauthorized, Reason: reason}
}

// authorize checks the request's key and determines its tenant. It returns a reply if the request must not run. The key is
// dropped, so that nothing can log or forward it.
func (q *query) authorize() *carrier.Reply {
	r, table := q.request, q.view.Table
	key := r.Key
	r.Key, r.Tenant = "", ""
	if !table.Document().Authenticated {
		return nil
	}
	r.Withheld = nil
	digest := router.NewDigest(key)
	tenant, ok := table.Holder(digest)
	ok = ok && key != ""
	switch {
	case q.route.Public:
		// An unconfirmed state must not associate the request with a tenant whose key may have been removed.
		if ok && q.confirmed {
			q.tenant, r.Tenant = tenant, tenant.Name
		}
		return nil
	case key == "":
		return unauthorized("the request has no key, but the route needs one")
	case !ok:
		return unauthorized("the configuration does not hold the request's key")
	case !q.confirmed:
		return &carrier.Reply{Outcome: carrier.Refused, RetryAfter: startWait, Reason: "this host cannot confirm that its configuration is current"}
	}
	q.tenant, r.Tenant = tenant, tenant.Name
	q.key = &keyUse{version: table.Version(), tenant: tenant.Name, ordinal: tenant.Ordinal(digest), digest: digest, known: true}
	return nil
}

// adoptTenant determines the tenant and the key of a portion that this host gathers, and drops what must not reach leaves. The
// requester has checked them; the key is known by its position if this host holds the requester's version of the configuration.
func (q *query) adoptTenant(p *Portion) {
	name, table := p.Request.Tenant, q.view.Table
	if len(p.Request.Withheld) > 0 && table.Document().Authenticated {
		// The requester did not know yet that the configuration has tenants. Its other portions may share the request.
		request := *p.Request
		request.Withheld = nil
		q.request = &request
	}
	if name == "" {
		return
	}
	tenant, ok := table.Named(name)
	if ok {
		q.tenant = tenant
	}
	if p.KeyOrdinal == 0 {
		return
	}
	q.key = &keyUse{version: p.Version, tenant: name, ordinal: p.KeyOrdinal}
	if ok && table.Version() == p.Version {
		q.key.digest, q.key.known = tenant.Key(p.KeyOrdinal)
	}
}

// keyRemoved reports whether a newer configuration has removed the key of the request, so that no further call may be sent.
// If the key is not known here, the tenant stands for it. It is safe for concurrent use.
func (q *query) keyRemoved() bool {
	if q.key == nil {
		return false
	}
	table := q.answerer.viewer.View().Table
	if table.Version() <= q.key.version || !table.Document().Authenticated {
		return false
	}
	if q.key.known {
		_, ok := table.Holder(q.key.digest)
		return !ok
	}
	_, ok := table.Named(q.key.tenant)
	return !ok
}

// keyOrdinal returns the position of the request's key among the keys of its tenant, 0 if the request needs no key.
func (q *query) keyOrdinal() int {
	if q.key == nil {
		return 0
	}
	return q.key.ordinal
}

// priority returns the rank of the request: the tenant's if it has one, otherwise the route's. 0 is the highest. The route
// must be known.
func (q *query) priority() int {
	if q.tenant != nil && q.tenant.Priority != nil {
		return *q.tenant.Priority
	}
	return q.route.Priority
}

// unauthorizedInterval is the minimum time between two logs of the numbers of unauthorized requests.
const unauthorizedInterval = 10 * time.Second

// unauthorizedCounts counts unauthorized requests by route. The zero value is ready for use.
type unauthorizedCounts struct {
	mu     sync.Mutex
	counts map[string]int
	logged time.Time
}

func (u *unauthorizedCounts) add(route string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = make(map[string]int)
	}
	u.counts[route]++
}

// log logs the numbers since the last time and resets them, at most once per unauthorizedInterval.
func (u *unauthorizedCounts) log(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.counts) == 0 || now.Sub(u.logged) < unauthorizedInterval {
		return
	}
	for route, count := range u.counts {
		eventer.RequestsUnauthorized.Log(now, "route", route, "count", count)
	}
	u.counts, u.logged = nil, now
}

package quoter

import (
	"errors"
	"math"
	"time"
)

const (
	// contactTimeout is the age up to which the leader's last round with a majority permits grants.
	contactTimeout = 300 * time.Millisecond
	// takeoverDelay is the time after which a new leader grants. A majority has elected it and answers no round of the former
	// leader any more, so the former leader grants for contactTimeout at most; the rest allows for clocks that differ.
	takeoverDelay = contactTimeout + 10*time.Millisecond
	// expiryMargin is the time after the end of their validity at which tokens in stock count as used, if nothing was heard of
	// them: a settlement may still be on its way.
	expiryMargin = time.Second
	// maxAhead bounds the times that rejected requests are given, as long as the quota permits: a caller that is sent away for
	// longer finds room earlier.
	maxAhead = 10 * time.Second
	// stockDivisor bounds the part of the free stock of a tenant that one request gets, so that several hosts have some.
	stockDivisor = 4
)

// ErrNotLeading means that this coordinator may not grant: it does not lead, or may be leading no longer.
var ErrNotLeading = errors.New("this host does not coordinate quotas")

// Coordinator grants tokens. It is not safe for concurrent use.
type Coordinator struct {
	bounds Bounds
	epoch  uint64
	// began is when the epoch began, and opens when its first grants are due.
	began, opens time.Time
	stamp        uint64
	buckets      map[string]*bucket
}

// bucket is the state of one tenant.
type bucket struct {
	plan plan
	// level is the number of tokens at a time. It is below 0 when more tokens in stock were used than the bucket held.
	level float64
	at    time.Time
	// slot is the time that was given last to a rejected request.
	slot time.Time
	// lots are the tokens in stock, by stamp. outstanding is the number of those that the bucket pays for when they are used, and
	// prepaid that of those that it paid for when they were handed out. The latter take room in the bucket, so that
	// what is in it and what was paid for is never more than its capacity.
	lots                 map[uint64]*lot
	outstanding, prepaid int
	// limited is false when the tenant has no quota. removed is when it left the configuration, zero while it is there.
	limited bool
	removed time.Time
}

// lot is the tokens in stock of one response.
type lot struct {
	count   int
	expires time.Time
	prepaid bool
}

// NewCoordinator returns a coordinator without an epoch.
func NewCoordinator(b Bounds) *Coordinator {
	return &Coordinator{bounds: b, buckets: make(map[string]*bucket)}
}

// Lead begins an epoch, unless it is the present one. Its buckets are empty, because what the former leader granted last is
// not known.
func (c *Coordinator) Lead(epoch uint64, now time.Time) {
	if epoch == c.epoch {
		return
	}
	c.epoch, c.began, c.opens, c.stamp = epoch, now, now.Add(takeoverDelay), 0
	clear(c.buckets)
}

// SetLimits sets the quotas of all tenants. Tenants without a quota are listed with a zero limit.
func (c *Coordinator) SetLimits(limits map[string]Limit, now time.Time) {
	for name, b := range c.buckets {
		if _, ok := limits[name]; !ok && b.removed.IsZero() {
			b.removed = now
		}
		if !b.removed.IsZero() && now.Sub(b.removed) > c.bounds.Window+c.bounds.Validity() {
			delete(c.buckets, name)
		}
	}
	for name, l := range limits {
		b, ok := c.buckets[name]
		if !ok {
			// Nothing has been granted to it since the epoch's first grants were due.
			b = &bucket{limited: l.Limited(), lots: make(map[uint64]*lot), at: c.opens}
			c.buckets[name] = b
		}
		c.setLimit(b, l, now)
	}
}

// setLimit sets the quota of one tenant.
func (c *Coordinator) setLimit(b *bucket, l Limit, now time.Time) {
	b.refill(now)
	b.removed = time.Time{}
	if !l.Limited() {
		b.limited, b.plan, b.level = false, plan{}, 0
		return
	}
	if !b.limited {
		b.limited, b.level, b.at = true, 0, now // It was used without a count until now.
	}
	if b.plan = c.bounds.plan(l); b.at.Equal(c.opens) {
		b.refill(now)
	}
	// Tokens in stock beyond the new limit count as used.
	b.level = min(b.level, b.room()) - max(0, float64(b.outstanding)-b.plan.stock)
}

// Acquire answers a request. contact is the sending time of the last round of messages that a majority has answered.
func (c *Coordinator) Acquire(r *Request, contact, now time.Time) (*Response, error) {
	if c.epoch == 0 || now.Before(c.opens) || now.Sub(contact) >= contactTimeout {
		return nil, ErrNotLeading
	}
	// The stamp is the age of the epoch in nanoseconds, and unique.
	c.stamp = max(c.stamp+1, uint64(now.Sub(c.began))) //nolint:gosec // The epoch began before now.
	out := &Response{Epoch: c.epoch, Stamp: c.stamp, Validity: c.bounds.Validity(), Grants: make([]Grant, 0, len(r.Asks))}
	for i := range r.Asks {
		out.Grants = append(out.Grants, c.answer(&r.Asks[i], r.Epoch == c.epoch, now))
	}
	return out, nil
}

// answer answers the part of a request that concerns one tenant. current is true when its settlements are of this epoch.
func (c *Coordinator) answer(a *Ask, current bool, now time.Time) Grant {
	out := Grant{Tenant: a.Tenant}
	b, ok := c.buckets[a.Tenant]
	if !ok || !b.removed.IsZero() {
		out.Unknown = true
		return out
	}
	if !b.limited {
		out.Unlimited = true
		return out
	}
	b.refill(now)
	b.expire(now)
	if current {
		out.Renewed = c.settle(b, a.Settlements, now)
	}
	out.Tokens = min(max(a.Wanted, 0), b.whole())
	b.level -= float64(out.Tokens)
	if denied := a.Wanted - out.Tokens; denied > 0 {
		out.Retry, out.Step = b.nextSlots(denied, now)
		return out
	}
	l := &lot{expires: now.Add(c.bounds.Validity() + expiryMargin)}
	if l.count = c.stockFor(b, a.Stock, now); l.count > 0 {
		b.outstanding += l.count
	} else if l.count = b.prepaidFor(a.Stock); l.count > 0 {
		l.prepaid = true
		b.prepaid += l.count
		b.level -= float64(l.count)
	}
	if out.Stock = l.count; out.Stock > 0 {
		b.lots[c.stamp] = l
	}
	return out
}

// prepaidFor returns how many tokens of those wanted are handed out for the stock against payment: as many as leave the bucket half
// full, so that a burst on another host finds tokens.
func (b *bucket) prepaidFor(wanted int) int {
	free := int(b.level - b.plan.capacity/2) //nolint:mnd // Half.
	if wanted <= 0 || free <= 0 {
		return 0
	}
	return min(wanted, max(1, free/stockDivisor))
}

// room returns the number of tokens that the bucket may hold.
func (b *bucket) room() float64 {
	return b.plan.capacity - float64(b.prepaid)
}

// remove takes tokens out of a lot: used ones, and unused ones that come back.
func (b *bucket) remove(l *lot, used, unused int) {
	l.count -= used + unused
	if l.prepaid {
		b.prepaid -= used + unused
		b.level = min(b.room(), b.level+float64(unused))
		return
	}
	b.level -= float64(used)
	b.outstanding -= used + unused
}

// refill adds the tokens of the time that has passed. Before the first grants of an epoch are due, there are none.
func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.room(), b.level+b.plan.rate*passed.Seconds())
		b.at = now
	}
}

// whole returns the number of whole tokens in the bucket.
func (b *bucket) whole() int {
	const rounding = 1e-9 // A token that is due now must not be lost to rounding.
	return int(math.Floor(max(0, b.level+rounding)))
}

// expire counts tokens in stock as used whose validity has ended without a settlement.
func (b *bucket) expire(now time.Time) {
	for stamp, l := range b.lots {
		if !now.Before(l.expires) {
			b.remove(l, l.count, 0)
			delete(b.lots, stamp)
		}
	}
}

// settle applies settlements. It reports whether all tokens were renewed whose renewal was asked for.
func (c *Coordinator) settle(b *bucket, settlements []Settlement, now time.Time) bool {
	renewable := float64(b.outstanding) <= c.stockLimit(b, now)
	renewed := true
	for _, s := range settlements {
		if age := now.Sub(c.began) - time.Duration(s.Stamp); s.Unrun > 0 && age >= 0 && age <= b.plan.refund { //nolint:gosec // A stamp is an age.
			b.level = min(b.room(), b.level+float64(s.Unrun))
		}
		l, ok := b.lots[s.Stamp]
		if !ok {
			renewed = renewed && !s.Renew
			continue
		}
		used := min(max(s.Used, 0), l.count)
		unused := min(max(s.Unused, 0), l.count-used)
		b.remove(l, used, unused)
		switch {
		case l.count == 0:
			delete(b.lots, s.Stamp)
			renewed = renewed && !s.Renew
		case s.Renew && (renewable || l.prepaid):
			l.expires = now.Add(c.bounds.Validity() + expiryMargin)
		case s.Renew:
			renewed = false
		}
	}
	return renewed
}

// stockLimit returns the number of tokens that may be in stock. It grows over the first window of an epoch, so that all
// leaders within a window together hand out no more than one does; and tokens that were used beyond the bucket's level count.
func (c *Coordinator) stockLimit(b *bucket, now time.Time) float64 {
	grown := min(1, now.Sub(c.opens).Seconds()/c.bounds.Window.Seconds())
	return b.plan.stock*grown + min(0, b.level)
}

// stockFor returns how many tokens of those wanted go into the stock. The bucket pays for them when they are used, so that
// tokens in stock on one host are not missing on another; a tenant whose bucket is empty gets none.
func (c *Coordinator) stockFor(b *bucket, wanted int, now time.Time) int {
	free := int(c.stockLimit(b, now)) - b.outstanding
	if wanted <= 0 || free <= 0 || b.whole() == 0 {
		return 0
	}
	return min(wanted, max(1, free/stockDivisor))
}

// maxStep bounds the time between two tokens that rejected requests are told to wait for.
const maxStep = 24 * time.Hour

// nextSlots returns the time after which a token is expected for the first of some rejected requests, and the time between two
// of them. Each rejected request is given a time of its own, so that callers that return do not come all at once.
func (b *bucket) nextSlots(count int, now time.Time) (retry, step time.Duration) {
	step = time.Duration(min(float64(time.Second)/b.plan.rate, float64(maxStep)))
	earliest := now.Add(max(0, time.Duration((1-b.level)*float64(step))))
	first := b.slot.Add(step)
	if first.Before(earliest) || first.Sub(now) > maxAhead {
		first = earliest
	}
	b.slot = first.Add(time.Duration(count-1) * step)
	return first.Sub(now), step
}

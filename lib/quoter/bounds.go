// Package quoter holds quotas of tenants over all entry hosts. A Coordinator, on the leader of the control group, hands out
// tokens from one bucket for each tenant; a Stock, on each entry host, asks for them and keeps a few. Neither has a clock: every
// call takes the time, by a clock that also counts while the host is suspended.
package quoter

import (
	"math"
	"time"
)

// Limit is the quota of a tenant in requests per second and requests at once, over all hosts.
type Limit struct {
	Rate, Burst float64
}

// Limited reports whether there is a quota.
func (l Limit) Limited() bool {
	return l.Rate > 0 || l.Burst > 0
}

// Bounds say by how much a tenant may exceed its quota: in any Window, (Rate x Window + Burst) x (1 + Over) + Slack requests.
type Bounds struct {
	Window      time.Duration
	Over, Slack float64
}

// defaultWindow is used for deployments whose tenants have quotas and that state no window.
const defaultWindow = 5 * time.Second

// NewBounds returns the bounds of a deployment. A window of 0 stands for one that does not bound quotas; the quotas are then
// kept over defaultWindow without any excess.
func NewBounds(window time.Duration, over, slack float64) Bounds {
	if window <= 0 {
		return Bounds{Window: defaultWindow}
	}
	return Bounds{Window: window, Over: over, Slack: slack}
}

// Excess returns the number of requests by which a tenant may exceed its quota in one window.
func (b Bounds) Excess(l Limit) float64 {
	return b.Over*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

const (
	// UseWithin is how long after the sending of a request for tokens its tokens may be used, other than those for the stock.
	UseWithin = 60 * time.Millisecond
	// stockValidity is how long tokens in stock may be used without renewal. They are renewed so early that at least a second is
	// left of it when the leader is lost, which is the usual duration of an election.
	stockValidity = 2 * time.Second
	// clockError bounds the part by which two clocks differ in rate.
	clockError = 0.002
	// shares is the number of equal parts of the excess. Three are for tokens in stock: one for those that former leaders handed
	// out before the window, one for the leader at its beginning and one for all later ones together. One is for tokens that
	// come back unused.
	shares = 4
	// tolerance is the time by which requests of a tenant that keeps its limit may seem to follow each other too closely: waits
	// differ by up to UseWithin, and the use of tokens in stock is reported after up to backgroundInterval.
	tolerance = UseWithin + backgroundInterval + 40*time.Millisecond
	// toleranceDivisor bounds the part of the excess that is spent on it.
	toleranceDivisor = 2
	// minCapacity is the smallest capacity of a bucket: less than one token would let nothing pass.
	minCapacity = 1
)

// Validity returns how long tokens in stock may be used without renewal.
func (b Bounds) Validity() time.Duration {
	return min(stockValidity, b.Window)
}

// plan divides a quota and its excess among the causes for which it may be exceeded.
type plan struct {
	// rate (tokens per second) and capacity (tokens) are those of the bucket.
	rate, capacity float64
	// stock is the number of tokens that may be in stock on all hosts.
	stock float64
	// refund is the age up to which a token that comes back unused counts again.
	refund time.Duration
}

// plan returns the plan for a quota. A quota without a rate refills once in two windows.
func (b Bounds) plan(l Limit) plan {
	rate, burst := l.Rate, l.Burst
	if rate <= 0 {
		burst /= 2
		rate = burst / b.Window.Seconds()
	}
	// Tokens granted right before a window are used in it, and a fast clock refills the bucket early.
	lag := rate * (UseWithin.Seconds() + clockError*b.Window.Seconds())
	capacity, excess := burst, b.Excess(l)-lag
	if excess < 0 {
		capacity, excess = burst+excess, 0
	}
	if capacity < minCapacity {
		excess = max(0, excess-(minCapacity-capacity))
		capacity = minCapacity
	}
	tolerated := min(rate*tolerance.Seconds(), excess/toleranceDivisor)
	capacity += tolerated
	excess -= tolerated
	share := excess / shares
	refund := time.Duration(math.Min(share/rate, b.Window.Seconds()) * float64(time.Second))
	return plan{rate: rate, capacity: capacity, stock: share, refund: refund}
}

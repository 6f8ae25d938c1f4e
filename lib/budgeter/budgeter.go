// Package budgeter limits the extra calls of each service: hedges and retries use up budget that primary calls earn.
package budgeter

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of extra call.
type Kind int

// Kinds of extra calls.
const (
	Hedge Kind = iota
	Retry
	kindCount
)

const (
	// callUnit is one call. Budgets are in millionths of a call, so that a rate with up to 6 decimals is exact.
	callUnit = 1_000_000
	// maxBalance is the largest budget that can accumulate. It covers the hedges of one query at a fan-out of 990.
	maxBalance = 50 * callUnit
	// stripes is the number of locks over which the services are spread.
	stripes = 16
)

// Rates are the extra calls of each kind that are allowed per primary call.
type Rates [kindCount]float64

// Counts are the calls of a service so far.
type Counts struct {
	Primary uint64
	Spent   [kindCount]uint64
	Denied  [kindCount]uint64
}

// Budgeter holds the budgets of a host's services. It is safe for concurrent use.
type Budgeter struct {
	stripes [stripes]stripe
}

type stripe struct {
	sync.RWMutex
	services map[string]*account
}

// account is the budget of one service. It starts empty, so that extra calls never exceed the rate applied to the
// primary calls made so far.
type account struct {
	sync.Mutex
	balance [kindCount]int64
	counts  Counts
}

// New returns a budgeter with empty budgets.
func New() *Budgeter {
	b := &Budgeter{}
	for i := range b.stripes {
		b.stripes[i].services = make(map[string]*account)
	}
	return b
}

// Earn adds the budget that n primary calls of a service earn. A rate of zero empties the budget.
func (b *Budgeter) Earn(service string, n int, rates Rates) {
	a := b.account(service)
	a.Lock()
	defer a.Unlock()
	a.counts.Primary += uint64(n) //nolint:gosec // A number of calls.
	for k, rate := range rates {
		if rate <= 0 {
			a.balance[k] = 0
			continue
		}
		a.balance[k] = min(maxBalance, a.balance[k]+int64(n)*int64(rate*callUnit+0.5))
	}
}

// Spend takes the budget for one extra call. It reports whether there was enough.
func (b *Budgeter) Spend(service string, kind Kind) bool {
	a := b.account(service)
	a.Lock()
	defer a.Unlock()
	if a.balance[kind] < callUnit {
		a.counts.Denied[kind]++
		return false
	}
	a.balance[kind] -= callUnit
	a.counts.Spent[kind]++
	return true
}

// Counts returns the calls of a service so far.
func (b *Budgeter) Counts(service string) Counts {
	a := b.account(service)
	a.Lock()
	defer a.Unlock()
	return a.counts
}

func (b *Budgeter) account(service string) *account {
	p := &b.stripes[xxhash.Sum64String(service)%stripes]
	p.RLock()
	a, ok := p.services[service]
	p.RUnlock()
	if ok {
		return a
	}
	p.Lock()
	defer p.Unlock()
	if a, ok = p.services[service]; !ok {
		a = &account{}
		p.services[service] = a
	}
	return a
}

// Package budgeter bounds the extra calls of each service: hedges and retries are paid from what primary calls earn.
package budgeter

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Kind is what a budget pays for.
type Kind int

// Kinds of extra calls.
const (
	Hedge Kind = iota
	Retry
	kinds
)

const (
	// unit is one call. Budgets count in millionths of a call, so that a rate of up to 6 decimals is exact.
	unit = 1_000_000
	// most is the largest saving; it covers the hedges of one query at a fan-out of 990.
	most = 50 * unit
	// parts divides the services, so that lookups of different services do not share a lock.
	parts = 16
)

// Rates are the extra calls allowed for each primary call.
type Rates [kinds]float64

// Counts is what a service has used.
type Counts struct {
	Primary uint64
	Spent   [kinds]uint64
	Denied  [kinds]uint64
}

// Budgeter holds the budgets of a host. It is safe for concurrent use.
type Budgeter struct {
	parts [parts]part
}

type part struct {
	sync.RWMutex
	services map[string]*account
}

// account is the budget of one service. It starts empty, so that extra calls never exceed their share of the
// primary calls made so far.
type account struct {
	sync.Mutex
	saved  [kinds]int64
	counts Counts
}

// New returns empty budgets.
func New() *Budgeter {
	b := &Budgeter{}
	for i := range b.parts {
		b.parts[i].services = make(map[string]*account)
	}
	return b
}

// Earn adds what n primary calls of a service earn. A rate of zero empties the budget.
func (b *Budgeter) Earn(service string, n int, rates Rates) {
	a := b.account(service)
	a.Lock()
	defer a.Unlock()
	a.counts.Primary += uint64(n) //nolint:gosec // A number of calls.
	for k, rate := range rates {
		if rate <= 0 {
			a.saved[k] = 0
			continue
		}
		a.saved[k] = min(most, a.saved[k]+int64(n)*int64(rate*unit+0.5))
	}
}

// Spend pays for one extra call. It reports whether the budget covered it.
func (b *Budgeter) Spend(service string, kind Kind) bool {
	a := b.account(service)
	a.Lock()
	defer a.Unlock()
	if a.saved[kind] < unit {
		a.counts.Denied[kind]++
		return false
	}
	a.saved[kind] -= unit
	a.counts.Spent[kind]++
	return true
}

// Counts returns what a service has used so far.
func (b *Budgeter) Counts(service string) Counts {
	a := b.account(service)
	a.Lock()
	defer a.Unlock()
	return a.counts
}

func (b *Budgeter) account(service string) *account {
	p := &b.parts[xxhash.Sum64String(service)%parts]
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

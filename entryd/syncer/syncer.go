// Package syncer publishes this host's catalogue record and synchronizes the records of other hosts.
package syncer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/disseminator"
)

const (
	// publishInterval is the time between two checks of this host's leaves. When a leaf's announcement lease has expired,
	// a check at this interval removes the leaf from the record well within one further lease.
	publishInterval = 200 * time.Millisecond
	// exchangeInterval is the time between two exchanges of digests with a host of another cell.
	exchangeInterval = 2 * time.Second
	// pushInterval is the minimum time between two pushes of a changed record to the other cells.
	pushInterval = time.Second
	// pushRefillInterval and pushBurst limit the rate of pushes of a host whose record keeps changing. Every push reaches
	// every host: without a limit, an overloaded machine whose leaves kept appearing and disappearing caused 302 syncs per
	// second on each of 81 hosts.
	pushRefillInterval = 30 * time.Second
	pushBurst          = 8
	// fetchCells is the maximum number of cells whose records are fetched after one exchange.
	fetchCells = 4
	// markExchangeInterval is the minimum time between two exchanges that are triggered by pushes with unknown marks.
	markExchangeInterval = time.Second
	// syncTimeout bounds one exchange.
	syncTimeout = time.Second
	// homeFetchInterval is the minimum time between two fetches from the same host of this host's own cell.
	homeFetchInterval = 100 * time.Millisecond
	// expireAge is the age at which announcements are dropped.
	expireAge = 30 * cataloguer.Lease
)

// Dialer returns connections to hosts by name.
type Dialer interface {
	Dial(host string) (*grpc.ClientConn, error)
	// Wake reconnects immediately to a host that is known to run, because a message from it has arrived.
	Wake(host string)
}

// Holder reports which leaves this host owns, and the epoch of each lease.
type Holder interface {
	Holds(leaf string, now time.Time) (epoch uint64, ok bool)
}

// Syncer synchronizes catalogue records with other hosts. It is safe for concurrent use.
type Syncer struct {
	self   string
	center string
	table  *cataloguer.Table
	follow *follower.Follower
	dial   Dialer
	holder Holder
	clock  func() time.Time

	mu                  sync.Mutex
	catalogues          *disseminator.Catalogues
	publishedGeneration uint64
	publishedUsable     uint64
	lastPush            time.Time
	pushPending         bool
	withdrawn           bool
	lastHomeFetch       map[string]time.Time
	pushLimiter         *rate.Limiter
	lastMarkExchange    time.Time
}

// New returns a syncer. The live function reports which hosts of this host's cell are live.
func New(self, center string, incarnation uint64, table *cataloguer.Table, follow *follower.Follower, dial Dialer, hold Holder,
	live func(string) bool, clock func() time.Time,
) *Syncer {
	return &Syncer{
		self: self, center: center, table: table, follow: follow, dial: dial, holder: hold, clock: clock,
		catalogues: disseminator.New(self, incarnation, live), lastHomeFetch: make(map[string]time.Time),
		pushLimiter: rate.NewLimiter(rate.Every(pushRefillInterval), pushBurst),
	}
}

// SetCallers sets the published address at which this host accepts announcements. An unspecified address, such as
// 0.0.0.0, is ignored.
func (s *Syncer) SetCallers(address string) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Addr().IsUnspecified() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalogues.SetCallers(address)
}

// OwnerAddress returns the address at which the published owner of a leaf accepts announcements, or "" when it is
// unknown.
func (s *Syncer) OwnerAddress(leaf string) string {
	host, ok := s.table.Owner(leaf)
	if !ok {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalogues.Callers(host)
}

// Reconfigure applies the cells and excluded data centres of a view.
func (s *Syncer) Reconfigure(v *follower.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalogues.SetCells(v.Cells)
	s.table.Exclude(v.Excluded)
}

// Run publishes this host's record and exchanges digests until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.initialSync(ctx) })
	wait.Go(func() {
		runEvery(ctx, publishInterval, func() { s.publish(ctx) })
	})
	wait.Go(func() {
		runEvery(ctx, exchangeInterval, func() { s.exchange(ctx) })
	})
	wait.Wait()
}

// runEvery calls f periodically. A jitter of a quarter of the interval spreads the load of hosts that start together.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	for {
		d := interval - interval/8 + time.Duration(rand.Int64N(int64(interval/4))) //nolint:gosec // Spreading load needs no secure randomness.
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
			f()
		}
	}
}

// initialSync exchanges digests once with one host of every cell, so that a started host knows the leaves within one
// lease. It ends the startup phase early only when every cell has answered or proved unreachable and a host of the own
// cell that is not itself starting has answered: after a restart of a whole data centre, no host there knows its leaves.
func (s *Syncer) initialSync(ctx context.Context) {
	for s.follow.View().Number == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishInterval):
		}
	}
	view := s.follow.View()
	var wait sync.WaitGroup
	var once sync.Once
	ownCellAnswered := false
	for _, c := range view.Cells {
		wait.Go(func() {
			for _, host := range shuffled(c.Hosts) {
				if host == s.self || !s.exchangeWith(ctx, host) {
					continue
				}
				if c.Name == s.ownCellName() {
					once.Do(func() { ownCellAnswered = true })
				}
				return
			}
		})
	}
	wait.Wait()
	if ownCellAnswered {
		s.rebuild()
		s.table.EndStart()
	}
}

func (s *Syncer) ownCellName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalogues.OwnCellName()
}

// Withdraw publishes an empty record and stops publishing. It is called when this host stops and its leaves move to other
// hosts.
func (s *Syncer) Withdraw(ctx context.Context) {
	s.mu.Lock()
	s.withdrawn = true
	s.catalogues.Publish(nil)
	s.pushPending = false
	s.mu.Unlock()
	s.push(ctx)
}

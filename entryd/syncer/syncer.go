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
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/disseminator"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
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

// publish updates this host's record from its leaves, pushes a change and updates the planner's table.
func (s *Syncer) publish(ctx context.Context) {
	now := s.clock()
	s.table.Expire(expireAge, now)
	var leaves []*peerv1.Leaf
	s.mu.Lock()
	withdrawn := s.withdrawn
	s.mu.Unlock()
	if withdrawn {
		s.rebuild()
		return
	}
	for _, l := range s.table.Announced(now) {
		if epoch, ok := s.holder.Holds(l.Name, now); ok && l.Center == s.center {
			leaves = append(leaves, &peerv1.Leaf{Announcement: l.Announcement(), Epoch: epoch})
		}
	}
	s.mu.Lock()
	if !s.withdrawn && s.catalogues.Publish(leaves) {
		s.pushPending = true
	}
	due := s.pushPending && now.Sub(s.lastPush) >= pushInterval && s.pushLimiter.AllowN(now, 1)
	if due {
		s.pushPending, s.lastPush = false, now
	}
	s.mu.Unlock()
	s.rebuild()
	if due {
		go s.push(ctx)
	}
}

// rebuild updates the planner's table with the published leaves when records, or the set of hosts whose records are
// used, have changed.
func (s *Syncer) rebuild() {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	generation, usable := s.catalogues.Generation(), s.catalogues.UsableHash(now)
	if generation == s.publishedGeneration && usable == s.publishedUsable {
		return
	}
	s.publishedGeneration, s.publishedUsable = generation, usable
	s.table.SetPublished(s.catalogues.Leaves(now))
}

// push sends this host's changed record to all hosts of its cell and to one host of every other cell, which relays it to
// its own cell. Digest exchanges repair losses. push returns when every host has answered or timed out.
func (s *Syncer) push(ctx context.Context) {
	s.mu.Lock()
	ownCell := s.catalogues.OwnCellName()
	message := &peerv1.SyncRequest{
		Catalogues: []*peerv1.Catalogue{s.catalogues.Own()}, Complete: ownCell, Marks: s.catalogues.Marks([]string{ownCell}),
	}
	s.mu.Unlock()
	var wait sync.WaitGroup
	for _, c := range s.follow.View().Cells {
		targets := shuffled(c.Hosts)
		wait.Go(func() {
			for _, host := range targets {
				if c.Name == ownCell {
					wait.Go(func() { s.call(ctx, host, message) })
				} else if s.call(ctx, host, message) != nil {
					return
				}
			}
		})
	}
	wait.Wait()
}

// SendRemoval sends the local removal to all hosts of this host's cell and to one host of every other cell of the data
// centre. Probes distribute it to the remaining hosts.
func (s *Syncer) SendRemoval(ctx context.Context) {
	ownCell := s.ownCellName()
	var wait sync.WaitGroup
	for _, c := range s.follow.View().Cells {
		if c.Center != s.center {
			continue
		}
		for _, host := range shuffled(c.Hosts) {
			wait.Go(func() { s.call(ctx, host, &peerv1.SyncRequest{}) })
			if c.Name != ownCell {
				break
			}
		}
	}
	wait.Wait()
}

// relay forwards a push from another cell to the hosts of this cell. It returns when they have answered or timed out, so
// that a host that empties its record before it stops knows when no host sends it calls any more.
func (s *Syncer) relay(ctx context.Context, in *peerv1.SyncRequest) {
	cell, _ := s.follow.View().Cell(s.self)
	message := &peerv1.SyncRequest{Catalogues: in.GetCatalogues(), Complete: in.GetComplete(), Marks: in.GetMarks()}
	var wait sync.WaitGroup
	for _, host := range cell.Hosts {
		wait.Go(func() { s.call(ctx, host, message) })
	}
	wait.Wait()
}

// call sends one sync request to a host and applies the version, age and removal in the response. It returns nil when
// the host did not answer or is this host.
func (s *Syncer) call(ctx context.Context, host string, message *peerv1.SyncRequest) *peerv1.SyncResponse {
	conn, err := s.dial.Dial(host)
	if err != nil || host == s.self {
		return nil
	}
	in := &peerv1.SyncRequest{
		Marks: message.GetMarks(), Digest: message.GetDigest(), Cells: message.GetCells(),
		Catalogues: message.GetCatalogues(), Complete: message.GetComplete(),
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	view := s.follow.View()
	in.Host, in.Version, in.Removal = s.self, view.Number, view.Removal
	out, err := peerv1.NewPeerServiceClient(conn).Sync(ctx, in)
	if err != nil {
		return nil
	}
	s.follow.ApplySyncResponse(out)
	return out
}

// exchange exchanges digests with a random host of a random other cell.
func (s *Syncer) exchange(ctx context.Context) {
	cells := s.follow.View().Cells
	ownCell := s.ownCellName()
	var others []ranker.Cell
	for _, c := range cells {
		if c.Name != ownCell {
			others = append(others, c)
		}
	}
	if len(others) == 0 {
		return
	}
	s.exchangeWith(ctx, shuffled(others[rand.IntN(len(others))].Hosts)[0]) //nolint:gosec // Spreading load needs no secure randomness.
}

// exchangeWith compares digests with a host and fetches the records that differ. It reports whether the host answered and
// is not starting, which means that it knows the leaves of its cell.
func (s *Syncer) exchangeWith(ctx context.Context, host string) bool {
	out := s.call(ctx, host, &peerv1.SyncRequest{Digest: s.digest()})
	if out == nil {
		return false
	}
	s.mu.Lock()
	now := s.clock()
	cells := s.catalogues.Compare(out.GetDigest(), now)
	cells = cells[:min(len(cells), fetchCells)]
	if c, ok := s.follow.View().Cell(host); ok && c.Name == s.catalogues.OwnCellName() {
		cells = append(cells, c.Name)
	}
	marks := s.catalogues.Marks(cells)
	s.mu.Unlock()
	if len(cells) > 0 {
		s.fetch(ctx, host, cells, marks, out.GetDigest())
	}
	return !out.GetDigest().GetStarting()
}

func (s *Syncer) fetch(ctx context.Context, host string, cells []string, marks []*peerv1.Mark, digest *peerv1.Digest) {
	records := s.call(ctx, host, &peerv1.SyncRequest{Cells: cells, Marks: marks})
	if records == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalogues.ApplyAnswer(cells, digest, records.GetMarks(), records.GetCatalogues(), s.clock())
}

func (s *Syncer) digest() *peerv1.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	out := s.catalogues.Digest(now)
	out.Starting = s.table.Starting(now)
	return out
}

// Sync answers a sync request from another host.
func (s *Syncer) Sync(ctx context.Context, in *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	now := s.clock()
	out := &peerv1.SyncResponse{Age: durationpb.New(s.follow.Age(now))}
	s.follow.ApplyRemoval(in.GetRemoval(), now)
	view := s.follow.View()
	if view.Number > in.GetVersion() {
		out.Version = view.Version
	}
	if host, ok := view.Document.Hosts[in.GetHost()]; ok && host.Center == s.center {
		out.Removal = view.Removal
	}
	if in.GetDigest() != nil {
		out.Digest = s.digest()
	}
	if len(in.GetCells()) > 0 {
		s.mu.Lock()
		out.Marks, out.Catalogues = s.catalogues.Answer(in.GetCells(), in.GetMarks())
		s.mu.Unlock()
	}
	if len(in.GetCatalogues()) > 0 {
		s.receivePush(ctx, in, view)
	}
	if _, known := view.Document.Hosts[in.GetHost()]; known {
		s.follow.FetchIfNewer(in.GetHost(), in.GetVersion())
	}
	return out, nil
}

// receivePush handles pushed records. New records from another cell are relayed inside this cell. If the push shows that
// other records of the sender's cell are missing here, they are fetched from the sender.
func (s *Syncer) receivePush(ctx context.Context, in *peerv1.SyncRequest, view *follower.View) {
	s.mu.Lock()
	fresh := false
	for _, c := range in.GetCatalogues() {
		s.dial.Wake(c.GetHost())
		fresh = s.catalogues.Offer(c) || fresh
	}
	ownCell := s.catalogues.OwnCellName()
	now := s.clock()
	known := in.GetComplete() == ownCell || s.catalogues.ApplyMarks(in.GetComplete(), in.GetMarks(), now)
	needExchange := !known && now.Sub(s.lastMarkExchange) >= markExchangeInterval
	if needExchange {
		s.lastMarkExchange = now
	}
	s.mu.Unlock()
	s.rebuild()
	if sender, ok := view.Cell(in.GetHost()); fresh && ok && sender.Name != ownCell {
		s.relay(ctx, in)
	}
	if needExchange {
		go s.exchangeWith(context.WithoutCancel(ctx), in.GetHost())
	}
}

// HomeHash returns the hash of the records of this host's cell.
func (s *Syncer) HomeHash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalogues.OwnCellHash()
}

// FetchHome fetches the records of this host's cell from another host of the cell, in the background. It is called when
// that host's hash differs.
func (s *Syncer) FetchHome(host string) {
	s.mu.Lock()
	now := s.clock()
	name := s.catalogues.OwnCellName()
	if name == "" || now.Sub(s.lastHomeFetch[host]) < homeFetchInterval {
		s.mu.Unlock()
		return
	}
	s.lastHomeFetch[host] = now
	marks := s.catalogues.Marks([]string{name})
	s.mu.Unlock()
	go s.fetch(context.Background(), host, []string{name}, marks, nil)
}

func shuffled(in []string) []string {
	out := make([]string, len(in))
	for i, j := range rand.Perm(len(in)) { //nolint:gosec // Spreading load needs no secure randomness.
		out[i] = in[j]
	}
	return out
}

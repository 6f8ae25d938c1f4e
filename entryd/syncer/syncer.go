// Package syncer publishes this host's catalogue record and keeps the records of other hosts.
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
	// publishInterval is the time between two looks at this host's leaves. With it a leaf is out of the record well
	// within one announcement lease after its last announcement plus one lease.
	publishInterval = 200 * time.Millisecond
	// exchangeInterval is the time between two exchanges of digests with a host of another cell.
	exchangeInterval = 2 * time.Second
	// pushInterval is the least time between two pushes of a changed record to the other cells.
	pushInterval = time.Second
	// pushRefill and pushBurst bound the pushes of a host whose record keeps changing. Every push reaches every host, so
	// that without a bound a machine under overload, where leaves come and go, gave 302 syncs a second and host at 81 hosts.
	pushRefill = 30 * time.Second
	pushBurst  = 8
	// fetchCells bounds the cells whose records are fetched after one exchange.
	fetchCells = 4
	// askInterval is the least time between two exchanges that pushes with unknown marks cause.
	askInterval = time.Second
	// syncTimeout bounds one exchange.
	syncTimeout = time.Second
	// homeInterval is the least time between two exchanges with one host of the own cell.
	homeInterval = 100 * time.Millisecond
	// expireAge is the age at which announcements are dropped.
	expireAge = 30 * cataloguer.Lease
)

// Dialer opens a connection to a host by name.
type Dialer interface {
	Dial(host string) (*grpc.ClientConn, error)
	// Wake connects at once to a host of which something was heard.
	Wake(host string)
}

// Holder says which leaves this host looks after, and under which epoch.
type Holder interface {
	Holds(leaf string, now time.Time) (epoch uint64, ok bool)
}

// Syncer keeps catalogue records. It is safe for concurrent use.
type Syncer struct {
	self   string
	center string
	table  *cataloguer.Table
	follow *follower.Follower
	dial   Dialer
	hold   Holder
	clock  func() time.Time

	mu     sync.Mutex
	book   *disseminator.Book
	built  uint64
	usable uint64
	pushed time.Time
	dirty  bool
	silent bool
	homes  map[string]time.Time
	pushes *rate.Limiter
	asked  time.Time
}

// New returns a syncer. live says which hosts of the own cell are live.
func New(self, center string, incarnation uint64, table *cataloguer.Table, follow *follower.Follower, dial Dialer, hold Holder,
	live func(string) bool, clock func() time.Time,
) *Syncer {
	return &Syncer{
		self: self, center: center, table: table, follow: follow, dial: dial, hold: hold, clock: clock,
		book: disseminator.New(self, incarnation, live), homes: make(map[string]time.Time),
		pushes: rate.NewLimiter(rate.Every(pushRefill), pushBurst),
	}
}

// SetCallers sets the address at which this host takes announcements. An address that is not specific says nothing.
func (s *Syncer) SetCallers(address string) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Addr().IsUnspecified() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.SetCallers(address)
}

// Redirect returns the address at which the published owner of a leaf takes announcements, or nothing.
func (s *Syncer) Redirect(leaf string) string {
	host, ok := s.table.Owner(leaf)
	if !ok {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Callers(host)
}

// Reconfigure takes the cells from a view.
func (s *Syncer) Reconfigure(v *follower.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.SetCells(v.Cells)
	s.table.Exclude(v.Out)
}

// Run publishes and exchanges until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.greet(ctx) })
	wait.Go(func() {
		every(ctx, publishInterval, func() { s.publish(ctx) })
	})
	wait.Go(func() {
		every(ctx, exchangeInterval, func() { s.exchange(ctx) })
	})
	wait.Wait()
}

// every calls f with a jitter of a quarter of the interval, so that hosts that start together spread.
func every(ctx context.Context, interval time.Duration, f func()) {
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

// greet asks one host of every other cell once, so that a started host knows the leaves before one lease has passed.
// It ends the start early only when every cell answered or cannot be reached and some host of the own cell that is
// not starting itself answered, because after a restart of a whole data centre nobody there knows its leaves.
func (s *Syncer) greet(ctx context.Context) {
	for s.follow.View().Number == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishInterval):
		}
	}
	view := s.follow.View()
	var wait sync.WaitGroup
	var home sync.Once
	settled := false
	for _, c := range view.Cells {
		wait.Go(func() {
			for _, host := range shuffled(c.Hosts) {
				if host == s.self || !s.swap(ctx, host) {
					continue
				}
				if c.Name == s.homeName() {
					home.Do(func() { settled = true })
				}
				return
			}
		})
	}
	wait.Wait()
	if settled {
		s.rebuild()
		s.table.Complete()
	}
}

func (s *Syncer) homeName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.HomeName()
}

// Silence makes this host publish nothing: it stops and its leaves go to other hosts.
func (s *Syncer) Silence(ctx context.Context) {
	s.mu.Lock()
	s.silent = true
	s.book.Publish(nil)
	s.dirty = false
	s.mu.Unlock()
	s.push(ctx)
}

// publish looks at this host's leaves, spreads a change and brings the planner's table up to date.
func (s *Syncer) publish(ctx context.Context) {
	now := s.clock()
	s.table.Expire(expireAge, now)
	var leaves []*peerv1.Leaf
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		s.rebuild()
		return
	}
	for _, l := range s.table.Announced(now) {
		if epoch, ok := s.hold.Holds(l.Name, now); ok && l.Center == s.center {
			leaves = append(leaves, &peerv1.Leaf{Announcement: l.Announcement(), Epoch: epoch})
		}
	}
	s.mu.Lock()
	if !s.silent && s.book.Publish(leaves) {
		s.dirty = true
	}
	due := s.dirty && now.Sub(s.pushed) >= pushInterval && s.pushes.AllowN(now, 1)
	if due {
		s.dirty, s.pushed = false, now
	}
	s.mu.Unlock()
	s.rebuild()
	if due {
		go s.push(ctx)
	}
}

// rebuild gives the published leaves to the planner's table when records or the hosts that count have changed.
func (s *Syncer) rebuild() {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	generation, usable := s.book.Generation(), s.book.Usable(now)
	if generation == s.built && usable == s.usable {
		return
	}
	s.built, s.usable = generation, usable
	s.table.SetPublished(s.book.Leaves(now))
}

// push sends this host's changed record to its cell and to one host of every other cell, which passes it to its own
// cell. The digests repair a loss. It returns when every host answered or the time for it passed.
func (s *Syncer) push(ctx context.Context) {
	s.mu.Lock()
	home := s.book.HomeName()
	message := &peerv1.SyncRequest{
		Catalogues: []*peerv1.Catalogue{s.book.Own()}, Complete: home, Marks: s.book.Marks([]string{home}),
	}
	s.mu.Unlock()
	var wait sync.WaitGroup
	for _, c := range s.follow.View().Cells {
		targets := shuffled(c.Hosts)
		wait.Go(func() {
			for _, host := range targets {
				if c.Name == home {
					wait.Go(func() { s.call(ctx, host, message) })
				} else if s.call(ctx, host, message) != nil {
					return
				}
			}
		})
	}
	wait.Wait()
}

// SpreadRemoval tells this host's cell and one host of every other cell of the data centre of the local removal.
// Probes carry it to the other hosts.
func (s *Syncer) SpreadRemoval(ctx context.Context) {
	home := s.homeName()
	var wait sync.WaitGroup
	for _, c := range s.follow.View().Cells {
		if c.Center != s.center {
			continue
		}
		for _, host := range shuffled(c.Hosts) {
			wait.Go(func() { s.call(ctx, host, &peerv1.SyncRequest{}) })
			if c.Name != home {
				break
			}
		}
	}
	wait.Wait()
}

// relay passes a push from another cell to the other hosts of this one. It returns when they have it, so that a host
// that empties its record before it stops knows that nobody sends it calls any more.
func (s *Syncer) relay(ctx context.Context, in *peerv1.SyncRequest) {
	cell, _ := s.follow.View().Cell(s.self)
	message := &peerv1.SyncRequest{Catalogues: in.GetCatalogues(), Complete: in.GetComplete(), Marks: in.GetMarks()}
	var wait sync.WaitGroup
	for _, host := range cell.Hosts {
		wait.Go(func() { s.call(ctx, host, message) })
	}
	wait.Wait()
}

// call sends one sync message and takes version, age and removal of the reply.
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
	s.follow.Synced(out)
	return out
}

// exchange compares digests with a random host of a random other cell.
func (s *Syncer) exchange(ctx context.Context) {
	cells := s.follow.View().Cells
	home := s.homeName()
	var others []ranker.Cell
	for _, c := range cells {
		if c.Name != home {
			others = append(others, c)
		}
	}
	if len(others) == 0 {
		return
	}
	s.swap(ctx, shuffled(others[rand.IntN(len(others))].Hosts)[0]) //nolint:gosec // Spreading load needs no secure randomness.
}

// swap compares digests with a host and fetches the records that differ. It reports whether the host answered and
// knows the leaves of its own cell.
func (s *Syncer) swap(ctx context.Context, host string) bool {
	out := s.call(ctx, host, &peerv1.SyncRequest{Digest: s.digest()})
	if out == nil {
		return false
	}
	s.mu.Lock()
	now := s.clock()
	cells := s.book.Compare(out.GetDigest(), now)
	cells = cells[:min(len(cells), fetchCells)]
	if c, ok := s.follow.View().Cell(host); ok && c.Name == s.book.HomeName() {
		cells = append(cells, c.Name)
	}
	marks := s.book.Marks(cells)
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
	s.book.Take(cells, digest, records.GetMarks(), records.GetCatalogues(), s.clock())
}

func (s *Syncer) digest() *peerv1.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	out := s.book.Digest(now)
	out.Starting = s.table.Starting(now)
	return out
}

// Sync answers another host.
func (s *Syncer) Sync(ctx context.Context, in *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	now := s.clock()
	out := &peerv1.SyncResponse{Age: durationpb.New(s.follow.Age(now))}
	s.follow.Removed(in.GetRemoval(), now)
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
		out.Marks, out.Catalogues = s.book.Answer(in.GetCells(), in.GetMarks())
		s.mu.Unlock()
	}
	if len(in.GetCatalogues()) > 0 {
		s.pushedTo(ctx, in, view)
	}
	if _, known := view.Document.Hosts[in.GetHost()]; known {
		s.follow.Noticed(in.GetHost(), in.GetVersion())
	}
	return out, nil
}

// pushedTo takes a push. One that came from another cell is passed on inside this one; when it shows that other
// records of its cell are missing here, they are fetched from the sender.
func (s *Syncer) pushedTo(ctx context.Context, in *peerv1.SyncRequest, view *follower.View) {
	s.mu.Lock()
	fresh := false
	for _, c := range in.GetCatalogues() {
		s.dial.Wake(c.GetHost())
		fresh = s.book.Offer(c) || fresh
	}
	home := s.book.HomeName()
	now := s.clock()
	known := in.GetComplete() == home || s.book.Complete(in.GetComplete(), in.GetMarks(), now)
	ask := !known && now.Sub(s.asked) >= askInterval
	if ask {
		s.asked = now
	}
	s.mu.Unlock()
	s.rebuild()
	if sender, ok := view.Cell(in.GetHost()); fresh && ok && sender.Name != home {
		s.relay(ctx, in)
	}
	if ask {
		go s.swap(context.WithoutCancel(ctx), in.GetHost())
	}
}

// Home returns the hash of the own cell's records.
func (s *Syncer) Home() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Home()
}

// Differs fetches from a host of the own cell whose records differ.
func (s *Syncer) Differs(host string) {
	s.mu.Lock()
	now := s.clock()
	name := s.book.HomeName()
	if name == "" || now.Sub(s.homes[host]) < homeInterval {
		s.mu.Unlock()
		return
	}
	s.homes[host] = now
	marks := s.book.Marks([]string{name})
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

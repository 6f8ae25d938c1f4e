// Package holder runs the leases of an entry host: it claims the leaves that this host is to own from the cell's
// granters, answers the claims of other hosts, and knows who owns a leaf.
package holder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/leaser"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// tick is the time between two looks at the leases.
	tick = 100 * time.Millisecond
	// requestTimeout bounds one lease request; a late grant would count from before it was sent anyway.
	requestTimeout = 300 * time.Millisecond
	// hintLife is how long another host's statement about an owner is believed.
	hintLife = leaser.Term
	// releaseInterval is the time between two looks at the calls in flight while the host leaves.
	releaseInterval = 5 * time.Millisecond
	// Bounds of a lease request, which any host that can connect may send.
	maxClaims = 1024
	maxName   = 128
)

// Dialer opens a connection to a host by name.
type Dialer interface {
	Dial(host string) (*grpc.ClientConn, error)
}

// Liveness says which hosts are held dead.
type Liveness interface {
	Dead(host string) bool
}

// nobody holds no host dead.
type nobody struct{}

// Dead is always false.
func (nobody) Dead(string) bool { return false }

// Holder is safe for concurrent use.
type Holder struct {
	self        string
	incarnation uint64
	dial        Dialer
	table       *cataloguer.Table
	follow      *follower.Follower
	clock       func() time.Time
	live        Liveness
	active      func(leaf string) int
	changed     func(leaf string)
	wake        chan struct{}

	mu      sync.Mutex
	state   *leaser.Holder
	granter *leaser.Granter
	number  uint64
	seen    bool
	cell    ranker.Cell
	cells   []ranker.Cell
	// mine says of each leaf of the data centre whether it belongs to this host's cell.
	mine map[string]bool

	// leases holds a *leaser.Lease by leaf, for readers that must not wait for the lock.
	leases sync.Map
	hints  sync.Map

	sentBytes, sentRequests atomic.Uint64
}

type hint struct {
	host  string
	until time.Time
}

// Option changes a holder.
type Option func(*Holder)

// WithLiveness sets what says which hosts are dead; without it no host is, and a dead host's leaves stay with it.
func WithLiveness(l Liveness) Option {
	return func(h *Holder) { h.live = l }
}

// WithActive sets what counts the calls in flight on a leaf; a lease is given up only when there are none.
func WithActive(f func(leaf string) int) Option {
	return func(h *Holder) { h.active = f }
}

// WithChanged sets what is told of leaves that this host has won or lost.
func WithChanged(f func(leaf string)) Option {
	return func(h *Holder) { h.changed = f }
}

// New returns the leases of the host named self.
func New(self string, dial Dialer, table *cataloguer.Table, follow *follower.Follower, clock func() time.Time, options ...Option) *Holder {
	now := clock()
	incarnation := uint64(max(now.UnixNano(), 0))
	h := &Holder{
		self: self, incarnation: incarnation, dial: dial, table: table, follow: follow, clock: clock,
		live: nobody{}, active: func(string) int { return 0 }, changed: func(string) {},
		wake:  make(chan struct{}, 1),
		state: leaser.NewHolder(self, incarnation, incarnation), granter: leaser.NewGranter(now),
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Run claims and renews until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		h.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.wake:
		}
	}
}

func (h *Holder) step(ctx context.Context) {
	now := h.clock()
	h.mu.Lock()
	h.configure(now)
	h.followLeaves(now)
	messages := h.state.Tick(now, h.live.Dead)
	messages = append(messages, h.yielded(now)...)
	h.publish(now)
	h.mu.Unlock()
	h.deliver(ctx, messages)
}

// configure follows the configuration.
func (h *Holder) configure(now time.Time) {
	view := h.follow.View()
	if view.Number == h.number && h.seen {
		return
	}
	h.number = view.Number
	h.seen = true
	h.cell = ranker.Cell{}
	h.mine = make(map[string]bool)
	var groups []uint64
	for _, c := range view.Cells {
		if slices.Contains(c.Hosts, h.self) {
			h.cell = c
		}
		if slices.Contains(c.Granters, h.self) {
			groups = append(groups, leaser.Group(c))
		}
	}
	h.cells = view.Cells
	h.granter.Configure(groups, now)
}

// followLeaves follows the announcements. The cell of a leaf is computed once per configuration version.
func (h *Holder) followLeaves(now time.Time) {
	var leaves []string
	for _, l := range h.table.Heard(now) {
		if l.Center != h.cell.Center {
			continue
		}
		mine, known := h.mine[l.Name]
		if !known {
			cell, ok := ranker.Locate(l.Name, l.Center, h.cells)
			mine = ok && cell.Name == h.cell.Name
			h.mine[l.Name] = mine
		}
		if mine {
			leaves = append(leaves, l.Name)
		}
	}
	h.state.Configure(h.cell, leaves)
}

// yielded gives up the leaves that are handed back and have no call in flight.
func (h *Holder) yielded(now time.Time) []leaser.Message {
	var ended []string
	for leaf, lease := range h.state.Held(now) {
		if !lease.Yielding {
			continue
		}
		// Publish first: a call that starts from here on sees that the leaf is yielding.
		h.leases.Store(leaf, &lease)
		if h.active(leaf) == 0 {
			ended = append(ended, leaf)
		}
	}
	if len(ended) == 0 {
		return nil
	}
	slices.Sort(ended)
	out := h.state.Release(ended, now)
	h.publish(now)
	return out
}

// publish makes the leases visible to readers without a lock.
func (h *Holder) publish(now time.Time) {
	held := h.state.Held(now)
	for leaf, lease := range held {
		old, ok := h.leases.Swap(leaf, &lease)
		if !ok {
			eventer.LeaseWon.Log(now, "leaf", leaf, "epoch", lease.Epoch)
			h.notify(leaf)
			continue
		}
		if !old.(*leaser.Lease).Since.Equal(lease.Since) {
			h.notify(leaf)
		}
	}
	h.leases.Range(func(key, value any) bool {
		leaf := key.(string)
		if _, ok := held[leaf]; !ok {
			h.leases.Delete(leaf)
			eventer.LeaseEnded.Log(now, "leaf", leaf, "epoch", value.(*leaser.Lease).Epoch, "released", value.(*leaser.Lease).Yielding)
			h.notify(leaf)
		}
		return true
	})
}

// notify runs without the holder's lock, because the listener asks for leases.
func (h *Holder) notify(leaf string) {
	go h.changed(leaf)
}

func (h *Holder) deliver(ctx context.Context, messages []leaser.Message) {
	byHost := make(map[string][]leaser.Message)
	for _, m := range messages {
		byHost[m.To] = append(byHost[m.To], m)
	}
	for host, list := range byHost {
		go func() {
			for _, m := range list {
				h.exchange(ctx, host, m)
			}
		}()
	}
}

// exchange sends one request and takes its response. Requests to this host itself do not use the network.
func (h *Holder) exchange(ctx context.Context, host string, m leaser.Message) {
	if host == h.self {
		h.mu.Lock()
		now := h.clock()
		h.state.Receive(m, h.granter.Handle(m.Request, now), now)
		h.publish(now)
		h.mu.Unlock()
		return
	}
	conn, err := h.dial.Dial(host)
	if err != nil {
		return
	}
	request := h.encode(m.Request)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	h.sentRequests.Add(1)
	h.sentBytes.Add(uint64(max(sizeOf(request), 0)))
	response, err := peerv1.NewPeerServiceClient(conn).Lease(ctx, request)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.state.Receive(m, decode(response, m.Request.Claims), now)
	h.publish(now)
}

// Lease answers another host's request. It is served under PeerService.
func (h *Holder) Lease(_ context.Context, in *peerv1.LeaseRequest) (*peerv1.LeaseResponse, error) {
	if err := check(in); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.configure(now)
	request := parse(in)
	response := h.granter.Handle(request, now)
	if len(request.Releases) > 0 || request.Leaving {
		h.state.Released(request, now)
		h.nudge()
	}
	if response.Disagrees {
		eventer.LeaseDisagreed.Log(now, "host", in.GetHost(), "version", in.GetVersion(), "own", h.number)
	}
	out := &peerv1.LeaseResponse{Term: durationpb.New(leaser.Term), Version: h.number, Disagrees: response.Disagrees}
	out.All = len(request.Claims) > 0 && slices.Equal(response.Granted, request.Claims)
	if !out.GetAll() {
		out.Granted = encodeClaims(response.Granted)
	}
	for _, d := range response.Denied {
		out.Denied = append(out.Denied, &peerv1.Denial{Leaf: d.Leaf, Holder: d.Holder})
	}
	return out, nil
}

func (h *Holder) nudge() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Held returns the lease on a leaf, if this host holds it at now.
func (h *Holder) Held(leaf string, now time.Time) (leaser.Lease, bool) {
	value, ok := h.leases.Load(leaf)
	if !ok {
		return leaser.Lease{}, false
	}
	lease := value.(*leaser.Lease)
	return *lease, now.Before(lease.Until)
}

// Owner returns the host that owns a leaf of this host's cell, as Resolve does without a publisher.
func (h *Holder) Owner(leaf, center string) (string, bool) {
	return h.Resolve(leaf, center, "")
}

// Resolve returns the host that owns a leaf as far as this host knows: itself, the host that another one has named,
// the host that published the leaf, the host that a granter has named, else the first live host in rendezvous order.
func (h *Holder) Resolve(leaf, center, published string) (string, bool) {
	now := h.clock()
	if _, ok := h.Held(leaf, now); ok {
		return h.self, true
	}
	if value, ok := h.hints.Load(leaf); ok {
		if known := value.(hint); now.Before(known.until) && !h.live.Dead(known.host) {
			return known.host, true
		}
		h.hints.Delete(leaf)
	}
	if published != "" && published != h.self && !h.live.Dead(published) {
		return published, true
	}
	h.mu.Lock()
	owner, ok := h.state.Owner(leaf)
	h.mu.Unlock()
	if ok && owner != h.self && !h.live.Dead(owner) {
		return owner, true
	}
	cell, ok := ranker.Locate(leaf, center, h.follow.View().Cells)
	if !ok {
		return "", false
	}
	order := ranker.Order(leaf, cell.Hosts)
	for _, host := range order {
		if host != h.self && !h.live.Dead(host) {
			return host, true
		}
		if host == h.self {
			return host, true
		}
	}
	return order[0], true
}

// Hint notes the owner that another host has named with REASON_NOT_OWNER.
func (h *Holder) Hint(leaf, host string) {
	if host != "" && host != h.self {
		h.hints.Store(leaf, hint{host: host, until: h.clock().Add(hintLife)})
	}
}

// Release gives up every lease, each when its calls in flight have ended. It returns when none is left or ctx ends;
// leases not given up end with their term.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	h.state.Leave()
	h.publish(h.clock())
	h.mu.Unlock()
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		h.mu.Lock()
		now := h.clock()
		messages := h.yielded(now)
		left := len(h.state.Held(now))
		h.mu.Unlock()
		h.settle(ctx, messages)
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// settle sends releases and waits for the responses, so that the process does not exit before they have arrived.
func (h *Holder) settle(ctx context.Context, messages []leaser.Message) {
	var wait sync.WaitGroup
	for _, m := range messages {
		wait.Add(1)
		go func() {
			defer wait.Done()
			h.exchange(ctx, m.To, m)
		}()
	}
	wait.Wait()
}

// Sent returns the number and size of the requests sent to other hosts, without transport headers.
func (h *Holder) Sent() (requests, bytes uint64) {
	return h.sentRequests.Load(), h.sentBytes.Load()
}

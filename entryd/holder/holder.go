// Package holder manages the leases of an entry host: it claims the leaves that this host should own from the granters of
// the cell, answers the claims of other hosts, and resolves the owner of a leaf.
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
	// stepInterval is the interval at which leases are checked, claimed and renewed.
	stepInterval = 100 * time.Millisecond
	// requestTimeout bounds one lease request. A late grant would be worth little, because its term counts from before the
	// request was sent.
	requestTimeout = 300 * time.Millisecond
	// hintTTL is how long an owner reported by another host is used.
	hintTTL = leaser.Term
	// releaseInterval is the interval at which the calls in flight are checked while the host is leaving.
	releaseInterval = 5 * time.Millisecond
	// maxClaims and maxName, in bytes, limit a lease request, because any host that can connect may send one.
	maxClaims = 1024
	maxName   = 128
)

// Dialer opens a connection to a host by name.
type Dialer interface {
	Dial(host string) (*grpc.ClientConn, error)
}

// Liveness reports which hosts are considered dead.
type Liveness interface {
	Dead(host string) bool
}

// allAlive considers no host dead.
type allAlive struct{}

func (allAlive) Dead(string) bool { return false }

// Holder holds the leases of one host. It is safe for concurrent use.
type Holder struct {
	self        string
	incarnation uint64
	dial        Dialer
	table       *cataloguer.Table
	follow      *follower.Follower
	clock       func() time.Time
	liveness    Liveness
	active      func(leaf string) int
	changed     func(leaf string)
	wake        chan struct{}

	mu         sync.Mutex
	state      *leaser.Holder
	granter    *leaser.Granter
	version    uint64
	configured bool
	cell       ranker.Cell
	cells      []ranker.Cell
	// inCell records for each leaf of the data centre whether it belongs to this host's cell.
	inCell map[string]bool

	// leases maps each leaf to its *leaser.Lease, for readers that must not wait for the lock.
	leases sync.Map
	hints  sync.Map

	sentBytes, sentRequests atomic.Uint64
}

type hint struct {
	host  string
	until time.Time
}

// Option configures a Holder.
type Option func(*Holder)

// WithLiveness sets the source of host liveness. Without it every host is considered alive, and a dead host keeps its
// leaves.
func WithLiveness(l Liveness) Option {
	return func(h *Holder) { h.liveness = l }
}

// WithActiveCalls sets the function that counts the calls in flight on a leaf. A lease is released only when there are none.
func WithActiveCalls(f func(leaf string) int) Option {
	return func(h *Holder) { h.active = f }
}

// WithLeaseListener sets the function that is called with each leaf whose lease this host has acquired or lost.
func WithLeaseListener(f func(leaf string)) Option {
	return func(h *Holder) { h.changed = f }
}

// New returns the holder of the host self.
func New(self string, dial Dialer, table *cataloguer.Table, follow *follower.Follower, clock func() time.Time, options ...Option) *Holder {
	now := clock()
	incarnation := uint64(max(now.UnixNano(), 0))
	h := &Holder{
		self: self, incarnation: incarnation, dial: dial, table: table, follow: follow, clock: clock,
		liveness: allAlive{}, active: func(string) int { return 0 }, changed: func(string) {},
		wake:  make(chan struct{}, 1),
		state: leaser.NewHolder(self, incarnation, incarnation), granter: leaser.NewGranter(now),
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Run claims and renews leases until ctx is done.
func (h *Holder) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
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
	h.updateLeaves(now)
	messages := h.state.Tick(now, h.liveness.Dead)
	messages = append(messages, h.releaseIdle(now)...)
	h.publish(now)
	h.mu.Unlock()
	h.sendAll(ctx, messages)
}

// configure applies the current configuration version, if it has changed.
func (h *Holder) configure(now time.Time) {
	view := h.follow.View()
	if view.Number == h.version && h.configured {
		return
	}
	h.version = view.Number
	h.configured = true
	h.cell = ranker.Cell{}
	h.inCell = make(map[string]bool)
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

// updateLeaves applies the leaf announcements. The cell of a leaf is computed once per configuration version.
func (h *Holder) updateLeaves(now time.Time) {
	var leaves []string
	for _, l := range h.table.Unexpired(now) {
		if l.Center != h.cell.Center {
			continue
		}
		inCell, known := h.inCell[l.Name]
		if !known {
			cell, ok := ranker.Locate(l.Name, l.Center, h.cells)
			inCell = ok && cell.Name == h.cell.Name
			h.inCell[l.Name] = inCell
		}
		if inCell {
			leaves = append(leaves, l.Name)
		}
	}
	h.state.Configure(h.cell, leaves)
}

// releaseIdle releases the leases that are being released and whose leaves have no calls in flight.
func (h *Holder) releaseIdle(now time.Time) []leaser.Message {
	var ended []string
	for leaf, lease := range h.state.Held(now) {
		if !lease.Releasing {
			continue
		}
		// Publish the lease before counting calls: a call that starts after this point sees that the lease is being released.
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
			eventer.LeaseAcquired.Log(now, "leaf", leaf, "epoch", lease.Epoch)
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
			eventer.LeaseEnded.Log(now, "leaf", leaf, "epoch", value.(*leaser.Lease).Epoch, "released", value.(*leaser.Lease).Releasing)
			h.notify(leaf)
		}
		return true
	})
}

// notify runs the listener in a goroutine, without the holder's lock, because the listener reads the leases.
func (h *Holder) notify(leaf string) {
	go h.changed(leaf)
}

func (h *Holder) sendAll(ctx context.Context, messages []leaser.Message) {
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

// exchange sends one request and applies its response. Requests to this host itself do not use the network.
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
	if err := validate(in); err != nil {
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
		h.wakeUp()
	}
	if response.GroupMismatch {
		eventer.LeaseDisagreed.Log(now, "host", in.GetHost(), "version", in.GetVersion(), "own", h.version)
	}
	out := &peerv1.LeaseResponse{Term: durationpb.New(leaser.Term), Version: h.version, Disagrees: response.GroupMismatch}
	out.All = len(request.Claims) > 0 && slices.Equal(response.Granted, request.Claims)
	if !out.GetAll() {
		out.Granted = encodeClaims(response.Granted)
	}
	for _, d := range response.Denied {
		out.Denied = append(out.Denied, &peerv1.Denial{Leaf: d.Leaf, Holder: d.Holder})
	}
	return out, nil
}

func (h *Holder) wakeUp() {
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

// Owner returns the host that owns a leaf, like Resolve without a published owner.
func (h *Holder) Owner(leaf, center string) (string, bool) {
	return h.Resolve(leaf, center, "")
}

// Resolve returns the host that owns a leaf as far as this host knows. In order of preference it is this host, if it
// holds the lease; the owner that another host has reported; the published owner; the owner that a granter has reported;
// and the first live host in rendezvous order.
func (h *Holder) Resolve(leaf, center, published string) (string, bool) {
	now := h.clock()
	if _, ok := h.Held(leaf, now); ok {
		return h.self, true
	}
	if value, ok := h.hints.Load(leaf); ok {
		if known := value.(hint); now.Before(known.until) && !h.liveness.Dead(known.host) {
			return known.host, true
		}
		h.hints.Delete(leaf)
	}
	if published != "" && published != h.self && !h.liveness.Dead(published) {
		return published, true
	}
	h.mu.Lock()
	owner, ok := h.state.Owner(leaf)
	h.mu.Unlock()
	if ok && owner != h.self && !h.liveness.Dead(owner) {
		return owner, true
	}
	cell, ok := ranker.Locate(leaf, center, h.follow.View().Cells)
	if !ok {
		return "", false
	}
	order := ranker.Order(leaf, cell.Hosts)
	for _, host := range order {
		if host != h.self && !h.liveness.Dead(host) {
			return host, true
		}
		if host == h.self {
			return host, true
		}
	}
	return order[0], true
}

// Hint records the owner that another host has reported with REASON_NOT_OWNER.
func (h *Holder) Hint(leaf, host string) {
	if host != "" && host != h.self {
		h.hints.Store(leaf, hint{host: host, until: h.clock().Add(hintTTL)})
	}
}

// Release releases every lease, each when its calls in flight have ended. It returns when no lease remains or ctx is
// done. Leases that are not released expire at the end of their term.
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
		messages := h.releaseIdle(now)
		remaining := len(h.state.Held(now))
		h.mu.Unlock()
		h.exchangeAll(ctx, messages)
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// exchangeAll sends the messages and waits for the responses, so that the process does not exit before the releases have
// arrived.
func (h *Holder) exchangeAll(ctx context.Context, messages []leaser.Message) {
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

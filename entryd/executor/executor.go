// Package executor makes leaf calls on the host that owns the leaf: it checks the lease, admits the call within the
// leaf's limits and allowance, and sends it over a connection that is already open.
package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/leaser"
	"lycheelift.example/lib/limiter"
	"lycheelift.example/lib/repeater"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// stripeCount is the number of locks that the leaves of a host are spread over, so that calls to different leaves rarely
	// contend.
	stripeCount = 16
	// refreshInterval is the interval at which the announcements of owned leaves are checked.
	refreshInterval = 200 * time.Millisecond
)

// Catalogue looks up announced leaves.
type Catalogue interface {
	LastAnnounced(service, leaf string) (*cataloguer.Leaf, bool)
	All(now time.Time) []*cataloguer.Leaf
}

// Leases reports whether this host owns a leaf, and otherwise which host does.
type Leases interface {
	Held(leaf string, now time.Time) (leaser.Lease, bool)
	Owner(leaf, center string) (string, bool)
}

// Executor makes calls to leaves. It is safe for concurrent use.
type Executor struct {
	self     string
	center   string
	leaves   Catalogue
	leases   Leases
	follow   *follower.Follower
	clock    func() time.Time
	scope    tally.Scope
	counters counters
	calls    atomic.Uint64
	stripes  [stripeCount]stripe
}

type stripe struct {
	mu     sync.Mutex
	leaves map[string]*leaf
}

// Option configures an Executor.
type Option func(*Executor)

// WithScope sets the metrics scope. By default no metrics are reported.
func WithScope(s tally.Scope) Option {
	return func(e *Executor) { e.scope = s }
}

// New returns the executor of the host self in the data centre center.
func New(self, center string, leaves Catalogue, follow *follower.Follower, clock func() time.Time, options ...Option) *Executor {
	e := &Executor{self: self, center: center, leaves: leaves, follow: follow, clock: clock, scope: tally.NoopScope}
	for i := range e.stripes {
		e.stripes[i].leaves = make(map[string]*leaf)
	}
	for _, o := range options {
		o(e)
	}
	e.counters = newCounters(e.scope)
	return e
}

// SetLeases sets the leases. They depend on the executor too, so they are set after New and before the first call.
func (e *Executor) SetLeases(l Leases) { e.leases = l }

// Execute makes one call and returns its result. It returns when ctx is done; the slot stays occupied until the leaf
// has ended the call as well.
func (e *Executor) Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult {
	result := &peerv1.CallResult{
		Attempt: call.GetAttempt(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(), Leaf: call.GetLeaf(),
		Version: e.follow.View().Number, Host: e.self,
	}
	info, ok := e.leaves.LastAnnounced(call.GetService(), call.GetLeaf())
	if !ok {
		return e.refuse(result, callerv1.Reason_REASON_NO_REPLICA)
	}
	now := e.clock()
	if reason := e.refusalReason(info, now); reason != callerv1.Reason_REASON_UNSPECIFIED {
		return e.refuse(e.withOwner(result, info, reason), reason)
	}
	l := e.leaf(info)
	p := e.newPendingCall(ctx, call, now)
	if refusal := l.enqueue(p, info, now); refusal != limiter.Admitted {
		return e.refuse(result, callerv1.Reason_REASON_OVERLOADED)
	}
	select {
	case out := <-p.done:
		return e.finish(result, info, out)
	case <-ctx.Done():
	}
	if l.cancel(p) {
		e.counters.expired.Inc(1)
		return e.refuse(result, queueEndReason(ctx))
	}
	// The call has started. A cancelled call is cancelled at the leaf; if the deadline passed, the leaf ends the call by
	// itself.
	if ctx.Err() == context.Canceled {
		p.stop()
	}
	select {
	case out := <-p.done:
		return e.finish(result, info, out)
	default:
	}
	result.Reason = runEndReason(ctx)
	result.Spent = durationpb.New(e.clock().Sub(now))
	return result
}

// queueEndReason returns the reason for a call that ended in the queue.
func queueEndReason(ctx context.Context) callerv1.Reason {
	if ctx.Err() == context.Canceled {
		return callerv1.Reason_REASON_CANCELLED
	}
	return callerv1.Reason_REASON_OVERLOADED
}

// runEndReason returns the reason for a call that ended here while the leaf was still running it.
func runEndReason(ctx context.Context) callerv1.Reason {
	if ctx.Err() == context.Canceled {
		return callerv1.Reason_REASON_CANCELLED
	}
	return callerv1.Reason_REASON_DEADLINE
}

// refusalReason returns why this host may not send a new call to a leaf, or REASON_UNSPECIFIED if it may.
func (e *Executor) refusalReason(info *cataloguer.Leaf, now time.Time) callerv1.Reason {
	if e.follow.View().Document.OutOfService(e.center) {
		return callerv1.Reason_REASON_REMOVED
	}
	lease, held := e.leases.Held(info.Name, now)
	switch {
	case !held || lease.Releasing:
		return callerv1.Reason_REASON_NOT_OWNER
	case info.State == cataloguer.Draining || info.State == cataloguer.Leaving:
		return callerv1.Reason_REASON_DRAINING
	case !info.Live(now):
		return callerv1.Reason_REASON_NO_REPLICA
	default:
		return callerv1.Reason_REASON_UNSPECIFIED
	}
}

// withOwner adds the leaf's owner, as far as this host knows it, to a refusal with REASON_NOT_OWNER.
func (e *Executor) withOwner(r *peerv1.CallResult, info *cataloguer.Leaf, reason callerv1.Reason) *peerv1.CallResult {
	if reason != callerv1.Reason_REASON_NOT_OWNER {
		return r
	}
	if owner, ok := e.leases.Owner(info.Name, info.Center); ok && owner != e.self {
		r.Owner = owner
	}
	return r
}

// refuse marks the result as that of a call that was not sent.
func (e *Executor) refuse(r *peerv1.CallResult, reason callerv1.Reason) *peerv1.CallResult {
	r.Reason = reason
	r.Unsent = true
	e.counters.refused(reason)
	return r
}

// finish fills in the result of a call that was started, or that was refused while it was queued.
func (e *Executor) finish(r *peerv1.CallResult, info *cataloguer.Leaf, out outcome) *peerv1.CallResult {
	if out.unsent {
		return e.refuse(e.withOwner(r, info, out.reason), out.reason)
	}
	r.Body = out.body
	r.Reason = out.reason
	r.Spent = durationpb.New(out.duration)
	return r
}

func (e *Executor) newPendingCall(ctx context.Context, call *peerv1.Call, now time.Time) *pendingCall {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(call.GetTimeout().AsDuration())
	}
	flow := limiter.Flow{Tenant: call.GetTenant(), Service: call.GetService()}
	p := &pendingCall{call: call, done: make(chan outcome, 1)}
	p.slot = limiter.Call{Flow: flow, Weight: e.weight(flow), Deadline: deadline, Exclusive: call.GetAlone()}
	return p
}

func (e *Executor) weight(f limiter.Flow) int {
	if s, ok := e.follow.View().Document.Services[f.Service]; ok {
		if t, ok := s.Tenants[f.Tenant]; ok {
			return t.Weight
		}
	}
	return 1
}

// leaf returns the state of an owned leaf and creates it on first use.
func (e *Executor) leaf(info *cataloguer.Leaf) *leaf {
	s := e.stripe(info.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leaves[info.Name]
	if !ok {
		l = newLeaf(e, info.Name, info.Service)
		s.leaves[info.Name] = l
	}
	return l
}

func (e *Executor) stripe(leaf string) *stripe {
	return &e.stripes[xxhash.Sum64String(leaf)%stripeCount]
}

func (e *Executor) lookup(name string) (*leaf, bool) {
	s := e.stripe(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leaves[name]
	return l, ok
}

// Active returns the number of calls in flight on a leaf. The lease must not be released while there are any.
func (e *Executor) Active(name string) int {
	l, ok := e.lookup(name)
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Active()
}

// LeaseChanged opens connections to a leaf whose lease this host has acquired, and closes those to a leaf whose lease it has
// lost.
func (e *Executor) LeaseChanged(name string) {
	now := e.clock()
	if _, held := e.leases.Held(name, now); !held {
		if l, ok := e.lookup(name); ok {
			l.disconnect()
		}
		return
	}
	for _, info := range e.leaves.All(now) {
		if info.Name == name {
			e.leaf(info).refresh(info, now)
		}
	}
}

// Run applies the announcements of owned leaves until ctx is done, so that connections to a leaf that has moved or
// restarted are open before the next call.
func (e *Executor) Run(ctx context.Context) {
	repeater.Every(ctx, refreshInterval, func() {
		now := e.clock()
		for _, info := range e.leaves.All(now) {
			if _, held := e.leases.Held(info.Name, now); held {
				e.leaf(info).refresh(info, now)
			}
		}
	})
}

// Close closes every connection.
func (e *Executor) Close() {
	e.each(func(l *leaf) { l.disconnect() })
}

func (e *Executor) each(f func(*leaf)) {
	for i := range e.stripes {
		s := &e.stripes[i]
		s.mu.Lock()
		list := make([]*leaf, 0, len(s.leaves))
		for _, l := range s.leaves {
			list = append(list, l)
		}
		s.mu.Unlock()
		for _, l := range list {
			f(l)
		}
	}
}

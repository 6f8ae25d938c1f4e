// Package executor makes leaf calls on the host that owns the leaf: it checks the lease, admits the call under the
// leaf's limits and allowance, and sends it over a connection opened ahead.
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
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// shardCount divides the leaves of a host, so that calls to different leaves do not share a lock.
	shardCount = 16
	// sweepInterval is the time between two looks at the announcements of owned leaves.
	sweepInterval = 200 * time.Millisecond
)

// Catalogue looks up announced leaves.
type Catalogue interface {
	Known(service, leaf string) (*cataloguer.Leaf, bool)
	All(now time.Time) []*cataloguer.Leaf
}

// Leases says whether this host owns a leaf, and who does otherwise.
type Leases interface {
	Held(leaf string, now time.Time) (leaser.Lease, bool)
	Owner(leaf, center string) (string, bool)
}

// Executor calls leaves. It is safe for concurrent use.
type Executor struct {
	self   string
	center string
	leaves Catalogue
	leases Leases
	follow *follower.Follower
	clock  func() time.Time
	scope  tally.Scope
	count  counters
	calls  atomic.Uint64
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	leaves map[string]*leaf
}

// Option changes an executor.
type Option func(*Executor)

// WithScope sets where metrics go; by default nowhere.
func WithScope(s tally.Scope) Option {
	return func(e *Executor) { e.scope = s }
}

// New returns the executor of a host in a data centre.
func New(self, center string, leaves Catalogue, follow *follower.Follower, clock func() time.Time, options ...Option) *Executor {
	e := &Executor{self: self, center: center, leaves: leaves, follow: follow, clock: clock, scope: tally.NoopScope}
	for i := range e.shards {
		e.shards[i].leaves = make(map[string]*leaf)
	}
	for _, o := range options {
		o(e)
	}
	e.count = newCounters(e.scope)
	return e
}

// Bind sets what holds the leases. The two depend on each other, so it is set after New and before the first call.
func (e *Executor) Bind(l Leases) { e.leases = l }

// Execute makes one call and returns its result. It ends when ctx does; the slot stays taken until the leaf has ended
// the call too.
func (e *Executor) Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult {
	result := &peerv1.CallResult{
		Attempt: call.GetAttempt(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(), Leaf: call.GetLeaf(),
		Version: e.follow.View().Number, Host: e.self,
	}
	info, ok := e.leaves.Known(call.GetService(), call.GetLeaf())
	if !ok {
		return e.refuse(result, callerv1.Reason_REASON_NO_REPLICA)
	}
	now := e.clock()
	if reason := e.permit(info, now); reason != callerv1.Reason_REASON_UNSPECIFIED {
		return e.refuse(e.named(result, info, reason), reason)
	}
	l := e.leaf(info)
	t := e.ticket(ctx, call, now)
	if refusal := l.enqueue(t, info, now); refusal != limiter.Admitted {
		return e.refuse(result, callerv1.Reason_REASON_OVERLOADED)
	}
	select {
	case out := <-t.done:
		return e.finish(result, info, out)
	case <-ctx.Done():
	}
	if l.cancel(t) {
		e.count.expired.Inc(1)
		return e.refuse(result, waited(ctx))
	}
	// The call has started. A cancelled call is cancelled at the leaf; one whose deadline passed ends there by itself.
	if ctx.Err() == context.Canceled {
		t.stop()
	}
	select {
	case out := <-t.done:
		return e.finish(result, info, out)
	default:
	}
	result.Reason = ended(ctx)
	result.Spent = durationpb.New(e.clock().Sub(now))
	return result
}

// waited is the reason of a call that ended in the queue.
func waited(ctx context.Context) callerv1.Reason {
	if ctx.Err() == context.Canceled {
		return callerv1.Reason_REASON_CANCELLED
	}
	return callerv1.Reason_REASON_OVERLOADED
}

// ended is the reason of a call that was given up while the leaf ran it.
func ended(ctx context.Context) callerv1.Reason {
	if ctx.Err() == context.Canceled {
		return callerv1.Reason_REASON_CANCELLED
	}
	return callerv1.Reason_REASON_DEADLINE
}

// permit returns the reason why a leaf may get no new call from this host now.
func (e *Executor) permit(info *cataloguer.Leaf, now time.Time) callerv1.Reason {
	if e.follow.View().Document.Out(e.center) {
		return callerv1.Reason_REASON_REMOVED
	}
	lease, held := e.leases.Held(info.Name, now)
	switch {
	case !held || lease.Yielding:
		return callerv1.Reason_REASON_NOT_OWNER
	case info.State == cataloguer.Draining || info.State == cataloguer.Leaving:
		return callerv1.Reason_REASON_DRAINING
	case !info.Live(now):
		return callerv1.Reason_REASON_NO_REPLICA
	default:
		return callerv1.Reason_REASON_UNSPECIFIED
	}
}

// named adds the owner that this host knows to a refusal for lack of the lease.
func (e *Executor) named(r *peerv1.CallResult, info *cataloguer.Leaf, reason callerv1.Reason) *peerv1.CallResult {
	if reason != callerv1.Reason_REASON_NOT_OWNER {
		return r
	}
	if owner, ok := e.leases.Owner(info.Name, info.Center); ok && owner != e.self {
		r.Owner = owner
	}
	return r
}

// refuse ends a call that was sent to no leaf.
func (e *Executor) refuse(r *peerv1.CallResult, reason callerv1.Reason) *peerv1.CallResult {
	r.Reason = reason
	r.Unsent = true
	e.count.refused(reason)
	return r
}

// finish fills in the result of a call that was started, or refused while it waited.
func (e *Executor) finish(r *peerv1.CallResult, info *cataloguer.Leaf, out outcome) *peerv1.CallResult {
	if out.unsent {
		return e.refuse(e.named(r, info, out.reason), out.reason)
	}
	r.Body = out.body
	r.Reason = out.reason
	r.Spent = durationpb.New(out.spent)
	return r
}

func (e *Executor) ticket(ctx context.Context, call *peerv1.Call, now time.Time) *ticket {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(call.GetTimeout().AsDuration())
	}
	flow := limiter.Flow{Tenant: call.GetTenant(), Service: call.GetService()}
	t := &ticket{call: call, done: make(chan outcome, 1)}
	t.slot = limiter.Call{Flow: flow, Weight: e.weight(flow), Deadline: deadline, Alone: call.GetAlone()}
	return t
}

func (e *Executor) weight(f limiter.Flow) int {
	if s, ok := e.follow.View().Document.Services[f.Service]; ok {
		if t, ok := s.Tenants[f.Tenant]; ok {
			return t.Weight
		}
	}
	return 1
}

// leaf returns the state of an owned leaf, made on first use.
func (e *Executor) leaf(info *cataloguer.Leaf) *leaf {
	s := e.shard(info.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leaves[info.Name]
	if !ok {
		l = newLeaf(e, info.Name, info.Service)
		s.leaves[info.Name] = l
	}
	return l
}

func (e *Executor) shard(leaf string) *shard {
	return &e.shards[xxhash.Sum64String(leaf)%shardCount]
}

func (e *Executor) known(name string) (*leaf, bool) {
	s := e.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leaves[name]
	return l, ok
}

// Active returns the calls in flight on a leaf; its lease must not be given up before there are none.
func (e *Executor) Active(name string) int {
	l, ok := e.known(name)
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Active()
}

// Changed opens connections to a leaf that was won and closes those to a leaf that was lost.
func (e *Executor) Changed(name string) {
	now := e.clock()
	if _, held := e.leases.Held(name, now); !held {
		if l, ok := e.known(name); ok {
			l.lose()
		}
		return
	}
	for _, info := range e.leaves.All(now) {
		if info.Name == name {
			e.leaf(info).refresh(info, now)
		}
	}
}

// Run follows the announcements of owned leaves until ctx ends, so that connections to a leaf that has moved or
// restarted are open before the next call.
func (e *Executor) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := e.clock()
		for _, info := range e.leaves.All(now) {
			if _, held := e.leases.Held(info.Name, now); held {
				e.leaf(info).refresh(info, now)
			}
		}
	}
}

// Close closes every connection.
func (e *Executor) Close() {
	e.each(func(l *leaf) { l.lose() })
}

func (e *Executor) each(f func(*leaf)) {
	for i := range e.shards {
		s := &e.shards[i]
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

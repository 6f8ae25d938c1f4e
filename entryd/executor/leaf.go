package executor

import (
	"sync"
	"time"

	"lycheelift.example/entryd/pooler"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/leaser"
	"lycheelift.example/lib/limiter"
	"lycheelift.example/lib/ramper"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// leaf is what the owner keeps of one leaf, under its own lock.
type leaf struct {
	executor *Executor
	name     string
	service  string

	mu      sync.Mutex
	info    *cataloguer.Leaf
	limit   *limiter.Limiter
	ramp    *ramper.Ramper
	pool    *pooler.Pool
	tickets map[*limiter.Call]*ticket
	// since is when the present lease was won.
	since time.Time
	// emptied is the pool's count that the allowance has taken into account.
	emptied uint64
	cold    bool
}

// ticket is one call on its way through the limiter.
type ticket struct {
	call *peerv1.Call
	slot limiter.Call
	done chan outcome

	mu      sync.Mutex
	cancel  func()
	stopped bool
	// concurrent is the number of calls that ran when this one had started, itself included.
	concurrent int
}

// bind sets how the call is cancelled; a call that was stopped before is cancelled at once.
func (t *ticket) bind(cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel = cancel
	if t.stopped {
		cancel()
	}
}

// stop asks the leaf to give the call up.
func (t *ticket) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.cancel != nil {
		t.cancel()
	}
}

func newLeaf(e *Executor, name, service string) *leaf {
	return &leaf{
		executor: e, name: name, service: service, limit: limiter.New(1), ramp: ramper.New(1, e.clock()),
		tickets: make(map[*limiter.Call]*ticket), cold: true,
	}
}

// guard reports whether bytes may be sent to the leaf. The host's own removal does not stop calls in flight.
func (l *leaf) guard() bool {
	_, held := l.executor.leases.Held(l.name, l.executor.clock())
	return held
}

// refresh follows the leaf's announcement and starts what may start.
func (l *leaf) refresh(info *cataloguer.Leaf, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(info, now)
	l.pump(now)
}

// follow takes over slots, connections, state, incarnation and address.
func (l *leaf) follow(info *cataloguer.Leaf, now time.Time) {
	lease, held := l.executor.leases.Held(l.name, now)
	if !held {
		return
	}
	if l.info != nil && (info.Incarnation < l.info.Incarnation || info.Incarnation == l.info.Incarnation && info.Sequence < l.info.Sequence) {
		info = l.info
	}
	slots, connections := l.bounds(info)
	if l.pool != nil && info.Address != l.info.Address {
		l.pool.Close()
		l.pool = nil
	}
	if l.pool == nil {
		l.pool = pooler.New(info.Address, slots, connections, l.guard, l.wake, l.executor.clock)
		l.emptied = 0
	}
	l.pool.Resize(slots, connections)
	l.limit.Resize(slots)
	l.ramp.Resize(slots)
	if l.info == nil || info.Incarnation != l.info.Incarnation || !lease.Since.Equal(l.since) {
		l.ramp.Doubt(now)
	}
	l.ramp.Announce(info.State == cataloguer.Cold, now)
	l.info = info
	l.since = lease.Since
}

// bounds takes the lesser of the announcement and the configuration.
func (l *leaf) bounds(info *cataloguer.Leaf) (slots, connections int) {
	slots, connections = info.Slots, info.Connections
	if s, ok := l.executor.follow.View().Document.Services[l.service]; ok {
		if s.Slots > 0 {
			slots = min(slots, s.Slots)
		}
		if s.Connections > 0 {
			connections = min(connections, s.Connections)
		}
	}
	return slots, connections
}

// wake starts waiting calls after a connection has become available.
func (l *leaf) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pump(l.executor.clock())
}

func (l *leaf) enqueue(t *ticket, info *cataloguer.Leaf, now time.Time) limiter.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(info, now)
	if refusal := l.limit.Enqueue(&t.slot, l.ramp.Allowance(), now); refusal != limiter.Admitted {
		return refusal
	}
	l.tickets[&t.slot] = t
	l.pump(now)
	return limiter.Admitted
}

// cancel removes a call that waits. It reports false when the call has started or was refused.
func (l *leaf) cancel(t *ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.tickets, &t.slot)
	return l.limit.Cancel(&t.slot)
}

// pump starts the calls that the lease, the slots, the allowance and the connections permit. When the leaf may get
// no call any more, those that wait are refused; none of them was sent.
func (l *leaf) pump(now time.Time) {
	if l.pool == nil || l.info == nil {
		return
	}
	if reason := l.executor.permit(l.info, now); reason != callerv1.Reason_REASON_UNSPECIFIED {
		l.refuseWaiting(reason)
		return
	}
	if emptied := l.pool.Stats().Emptied; emptied != l.emptied {
		l.emptied = emptied
		l.ramp.Doubt(now)
	}
	lease, _ := l.executor.leases.Held(l.name, now)
	for l.limit.Waiting() > 0 {
		conn, ok := l.pool.Get()
		if !ok {
			return
		}
		c := l.limit.Start(l.ramp.Allowance())
		if c == nil {
			l.pool.Put(conn, false)
			return
		}
		t := l.tickets[c]
		delete(l.tickets, c)
		t.concurrent = l.limit.Active()
		go l.exchange(t, l.pool, conn, lease)
	}
}

func (l *leaf) refuseWaiting(reason callerv1.Reason) {
	for _, c := range l.limit.Drain() {
		t := l.tickets[c]
		delete(l.tickets, c)
		if t != nil {
			t.done <- outcome{reason: reason, unsent: true}
		}
	}
}

// lose closes the connections, because another host may open its own now.
func (l *leaf) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseWaiting(callerv1.Reason_REASON_NOT_OWNER)
	if l.pool != nil {
		l.pool.Close()
		l.pool = nil
	}
}

// end takes the outcome of a call into account and starts the next.
func (l *leaf) end(t *ticket, pool *pooler.Pool, conn *pooler.Conn, out outcome) {
	now := l.executor.clock()
	pool.Put(conn, out.stuck)
	l.mu.Lock()
	defer l.mu.Unlock()
	spent := out.spent
	if out.unsent || out.verdict != ramper.Good {
		spent = 0
	}
	l.limit.Done(&t.slot, spent)
	before := l.ramp.Allowance()
	l.ramp.Finish(out.verdict, out.spent, t.concurrent, now)
	if after := l.ramp.Allowance(); after < before {
		eventer.LeafCut.Log(now, "leaf", l.name, "allowance", after)
		l.executor.count.cuts.Inc(1)
	}
	if cold := l.ramp.Cold(); cold != l.cold {
		l.cold = cold
		if !cold {
			eventer.LeafWarm.Log(now, "leaf", l.name)
		}
	}
	l.pump(now)
}

// newer reports whether the leaf has announced a later incarnation than the one that the call was sent to.
func (l *leaf) newer(incarnation uint64) bool {
	info, ok := l.executor.leaves.Known(l.service, l.name)
	return ok && info.Incarnation > incarnation
}

// term returns the end of a call: its deadline or the end of the lease, whichever is first.
func term(deadline time.Time, lease leaser.Lease) time.Time {
	if lease.Until.Before(deadline) {
		return lease.Until
	}
	return deadline
}

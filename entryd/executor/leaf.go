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

// leaf is the state that the owner keeps of one leaf.
type leaf struct {
	executor *Executor
	name     string
	service  string

	mu      sync.Mutex
	info    *cataloguer.Leaf
	limit   *limiter.Limiter
	ramp    *ramper.Ramper
	pool    *pooler.Pool
	pending map[*limiter.Call]*pendingCall
	// leaseSince is when the current lease was acquired.
	leaseSince time.Time
	// lastEmptied is the pool's Emptied count at the time of the last check.
	lastEmptied uint64
	cold        bool
}

// pendingCall is a call that is queued in the limiter or running.
type pendingCall struct {
	call *peerv1.Call
	slot limiter.Call
	done chan outcome

	mu      sync.Mutex
	cancel  func()
	stopped bool
	// concurrent is the number of running calls just after this one had started, including itself.
	concurrent int
}

// setCancel sets the function that cancels the running call. If stop was called before, the call is cancelled at once.
func (p *pendingCall) setCancel(cancel func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
	if p.stopped {
		cancel()
	}
}

// stop cancels the call at the leaf.
func (p *pendingCall) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.cancel != nil {
		p.cancel()
	}
}

func newLeaf(e *Executor, name, service string) *leaf {
	return &leaf{
		executor: e, name: name, service: service, limit: limiter.New(1), ramp: ramper.New(1, e.clock()),
		pending: make(map[*limiter.Call]*pendingCall), cold: true,
	}
}

// leaseValid reports whether this host holds the lease and so may send bytes to the leaf. Removal of this host's data
// centre does not stop calls in flight.
func (l *leaf) leaseValid() bool {
	_, held := l.executor.leases.Held(l.name, l.executor.clock())
	return held
}

// refresh applies the leaf's announcement and starts the queued calls that may now run.
func (l *leaf) refresh(info *cataloguer.Leaf, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(info, now)
	l.startWaiting(now)
}

// update applies slots, connections, state, incarnation and address of an announcement.
func (l *leaf) update(info *cataloguer.Leaf, now time.Time) {
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
		l.pool = pooler.New(info.Address, slots, connections, l.leaseValid, l.connectionReady, l.executor.clock)
		l.lastEmptied = 0
	}
	l.pool.Resize(slots, connections)
	l.limit.Resize(slots)
	l.ramp.Resize(slots)
	if l.info == nil || info.Incarnation != l.info.Incarnation || !lease.Since.Equal(l.leaseSince) {
		l.ramp.Reset(now)
	}
	l.ramp.Announce(info.State == cataloguer.Cold, now)
	l.info = info
	l.leaseSince = lease.Since
}

// bounds returns the lower of the announced and the configured limits.
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

// connectionReady starts queued calls after a connection has become available.
func (l *leaf) connectionReady() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startWaiting(l.executor.clock())
}

func (l *leaf) enqueue(p *pendingCall, info *cataloguer.Leaf, now time.Time) limiter.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(info, now)
	if refusal := l.limit.Enqueue(&p.slot, l.ramp.Allowance(), now); refusal != limiter.Admitted {
		return refusal
	}
	l.pending[&p.slot] = p
	l.startWaiting(now)
	return limiter.Admitted
}

// cancel removes a queued call. It returns false if the call has already started or been refused.
func (l *leaf) cancel(p *pendingCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, &p.slot)
	return l.limit.Cancel(&p.slot)
}

// startWaiting starts as many queued calls as the lease, the slots, the allowance and the connections permit. If the leaf
// may not get any calls, all queued calls are refused; none of them was sent.
func (l *leaf) startWaiting(now time.Time) {
	if l.pool == nil || l.info == nil {
		return
	}
	if reason := l.executor.refusalReason(l.info, now); reason != callerv1.Reason_REASON_UNSPECIFIED {
		l.refuseWaiting(reason)
		return
	}
	if emptied := l.pool.Stats().Emptied; emptied != l.lastEmptied {
		l.lastEmptied = emptied
		l.ramp.Reset(now)
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
		p := l.pending[c]
		delete(l.pending, c)
		p.concurrent = l.limit.Active()
		go l.exchange(p, l.pool, conn, lease)
	}
}

func (l *leaf) refuseWaiting(reason callerv1.Reason) {
	for _, c := range l.limit.Drain() {
		p := l.pending[c]
		delete(l.pending, c)
		if p != nil {
			p.done <- outcome{reason: reason, unsent: true}
		}
	}
}

// disconnect refuses the queued calls and closes the connections, because another host may now open its own.
func (l *leaf) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseWaiting(callerv1.Reason_REASON_NOT_OWNER)
	if l.pool != nil {
		l.pool.Close()
		l.pool = nil
	}
}

// end updates the limits with the outcome of a call and starts the next calls.
func (l *leaf) end(p *pendingCall, pool *pooler.Pool, conn *pooler.Conn, out outcome) {
	now := l.executor.clock()
	pool.Put(conn, out.stuck)
	l.mu.Lock()
	defer l.mu.Unlock()
	duration := out.duration
	if out.unsent || out.rampOutcome != ramper.Good {
		duration = 0
	}
	l.limit.Done(&p.slot, duration)
	before := l.ramp.Allowance()
	l.ramp.Finish(out.rampOutcome, out.duration, p.concurrent, now)
	if after := l.ramp.Allowance(); after < before {
		eventer.LeafAllowanceReduced.Log(now, "leaf", l.name, "allowance", after)
		l.executor.counters.cuts.Inc(1)
	}
	if cold := l.ramp.Cold(); cold != l.cold {
		l.cold = cold
		if !cold {
			eventer.LeafAllowanceFull.Log(now, "leaf", l.name)
		}
	}
	l.startWaiting(now)
}

// restarted reports whether the leaf has announced a later incarnation than the given one.
func (l *leaf) restarted(incarnation uint64) bool {
	info, ok := l.executor.leaves.LastAnnounced(l.service, l.name)
	return ok && info.Incarnation > incarnation
}

// callDeadline returns the earlier of the deadline of a call and the end of the lease.
func callDeadline(deadline time.Time, lease leaser.Lease) time.Time {
	if lease.Until.Before(deadline) {
		return lease.Until
	}
	return deadline
}

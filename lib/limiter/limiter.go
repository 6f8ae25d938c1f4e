// Package limiter admits the calls of one leaf: never more at one time than its slots, in an order that is fair
// between tenants, and with an immediate refusal when a call could not end before its deadline.
package limiter

import (
	"container/heap"
	"time"
)

const (
	// maxQueue bounds the calls that wait for one leaf.
	maxQueue = 4096
	// smoothing is the part of a new sample in the mean service time, as a power of two: 1/8.
	smoothing = 8
)

// Refusal says why a call was not admitted; the call was not run.
type Refusal int

// Refusals.
const (
	// Admitted is no refusal.
	Admitted Refusal = iota
	// Late means that the expected wait and service time exceed the deadline.
	Late
	// Full means that too many calls wait.
	Full
)

// Call is one call that waits or runs. Its owner may read it but changes nothing.
type Call struct {
	// Flow is the tenant and service that the call belongs to.
	Flow Flow
	// Weight is the flow's share against other flows, at least 1.
	Weight int
	// Deadline is when the call's answer is of no use any more.
	Deadline time.Time
	// Alone lets the call run only while no other call runs on the leaf.
	Alone bool

	start    float64
	sequence uint64
	index    int
	state    state
}

type state int

const (
	waiting state = iota
	running
	ended
)

// Flow identifies a queue.
type Flow struct {
	Tenant, Service string
}

// Limiter is the admission of one leaf. It is not safe for concurrent use.
type Limiter struct {
	slots    int
	active   int
	alone    bool
	queue    queue
	sequence uint64
	// virtual is the start tag of the call that started last.
	virtual float64
	// finish holds the finish tag of each flow's newest call.
	finish map[Flow]float64
	// mean is the smoothed service time; zero until the first call has ended.
	mean time.Duration
}

// New returns the admission of a leaf with a number of slots.
func New(slots int) *Limiter {
	return &Limiter{slots: max(slots, 1), finish: make(map[Flow]float64)}
}

// Resize changes the number of slots. Calls above a smaller number end before others start.
func (l *Limiter) Resize(slots int) {
	l.slots = max(slots, 1)
}

// Enqueue adds a call to its flow's queue, or refuses it. An idle leaf refuses nothing on account of its service time:
// otherwise a leaf that was once slow would never be measured again.
func (l *Limiter) Enqueue(c *Call, allowance int, now time.Time) Refusal {
	if len(l.queue) >= maxQueue {
		return Full
	}
	weight := float64(max(c.Weight, 1))
	c.start = max(l.virtual, l.finish[c.Flow])
	if !now.Add(l.expect(c.start, allowance)).Before(c.Deadline) {
		return Late
	}
	l.finish[c.Flow] = c.start + 1/weight
	l.sequence++
	c.sequence = l.sequence
	heap.Push(&l.queue, c)
	return Admitted
}

// expect returns the expected wait and service time of a call with a start tag.
func (l *Limiter) expect(start float64, allowance int) time.Duration {
	room := l.room(allowance)
	ahead := 0
	for _, other := range l.queue {
		if other.start <= start {
			ahead++
		}
	}
	busy := l.active + ahead - room + 1
	if busy <= 0 {
		return 0
	}
	return l.mean + l.mean*time.Duration(busy)/time.Duration(room)
}

func (l *Limiter) room(allowance int) int {
	return max(min(l.slots, allowance), 1)
}

// Start returns the next call that may run, or nil. The allowance bounds the calls at one time below the slots.
// Expire is called first: a call whose deadline has passed must not start.
func (l *Limiter) Start(allowance int) *Call {
	if len(l.queue) == 0 || l.alone || l.active >= min(l.slots, allowance) {
		return nil
	}
	c := l.queue[0]
	if c.Alone && l.active > 0 {
		return nil
	}
	heap.Pop(&l.queue)
	c.state = running
	l.active++
	l.alone = c.Alone
	l.virtual = c.start
	l.forget()
	return c
}

// forget drops the tags of flows that are not ahead of the virtual time; they would start there anyway.
func (l *Limiter) forget() {
	if len(l.queue) > 0 {
		return
	}
	for flow, finish := range l.finish {
		if finish <= l.virtual {
			delete(l.finish, flow)
		}
	}
}

// Done ends a running call. Spent is the time that the leaf took; zero leaves the mean unchanged.
func (l *Limiter) Done(c *Call, spent time.Duration) {
	if c.state != running {
		return
	}
	c.state = ended
	l.active--
	if c.Alone {
		l.alone = false
	}
	switch {
	case spent <= 0:
	case l.mean == 0:
		l.mean = spent
	default:
		l.mean += (spent - l.mean) / smoothing
	}
}

// Cancel removes a call that has not started. It reports false when the call runs or has ended.
func (l *Limiter) Cancel(c *Call) bool {
	if c.state != waiting {
		return false
	}
	c.state = ended
	heap.Remove(&l.queue, c.index)
	return true
}

// Expire removes and returns the waiting calls whose deadline has passed.
func (l *Limiter) Expire(now time.Time) []*Call {
	var out []*Call
	for _, c := range l.queue {
		if !now.Before(c.Deadline) {
			out = append(out, c)
		}
	}
	for _, c := range out {
		l.Cancel(c)
	}
	return out
}

// Drain removes and returns every waiting call.
func (l *Limiter) Drain() []*Call {
	out := append([]*Call(nil), l.queue...)
	for _, c := range out {
		l.Cancel(c)
	}
	return out
}

// Active returns the number of calls that run.
func (l *Limiter) Active() int { return l.active }

// Waiting returns the number of calls that wait.
func (l *Limiter) Waiting() int { return len(l.queue) }

// queue is a heap by start tag, then by arrival.
type queue []*Call

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].start != q[j].start {
		return q[i].start < q[j].start
	}
	return q[i].sequence < q[j].sequence
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends a call; it is used by container/heap.
func (q *queue) Push(x any) {
	c := x.(*Call)
	c.index = len(*q)
	*q = append(*q, c)
}

// Pop removes the last call; it is used by container/heap.
func (q *queue) Pop() any {
	old := *q
	c := old[len(old)-1]
	*q = old[:len(old)-1]
	return c
}

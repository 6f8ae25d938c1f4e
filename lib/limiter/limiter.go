// Package limiter is the admission control of one leaf. It never runs more calls at once than the leaf has slots,
// orders them fairly between tenants by start-time fair queueing, and immediately refuses a call that cannot end before
// its deadline.
package limiter

import (
	"container/heap"
	"time"
)

const (
	// maxQueue is the maximum number of calls that wait for one leaf.
	maxQueue = 4096
	// smoothingDivisor gives a new sample a weight of 1/8 in the mean service time.
	smoothingDivisor = 8
)

// Refusal is the reason for which a call was not admitted. A refused call was not run.
type Refusal int

// Refusals.
const (
	// Admitted means that the call was admitted.
	Admitted Refusal = iota
	// DeadlineExceeded means that the expected wait and service time exceed the deadline.
	DeadlineExceeded
	// QueueFull means that the queue is full.
	QueueFull
)

// Call is a waiting or running call. Callers must not modify it once it is enqueued.
type Call struct {
	// Flow is the tenant and service of the call.
	Flow Flow
	// Weight is the flow's relative share against other flows, at least 1.
	Weight int
	// Deadline is when the call's answer becomes useless.
	Deadline time.Time
	// Exclusive makes the call run only while no other call runs on the leaf.
	Exclusive bool

	startTag float64
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

// Flow identifies a flow, the unit of fairness. Calls of one flow start in order of arrival.
type Flow struct {
	Tenant, Service string
}

// Limiter is the admission control of one leaf. It is not safe for concurrent use.
type Limiter struct {
	slots     int
	active    int
	exclusive bool
	queue     queue
	sequence  uint64
	// virtualTime is the start tag of the call that started last.
	virtualTime float64
	// finishTags holds the finish tag of each flow's latest call.
	finishTags map[Flow]float64
	// meanServiceTime is smoothed; it is zero until the first call has ended.
	meanServiceTime time.Duration
}

// New returns the limiter of a leaf with a number of slots.
func New(slots int) *Limiter {
	return &Limiter{slots: max(slots, 1), finishTags: make(map[Flow]float64)}
}

// Resize changes the number of slots. If more calls than that are running, no call starts until enough have ended.
func (l *Limiter) Resize(slots int) {
	l.slots = max(slots, 1)
}

// Enqueue queues a call or refuses it. While a slot is free, the service time is not a reason for refusal: otherwise a
// leaf that was slow once would never be measured again.
func (l *Limiter) Enqueue(c *Call, allowance int, now time.Time) Refusal {
	if len(l.queue) >= maxQueue {
		return QueueFull
	}
	weight := float64(max(c.Weight, 1))
	c.startTag = max(l.virtualTime, l.finishTags[c.Flow])
	if !now.Add(l.expectedTime(c.startTag, allowance)).Before(c.Deadline) {
		return DeadlineExceeded
	}
	l.finishTags[c.Flow] = c.startTag + 1/weight
	l.sequence++
	c.sequence = l.sequence
	heap.Push(&l.queue, c)
	return Admitted
}

// expectedTime returns the expected waiting and service time of a call with a start tag, or zero if a slot is free.
func (l *Limiter) expectedTime(startTag float64, allowance int) time.Duration {
	slots := l.usableSlots(allowance)
	ahead := 0
	for _, other := range l.queue {
		if other.startTag <= startTag {
			ahead++
		}
	}
	busy := l.active + ahead - slots + 1
	if busy <= 0 {
		return 0
	}
	return l.meanServiceTime + l.meanServiceTime*time.Duration(busy)/time.Duration(slots)
}

func (l *Limiter) usableSlots(allowance int) int {
	return max(min(l.slots, allowance), 1)
}

// Start starts and returns the next call that may run, or returns nil. The allowance is a limit on running calls in
// addition to the slots. Expire must be called first, because a call whose deadline has passed must not start.
func (l *Limiter) Start(allowance int) *Call {
	if len(l.queue) == 0 || l.exclusive || l.active >= min(l.slots, allowance) {
		return nil
	}
	c := l.queue[0]
	if c.Exclusive && l.active > 0 {
		return nil
	}
	heap.Pop(&l.queue)
	c.state = running
	l.active++
	l.exclusive = c.Exclusive
	l.virtualTime = c.startTag
	l.pruneFlows()
	return c
}

// pruneFlows removes the finish tags that are not ahead of the virtual time, once no call waits. The next call of such
// a flow starts at the virtual time anyway.
func (l *Limiter) pruneFlows() {
	if len(l.queue) > 0 {
		return
	}
	for flow, finish := range l.finishTags {
		if finish <= l.virtualTime {
			delete(l.finishTags, flow)
		}
	}
}

// Done ends a running call. A service time of zero leaves the mean unchanged.
func (l *Limiter) Done(c *Call, serviceTime time.Duration) {
	if c.state != running {
		return
	}
	c.state = ended
	l.active--
	if c.Exclusive {
		l.exclusive = false
	}
	switch {
	case serviceTime <= 0:
	case l.meanServiceTime == 0:
		l.meanServiceTime = serviceTime
	default:
		l.meanServiceTime += (serviceTime - l.meanServiceTime) / smoothingDivisor
	}
}

// Cancel removes a waiting call from the queue. It reports false when the call is running or has ended.
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

// Active returns the number of running calls.
func (l *Limiter) Active() int { return l.active }

// Waiting returns the number of waiting calls.
func (l *Limiter) Waiting() int { return len(l.queue) }

// queue is a heap ordered by start tag, then by arrival.
type queue []*Call

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].startTag != q[j].startTag {
		return q[i].startTag < q[j].startTag
	}
	return q[i].sequence < q[j].sequence
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends a call. It implements heap.Interface.
func (q *queue) Push(x any) {
	c := x.(*Call)
	c.index = len(*q)
	*q = append(*q, c)
}

// Pop removes the last call. It implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	c := old[len(old)-1]
	*q = old[:len(old)-1]
	return c
}

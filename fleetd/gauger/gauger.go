// Package gauger decides whether an entry host should get new connections: a host that is cut off and cannot answer
// leaves its callers to hosts that can.
package gauger

import (
	"sync"
	"time"
)

const (
	// staleTime is the time without contact to a settled control host after which a host may be cut off.
	staleTime = 800 * time.Millisecond
	// span is the time over which requests are counted, in steps.
	span  = time.Second
	steps = 10
	// failingShare is the share of requests without enough reachable leaves from which on a host that may be cut off
	// counts as such, and leastFailed the least number of them.
	failingShare = 0.05
	leastFailed  = 2
	// lostShare is the share of the leaves of other data centres that a host which is cut off cannot reach.
	lostShare = 0.8
)

// Evidence is what a host knows of its surroundings.
type Evidence struct {
	// Stale is the time without contact to a settled control host.
	Stale time.Duration
	// Reached and Lost count the leaves of other data centres that can and cannot be reached.
	Reached, Lost int
	// Alone is true when the control host that is followed hears nothing of other data centres, and Short when the leaves
	// of the own one do not suffice for every route.
	Alone, Short bool
	// Answered is true when a leaf or a host of another data centre has answered since the control host last heard of one.
	Answered bool
}

// alone reports whether hardly any leaf of another data centre can be reached.
func (e Evidence) alone() bool {
	return e.Lost > 0 && float64(e.Lost) >= lostShare*float64(e.Reached+e.Lost)
}

// Gauger counts the requests of one host. It is safe for concurrent use.
type Gauger struct {
	mu       sync.Mutex
	number   [steps]int64
	requests [steps]int
	failed   [steps]int
	cut      bool
}

// New returns a gauger without requests.
func New() *Gauger {
	return &Gauger{}
}

// Note counts one request; unreachable says that it failed for want of reachable leaves.
func (g *Gauger) Note(unreachable bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.at(now)
	g.requests[i]++
	if unreachable {
		g.failed[i]++
	}
}

// at returns the present step, emptied when it was last used one span ago.
func (g *Gauger) at(now time.Time) int {
	number := now.UnixNano() / int64(span/steps)
	i := int(number % steps)
	if g.number[i] != number {
		g.number[i], g.requests[i], g.failed[i] = number, 0, 0
	}
	return i
}

// CutOff reports whether the host is cut off: out of contact with control and with the leaves of other data centres,
// and unable to answer a part of its requests. That shows in requests that have failed; or, before a host of many has had
// two of them, in its control host hearing nothing of other data centres, which all hosts of a data centre learn at once.
// A host whose requests have failed stays cut off until it is in contact again, because no requests come that could show
// anything. Trouble of control or of leaves alone must not turn the callers of all hosts away.
func (g *Gauger) CutOff(e Evidence, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.Stale < staleTime {
		g.cut = false
		return false
	}
	if e.Alone && e.Short && !e.Answered {
		return true
	}
	requests, failed := 0, 0
	newest := now.UnixNano() / int64(span/steps)
	for i := range steps {
		if newest-g.number[i] < steps {
			requests += g.requests[i]
			failed += g.failed[i]
		}
	}
	if failed >= leastFailed && float64(failed) >= failingShare*float64(requests) && e.alone() {
		g.cut = true
	}
	return g.cut
}

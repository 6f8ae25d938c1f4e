// Package gauger decides whether an entry host should receive new connections: a host that is cut off and cannot
// answer its requests leaves its callers to other hosts.
package gauger

import (
	"sync"
	"time"
)

const (
	// staleTime is the time without contact to a control host that is itself in contact with a leader, after which a
	// host may be cut off.
	staleTime = 800 * time.Millisecond
	// window is the time over which requests are counted, divided into steps.
	window = time.Second
	steps  = 10
	// minFailedShare is the share of requests that fail for lack of reachable leaves from which a host without contact
	// is considered cut off, and minFailed is the minimum number of such requests.
	minFailedShare = 0.05
	minFailed      = 2
	// minLostShare is the share of the leaves of other data centres that must be unreachable for a host to be considered
	// cut off.
	minLostShare = 0.8
)

// Evidence is what a host knows about its connectivity.
type Evidence struct {
	// Stale is the time without contact to a control host that is itself in contact with a leader.
	Stale time.Duration
	// Reached and Lost count the leaves of other data centres that are reachable and unreachable.
	Reached, Lost int
	// ControlIsolated is true when the followed control host hears from no other data centre. CoverageInsufficient is
	// true when the leaves of this host's data centre do not cover every route.
	ControlIsolated, CoverageInsufficient bool
	// RemoteAnswered is true when a leaf or a host of another data centre has answered since the control host last heard
	// from one.
	RemoteAnswered bool
}

// remoteLeavesLost reports whether hardly any leaf of another data centre can be reached.
func (e Evidence) remoteLeavesLost() bool {
	return e.Lost > 0 && float64(e.Lost) >= minLostShare*float64(e.Reached+e.Lost)
}

// Gauger counts the requests of one host. It is safe for concurrent use.
type Gauger struct {
	mu       sync.Mutex
	step     [steps]int64
	requests [steps]int
	failed   [steps]int
	cutOff   bool
}

// New returns a Gauger without any recorded requests.
func New() *Gauger {
	return &Gauger{}
}

// Record counts one request. unreachable is true if the request failed because too few leaves could be reached.
func (g *Gauger) Record(unreachable bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.bucket(now)
	g.requests[i]++
	if unreachable {
		g.failed[i]++
	}
}

// bucket returns the index of the current step, and resets its counts if they belong to an earlier window.
func (g *Gauger) bucket(now time.Time) int {
	step := now.UnixNano() / int64(window/steps)
	i := int(step % steps)
	if g.step[i] != step {
		g.step[i], g.requests[i], g.failed[i] = step, 0, 0
	}
	return i
}

// CutOff reports whether the host is cut off: it has no contact to control hosts or to the leaves of other data
// centres and cannot answer some of its requests. The evidence is either failed requests or, on a host that has not
// yet had two of them, a control host that hears from no other data centre, which all hosts of a data centre learn at
// once. After failed requests, the host stays cut off until it has contact again, because it receives no requests
// that could show a recovery. A failure of the control hosts alone or of leaves alone must not make all hosts turn
// their callers away.
func (g *Gauger) CutOff(e Evidence, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.Stale < staleTime {
		g.cutOff = false
		return false
	}
	if e.ControlIsolated && e.CoverageInsufficient && !e.RemoteAnswered {
		return true
	}
	requests, failed := 0, 0
	newest := now.UnixNano() / int64(window/steps)
	for i := range steps {
		if newest-g.step[i] < steps {
			requests += g.requests[i]
			failed += g.failed[i]
		}
	}
	if failed >= minFailed && float64(failed) >= minFailedShare*float64(requests) && e.remoteLeavesLost() {
		g.cutOff = true
	}
	return g.cutOff
}

package executor

import (
	"slices"
	"strings"

	"github.com/uber-go/tally/v4"

	"lycheelift.example/lib/cataloguer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// counters holds the executor's metrics.
type counters struct {
	calls, expired, cuts, mismatched, silent, lost, crashed tally.Counter
	reasons                                                 map[callerv1.Reason]tally.Counter
}

func newCounters(s tally.Scope) counters {
	out := counters{
		calls: s.Counter("leaf_calls"), expired: s.Counter("leaf_calls_expired"), cuts: s.Counter("leaf_allowance_cuts"),
		mismatched: s.Counter("leaf_replies_mismatched"), silent: s.Counter("leaf_connections_silent"),
		lost: s.Counter("leaf_connections_lost"), crashed: s.Counter("leaf_crashes"),
		reasons: make(map[callerv1.Reason]tally.Counter),
	}
	for number, name := range callerv1.Reason_name {
		reason := strings.ToLower(strings.TrimPrefix(name, "REASON_"))
		out.reasons[callerv1.Reason(number)] = s.Tagged(map[string]string{"reason": reason}).Counter("leaf_calls_refused")
	}
	return out
}

func (c counters) refused(reason callerv1.Reason) { c.reasons[reason].Inc(1) }

var states = map[cataloguer.State]string{
	cataloguer.Cold: "cold", cataloguer.Warm: "warm", cataloguer.Draining: "draining", cataloguer.Leaving: "leaving",
}

// Calls returns the number of leaf calls sent since the process started.
func (e *Executor) Calls() uint64 { return e.calls.Load() }

// Leaves returns the state of the leaves that this host owns, sorted by name.
func (e *Executor) Leaves() []*operatorv1.LeafStatus {
	now := e.clock()
	var out []*operatorv1.LeafStatus
	e.each(func(l *leaf) {
		lease, held := e.leases.Held(l.name, now)
		l.mu.Lock()
		defer l.mu.Unlock()
		if !held || l.info == nil {
			return
		}
		s := &operatorv1.LeafStatus{
			Leaf: l.name, Service: l.service, Owner: e.self, Epoch: lease.Epoch, State: states[l.info.State],
			Allowance: uint32(l.ramp.Allowance()), Active: uint32(l.limit.Active()), //nolint:gosec // Bounded by the slots.
		}
		if l.pool != nil {
			s.Connections = uint32(l.pool.Open()) //nolint:gosec // Bounded by the leaf's limit.
		}
		out = append(out, s)
	})
	slices.SortFunc(out, func(a, b *operatorv1.LeafStatus) int { return strings.Compare(a.GetLeaf(), b.GetLeaf()) })
	return out
}

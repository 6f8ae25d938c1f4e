package replica

import (
	"context"
	"time"

	"lycheelift.example/lib/replicator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Status is what a replica knows of itself and of its group.
type Status struct {
	Host        string
	Incarnation uint64
	// Leader is empty when none is known.
	Leader  string
	Leading bool
	Term    uint64
	Commit  uint64
	Applied uint64
	Last    uint64
	Members *statev1.Members
	// Heard is when a leader was last heard, by the clock of this host; on the leader, when it last knew of a majority.
	Heard time.Time
	// Failure is why the host no longer acknowledges anything, or nil.
	Failure error
}

// Status returns the newest state. It never blocks.
func (r *Replica) Status() Status {
	return *r.status.Load()
}

func (r *Replica) publish() {
	s := r.core.Status()
	r.status.Store(&Status{
		Host: r.config.Host, Incarnation: s.Incarnation, Leader: s.Leader, Leading: s.Role == replicator.Leader && r.failed == nil,
		Term: s.Term, Commit: s.Commit, Applied: r.applied, Last: s.Last, Members: s.Members, Heard: s.Heard, Failure: r.failed,
	})
}

// HandOver passes leadership to another host; it returns when this host does not lead, or when ctx ends.
func (r *Replica) HandOver(ctx context.Context) error {
	for r.Status().Leading {
		if others(r.Status()) == 0 {
			return nil
		}
		if err := r.do(ctx, func() {
			if r.failed == nil {
				r.core.HandOver(r.config.Clock())
			}
		}); err != nil {
			return err
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
	return nil
}

// others counts the other voters.
func others(s Status) int {
	count := 0
	for _, m := range s.Members.GetReplicas() {
		if m.GetHost() != s.Host && !m.GetLearner() {
			count++
		}
	}
	return count
}

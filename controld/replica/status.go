package replica

import (
	"context"
	"time"

	"lycheelift.example/lib/replicator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Status is the state of a replica and of its group, as the replica knows it.
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
	// Blank is true if the data folder contains neither a vote nor a record. It is unreliable while Failure is set.
	Blank bool
	// LastLeaderContact is the time of the last message from a leader, by the clock of this host; on the leader, the last
	// time at which it had contact with a majority.
	LastLeaderContact time.Time
	// LastMajority is the sending time of the newest round of messages that a majority has answered to this leader, by the
	// clock of this host; zero if this host does not lead or hands over.
	LastMajority time.Time
	// Current is true on a leader whose machine has applied every record that an earlier leader has committed.
	Current bool
	// Failure is the write error after which the host stopped acknowledging, or nil.
	Failure error
}

// Status returns the newest state. It never blocks.
func (r *Replica) Status() Status {
	return *r.status.Load()
}

func (r *Replica) publish() {
	s := r.core.Status()
	r.status.Store(&Status{
		Host: r.config.Host, Incarnation: s.Incarnation, Leader: s.Leader, Leading: s.Role == replicator.Leader && r.failure == nil,
		Term: s.Term, Commit: s.Commit, Applied: r.applied, Last: s.Last, Members: s.Members, Blank: s.Blank, LastLeaderContact: s.LastContact, Failure: r.failure,
		LastMajority: s.LastMajority, Current: s.Current && r.applied >= s.Commit,
	})
}

// HandOver transfers leadership to another host. It returns when this host is not the leader, when there is no other
// voter, or when ctx ends.
func (r *Replica) HandOver(ctx context.Context) error {
	for r.Status().Leading {
		if otherVoters(r.Status()) == 0 {
			return nil
		}
		if err := r.submit(ctx, func() {
			if r.failure == nil {
				r.core.HandOver(r.config.Clock())
			}
		}); err != nil {
			return err
		}
		if err := waitRetry(ctx); err != nil {
			return err
		}
	}
	return nil
}

// otherVoters returns the number of voters other than this host.
func otherVoters(s Status) int {
	count := 0
	for _, m := range s.Members.GetReplicas() {
		if m.GetHost() != s.Host && !m.GetLearner() {
			count++
		}
	}
	return count
}

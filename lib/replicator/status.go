package replicator

import (
	"time"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Status is a copy of a replica's state for reports.
type Status struct {
	Role        Role
	Leader      string
	Term        uint64
	Incarnation uint64
	Commit      uint64
	Last        uint64
	Members     *statev1.Members
	Voter       bool
	// LastContact is the time of the last message from a leader. On the leader, it is the last time a majority was
	// reachable.
	LastContact time.Time
}

// Status returns the current state.
func (r *Replicator) Status() Status {
	return Status{
		Role: r.role, Leader: r.leader, Term: r.state.GetTerm(), Incarnation: r.state.GetIncarnation(),
		Commit: r.commit, Last: r.log.last(), Members: r.members(), Voter: r.voter(), LastContact: r.lastLeaderContact,
	}
}

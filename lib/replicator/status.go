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
	// Blank is true if the data folder contains neither a vote nor a record.
	Blank bool
	// LastContact is the time of the last message from a leader. On the leader, it is the last time a majority was
	// reachable.
	LastContact time.Time
	// LastMajority is the sending time of the newest round of messages that a majority has answered to this leader. A leader
	// of a later term was elected after it, by a majority that answers nothing more. It is zero on other replicas and on a
	// leader that hands over.
	LastMajority time.Time
	// Current is true on a leader that has committed a record of its term, so that it knows all committed records.
	Current bool
}

// Status returns the current state.
func (r *Replicator) Status() Status {
	out := Status{
		Role: r.role, Leader: r.leader, Term: r.state.GetTerm(), Incarnation: r.state.GetIncarnation(),
		Commit: r.commit, Last: r.log.last(), Members: r.members(), Voter: r.voter(), Blank: r.Blank(),
		LastContact: r.lastLeaderContact,
	}
	if r.role == Leader {
		out.Current = r.commit >= r.termStart
		if !r.handedOver {
			out.LastMajority = r.majorityAt
		}
	}
	return out
}

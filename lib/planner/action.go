package planner

import (
	"time"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// ActionKind is the type of an action.
type ActionKind int

// Kinds of actions.
const (
	// Send starts a call to a leaf.
	Send ActionKind = iota + 1
	// Cancel cancels a call.
	Cancel
	// SetTimer replaces the query's only timer.
	SetTimer
	// Suspect reports the request to all hosts as one that may crash servers; a Reported event must follow.
	Suspect
	// ClearSuspect records that a leaf answered the request without crashing.
	ClearSuspect
	// RecordCall records the duration and the result of a call.
	RecordCall
	// CountDropped counts a reply that matches no open call.
	CountDropped
	// Finish sends the reply to the caller.
	Finish
)

// CallKind is the purpose of a call.
type CallKind int

// Kinds of calls.
const (
	Primary CallKind = iota + 1
	Hedge
	Retry
	// Resend repeats a call that never reached its leaf, so it adds no load to leaves.
	Resend
)

// Action is an output of the planner.
type Action struct {
	Kind ActionKind
	// Call is set with Send, Cancel, RecordCall and Suspect.
	Call Call
	// At is set with SetTimer.
	At time.Time
	// Result is set with RecordCall and CountDropped.
	Result Result
	// Mismatched is set with CountDropped when the reply does not match the call that it names. Otherwise the reply is late or
	// a duplicate.
	Mismatched bool
	// Reply is set with Finish.
	Reply *Reply
}

// Call is a request to one leaf.
type Call struct {
	Attempt  string
	Snapshot uint64
	Shard    uint32
	Target   Target
	Kind     CallKind
	// Canary marks a call that is sent before the query's other shards are called.
	Canary    bool
	Exclusive bool
	// Sent is when the Send action was issued.
	Sent time.Time
	// Timeout is the time within which the owner must complete the call.
	Timeout time.Duration
	// ExclusiveWith is the attempt with which the call is mutually exclusive: at most one of the two is sent. It is empty for an
	// independent call.
	ExclusiveWith string
}

// Missing is a shard without an answer, and the reason.
type Missing struct {
	Shard  uint32
	Reason Reason
}

// Part is one shard's answer.
type Part struct {
	Shard uint32
	// Attempt is the call that returned the answer.
	Attempt string
	Body    []byte
}

// Reply is the final result of the query.
type Reply struct {
	Outcome callerv1.Outcome
	// Reason is set unless the outcome is whole or partial.
	Reason   Reason
	Snapshot uint64
	Answered uint32
	Total    uint32
	Missing  []Missing
	Parts    []Part
}

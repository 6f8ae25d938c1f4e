package planner

import (
	"time"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// ActionKind says what is to be done.
type ActionKind int

// Kinds of actions.
const (
	// Send makes a call.
	Send ActionKind = iota + 1
	// Cancel gives up a call.
	Cancel
	// SetTimer replaces the timer.
	SetTimer
	// Suspect reports the request to all hosts; a Reported event must follow.
	Suspect
	// Clear notes that the request was answered by a leaf without harm.
	Clear
	// Ended notes how long a call took and how it ended.
	Ended
	// Drop counts a reply that belongs to no open call.
	Drop
	// Finish gives the reply.
	Finish
)

// CallKind says why a call is made.
type CallKind int

// Kinds of calls.
const (
	Primary CallKind = iota + 1
	Hedge
	Retry
	// Resend repeats a call that never reached its leaf; it adds no load to leaves.
	Resend
)

// Action is an output of the planner.
type Action struct {
	Kind ActionKind
	// Call is set with Send, Cancel, Ended and Suspect.
	Call Call
	// At is set with SetTimer.
	At time.Time
	// Result is set with Ended and Drop.
	Result Result
	// Mismatched is set with Drop when the reply belongs to another call; else it is late or a duplicate.
	Mismatched bool
	// Reply is set with Finish.
	Reply *Reply
}

// Call is one leaf call.
type Call struct {
	Attempt  string
	Snapshot uint64
	Shard    uint32
	Target   Target
	Kind     CallKind
	// Canary marks a call that is sent while no other call of the query runs.
	Canary bool
	Alone  bool
	// Sent is when the call was handed out.
	Sent time.Time
	// Timeout is the time that the owner has for the call.
	Timeout time.Duration
	// Rival is the attempt with which the call shares the permission to be sent; empty for a call by itself.
	Rival string
}

// Missing is a shard without an answer.
type Missing struct {
	Shard  uint32
	Reason Reason
}

// Part is one shard's answer.
type Part struct {
	Shard uint32
	// Attempt is the call that was answered.
	Attempt string
	Body    []byte
}

// Reply is how the query ended.
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

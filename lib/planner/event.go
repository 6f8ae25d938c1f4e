package planner

// EventKind says what happened.
type EventKind int

// Kinds of events.
const (
	// Start begins the query.
	Start EventKind = iota + 1
	// Returned is the end of a call.
	Returned
	// Elapsed means that the time of the last SetTimer action has come.
	Elapsed
	// Reported means that the other hosts know of the suspect.
	Reported
	// Abandoned means that the caller no longer waits.
	Abandoned
)

// Event is an input of the planner.
type Event struct {
	Kind EventKind
	// Result is set with Returned.
	Result Result
}

// Result is the end of one call, as the owner states it.
type Result struct {
	Attempt  string
	Snapshot uint64
	Shard    uint32
	Leaf     string
	Body     []byte
	// Reason is REASON_UNSPECIFIED when the leaf answered.
	Reason Reason
	// Unsent is true when the leaf never received the call.
	Unsent bool
	// NotRun is true when the leaf received the call and states that it did not run it and never will.
	NotRun bool
	// Owner is the owner that the answering host knows of, with REASON_NOT_OWNER.
	Owner string
}

package planner

// EventKind is the type of an event.
type EventKind int

// Kinds of events.
const (
	// Start begins the query.
	Start EventKind = iota + 1
	// Returned carries the result of a call.
	Returned
	// Elapsed means that the timer of the last SetTimer action has fired.
	Elapsed
	// Reported means that the other hosts have been informed of the suspect request.
	Reported
	// Abandoned means that the caller has disconnected or cancelled the request.
	Abandoned
)

// Event is an input of the planner.
type Event struct {
	Kind EventKind
	// Result is set with Returned.
	Result Result
}

// Result is the outcome of one call, as reported by the owner.
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
	// NotRun is true when the leaf received the call and reports that it did not run it and never will.
	NotRun bool
	// Owner is the leaf's owner according to the answering host. It is set with REASON_NOT_OWNER.
	Owner string
}

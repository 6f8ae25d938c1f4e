package planner

import callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"

// Reasons that the planner itself states or tells apart.
const (
	reasonNone      = callerv1.Reason_REASON_UNSPECIFIED
	reasonDeadline  = callerv1.Reason_REASON_DEADLINE
	reasonCancelled = callerv1.Reason_REASON_CANCELLED
	reasonNoReplica = callerv1.Reason_REASON_NO_REPLICA
	reasonGone      = callerv1.Reason_REASON_SNAPSHOT_GONE
	reasonCrashed   = callerv1.Reason_REASON_CRASHED
	reasonNotOwner  = callerv1.Reason_REASON_NOT_OWNER
	reasonOverload  = callerv1.Reason_REASON_OVERLOADED
	reasonLost      = callerv1.Reason_REASON_CONNECTION_LOST
	reasonCoverage  = callerv1.Reason_REASON_COVERAGE
)

// retryable holds the reasons after which another replica may answer.
var retryable = map[Reason]bool{
	reasonNoReplica:                     true,
	reasonGone:                          true,
	reasonNotOwner:                      true,
	reasonOverload:                      true,
	reasonLost:                          true,
	callerv1.Reason_REASON_DRAINING:     true,
	callerv1.Reason_REASON_REMOVED:      true,
	callerv1.Reason_REASON_STARTING:     true,
	callerv1.Reason_REASON_SERVER_ERROR: true,
}

// refused holds the reasons with which a leaf states that it did not run a call.
var refused = map[Reason]bool{
	reasonOverload:                  true,
	reasonGone:                      true,
	callerv1.Reason_REASON_DRAINING: true,
}

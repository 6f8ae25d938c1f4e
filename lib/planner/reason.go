package planner

import callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"

// Reasons that the planner itself sets or distinguishes.
const (
	reasonNone           = callerv1.Reason_REASON_UNSPECIFIED
	reasonDeadline       = callerv1.Reason_REASON_DEADLINE
	reasonCancelled      = callerv1.Reason_REASON_CANCELLED
	reasonNoReplica      = callerv1.Reason_REASON_NO_REPLICA
	reasonSnapshotGone   = callerv1.Reason_REASON_SNAPSHOT_GONE
	reasonCrashed        = callerv1.Reason_REASON_CRASHED
	reasonNotOwner       = callerv1.Reason_REASON_NOT_OWNER
	reasonOverloaded     = callerv1.Reason_REASON_OVERLOADED
	reasonConnectionLost = callerv1.Reason_REASON_CONNECTION_LOST
	reasonCoverage       = callerv1.Reason_REASON_COVERAGE
)

// retryableReasons are the failures after which another replica may answer.
var retryableReasons = map[Reason]bool{
	reasonNoReplica:                     true,
	reasonSnapshotGone:                  true,
	reasonNotOwner:                      true,
	reasonOverloaded:                    true,
	reasonConnectionLost:                true,
	callerv1.Reason_REASON_DRAINING:     true,
	callerv1.Reason_REASON_REMOVED:      true,
	callerv1.Reason_REASON_STARTING:     true,
	callerv1.Reason_REASON_SERVER_ERROR: true,
}

// notRunReasons are the failures by which a leaf states that it did not run a call.
var notRunReasons = map[Reason]bool{
	reasonOverloaded:                true,
	reasonSnapshotGone:              true,
	callerv1.Reason_REASON_DRAINING: true,
}

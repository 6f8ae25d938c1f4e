package acceptor

import (
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// refusal is the error with which a query ends.
type refusal struct {
	outcome  callerv1.Outcome
	reason   callerv1.Reason
	text     string
	wait     time.Duration
	coverage *callerv1.Coverage
}

func (r *refusal) Error() string {
	return r.reason.String() + ": " + r.text
}

// notRun returns the refusal of a query of which no leaf has received any part.
func notRun(reason callerv1.Reason, text string) *refusal {
	return &refusal{outcome: callerv1.Outcome_OUTCOME_REFUSED, reason: reason, text: text}
}

// encode converts a refusal to a Connect error that carries it as a detail.
func (r *refusal) encode(id string, version uint64) error {
	code, ok := codes[r.reason]
	if !ok {
		code = connect.CodeUnavailable
	}
	out := connect.NewError(code, errors.New(prefixes[r.outcome]+r.text))
	detail, err := connect.NewErrorDetail(&callerv1.Refusal{
		Id: id, Outcome: r.outcome, Reason: r.reason, Coverage: r.coverage, Text: r.text, Version: version, Wait: durationpb.New(r.wait),
	})
	if err == nil {
		out.AddDetail(detail)
	}
	return out
}

var prefixes = map[callerv1.Outcome]string{
	callerv1.Outcome_OUTCOME_REFUSED: "not run: ",
	callerv1.Outcome_OUTCOME_UNKNOWN: "outcome unknown: ",
}

var codes = map[callerv1.Reason]connect.Code{
	callerv1.Reason_REASON_MALFORMED:       connect.CodeInvalidArgument,
	callerv1.Reason_REASON_OVERSIZED:       connect.CodeInvalidArgument,
	callerv1.Reason_REASON_UNKNOWN_SERVICE: connect.CodeNotFound,
	callerv1.Reason_REASON_DEADLINE:        connect.CodeDeadlineExceeded,
	callerv1.Reason_REASON_CANCELLED:       connect.CodeCanceled,
	callerv1.Reason_REASON_OVERLOADED:      connect.CodeResourceExhausted,
	callerv1.Reason_REASON_QUARANTINED:     connect.CodeFailedPrecondition,
	callerv1.Reason_REASON_CRASHED:         connect.CodeAborted,
	callerv1.Reason_REASON_KEY_EXPIRED:     connect.CodeFailedPrecondition,
	callerv1.Reason_REASON_KEY_CONFLICT:    connect.CodeAlreadyExists,
	callerv1.Reason_REASON_FORBIDDEN:       connect.CodePermissionDenied,
}

// reasonTexts describes the reasons with which a planner ends a query.
var reasonTexts = map[callerv1.Reason]string{
	callerv1.Reason_REASON_COVERAGE:        "the coverage is below what the caller accepts",
	callerv1.Reason_REASON_STARTING:        "this host has just started and does not know all backend servers yet",
	callerv1.Reason_REASON_UNKNOWN_SERVICE: "no service has this name",
	callerv1.Reason_REASON_NO_REPLICA:      "no backend server of the service can be called",
	callerv1.Reason_REASON_DEADLINE:        "the deadline passed before an answer came",
	callerv1.Reason_REASON_CANCELLED:       "the caller gave up",
	callerv1.Reason_REASON_CRASHED:         "a backend server crashed while it ran the request",
	callerv1.Reason_REASON_CONNECTION_LOST: "the connection was lost while the request ran",
}

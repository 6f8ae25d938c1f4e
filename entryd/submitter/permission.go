package submitter

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/eventer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// attempt is one submission. Its Begin may be sent several times; the ledger gives the same answer to each.
type attempt struct {
	submitter *Submitter
	begin     *statev1.Begin
	// maybeCommitted is true once a Begin was sent whose answer is unknown, so that it may be committed.
	maybeCommitted bool
	// begunElsewhere is true if a control host answered that another attempt has begun the key.
	begunElsewhere bool
}

// decision is either the permission to run the request, or the result for the caller.
type decision struct {
	run      bool
	response *callerv1.QueryResponse
	refusal  *Refusal
}

func newBegin(r Request, name string) *statev1.Begin {
	return &statev1.Begin{
		Tenant: r.Tenant, Key: r.Key, Issued: timestamppb.New(r.Issued), Attempt: name, Fingerprint: r.Fingerprint,
	}
}

// requestPermission sends the Begin to the control hosts in turn until one of them decides it or ctx is done.
func (a *attempt) requestPermission(ctx context.Context) *decision {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if out := a.tryControls(ctx); out != nil {
			return out
		}
		select {
		case <-ctx.Done():
			return a.deadlineDecision()
		case <-time.After(backoff):
		}
	}
}

// tryControls sends the Begin to each control host once, starting with the one that answered last.
func (a *attempt) tryControls(ctx context.Context) *decision {
	s := a.submitter
	first := s.preferred.Load()
	for i := range uint32(len(s.controls)) { //nolint:gosec // At most 7.
		if ctx.Err() != nil {
			return nil
		}
		at := (first + i) % uint32(len(s.controls)) //nolint:gosec // At most 7.
		out, decided := a.tryControl(ctx, s.controls[at])
		if decided {
			s.preferred.Store(at)
			return out
		}
	}
	return nil
}

// tryControl sends the Begin to one host. decided is true if that host knows the state of the key.
func (a *attempt) tryControl(ctx context.Context, c Control) (out *decision, decided bool) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := c.Begin(ctx, a.begin)
	switch {
	case errors.Is(err, ErrUnsent):
		return nil, false
	case err != nil:
		a.maybeCommitted = true
		eventer.BeginFailed.Log(a.submitter.clock(), "attempt", a.begin.GetAttempt(), "error", err.Error())
		return nil, false
	case response.GetReason() == callerv1.Reason_REASON_NO_QUORUM:
		return nil, false
	}
	return a.interpret(response), true
}

// interpret converts the ledger's answer to a decision, or returns nil while another attempt is running.
func (a *attempt) interpret(r *peerv1.BeginResponse) *decision {
	if r.GetRun() {
		return &decision{run: true}
	}
	if text, ok := refusals[r.GetReason()]; ok {
		return &decision{refusal: notRun(r.GetReason(), text)}
	}
	if r.GetEntry().GetPhase() == statev1.Phase_PHASE_FINISHED && r.GetEntry().GetResponse() != nil {
		out := proto.CloneOf(r.GetEntry().GetResponse())
		out.Replayed = true
		return &decision{response: out}
	}
	a.begunElsewhere = true
	return nil
}

var refusals = map[callerv1.Reason]string{
	callerv1.Reason_REASON_KEY_EXPIRED:  "the key was issued more than 24 h ago; its outcome is no longer kept",
	callerv1.Reason_REASON_KEY_EARLY:    "the key's issue time lies more than 1 min in the future",
	callerv1.Reason_REASON_KEY_CONFLICT: "the key belongs to another request",
	callerv1.Reason_REASON_OVERLOADED:   "the ledger of keys is full",
	callerv1.Reason_REASON_CANCELLED:    "this attempt has ended",
	callerv1.Reason_REASON_MALFORMED:    "control does not accept the key",
}

// deadlineDecision returns the refusal at the deadline, according to what is known of the Begin. If the Begin may be
// committed, it is withdrawn in the background.
func (a *attempt) deadlineDecision() *decision {
	if a.maybeCommitted {
		a.submitter.store(a.newFinish(nil, true))
	}
	switch {
	case a.begunElsewhere:
		return &decision{refusal: unknownOutcome(callerv1.Reason_REASON_DEADLINE, "an earlier submission of this key was begun and has not finished; ask again with the same key")}
	case a.maybeCommitted:
		return &decision{refusal: unknownOutcome(callerv1.Reason_REASON_NO_QUORUM, "control did not answer in time; ask again with the same key")}
	default:
		return &decision{refusal: notRun(callerv1.Reason_REASON_NO_QUORUM, "no control majority can be reached; ask again with the same key")}
	}
}

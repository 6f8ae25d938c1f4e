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

// attempt is one submission. Its Begin may be sent many times; the ledger gives it one answer.
type attempt struct {
	submitter *Submitter
	begin     *statev1.Begin
	// possible is true once a Begin may be committed whose answer is not known.
	possible bool
	// busy is true when the last answer was that another attempt began the key.
	busy bool
}

// answer is the end of asking: the permission to run, or what the caller gets.
type answer struct {
	run      bool
	response *callerv1.QueryResponse
	refusal  *Refusal
}

func beginOf(r Request, name string) *statev1.Begin {
	return &statev1.Begin{
		Tenant: r.Tenant, Key: r.Key, Issued: timestamppb.New(r.Issued), Attempt: name, Fingerprint: r.Fingerprint,
	}
}

// ask sends the Begin to the control hosts in turn until one decides it or the deadline comes.
func (a *attempt) ask(ctx context.Context) *answer {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		if out := a.round(ctx); out != nil {
			return out
		}
		select {
		case <-ctx.Done():
			return a.late()
		case <-time.After(pause):
		}
	}
}

// round asks each control host once, the one that answered last first.
func (a *attempt) round(ctx context.Context) *answer {
	s := a.submitter
	first := s.preferred.Load()
	for i := range uint32(len(s.controls)) { //nolint:gosec // At most 7.
		if ctx.Err() != nil {
			return nil
		}
		at := (first + i) % uint32(len(s.controls)) //nolint:gosec // At most 7.
		out, decided := a.try(ctx, s.controls[at])
		if decided {
			s.preferred.Store(at)
			return out
		}
	}
	return nil
}

// try sends the Begin to one host. Decided is true when that host knows the state of the key.
func (a *attempt) try(ctx context.Context, c Control) (out *answer, decided bool) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	response, err := c.Begin(ctx, a.begin)
	switch {
	case errors.Is(err, ErrUnsent):
		return nil, false
	case err != nil:
		a.possible = true
		eventer.BeginFailed.Log(a.submitter.clock(), "attempt", a.begin.GetAttempt(), "error", err.Error())
		return nil, false
	case response.GetReason() == callerv1.Reason_REASON_NO_QUORUM:
		return nil, false
	}
	return a.read(response), true
}

// read turns the ledger's answer into the end of asking, or returns nil while another attempt runs.
func (a *attempt) read(r *peerv1.BeginResponse) *answer {
	if r.GetRun() {
		return &answer{run: true}
	}
	if text, ok := refusals[r.GetReason()]; ok {
		return &answer{refusal: notRun(r.GetReason(), text)}
	}
	if r.GetEntry().GetPhase() == statev1.Phase_PHASE_FINISHED && r.GetEntry().GetResponse() != nil {
		out := proto.CloneOf(r.GetEntry().GetResponse())
		out.Replayed = true
		return &answer{response: out}
	}
	a.busy = true
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

// late says what is certain at the deadline. A Begin that may be committed is taken back behind the reply.
func (a *attempt) late() *answer {
	if a.possible {
		a.submitter.store(a.finish(nil, true))
	}
	switch {
	case a.busy:
		return &answer{refusal: unknown(callerv1.Reason_REASON_DEADLINE, "an earlier submission of this key was begun and has not finished; ask again with the same key")}
	case a.possible:
		return &answer{refusal: unknown(callerv1.Reason_REASON_NO_QUORUM, "control did not answer in time; ask again with the same key")}
	default:
		return &answer{refusal: notRun(callerv1.Reason_REASON_NO_QUORUM, "no control majority can be reached; ask again with the same key")}
	}
}

// Package submitter runs non-idempotent requests at most once: it gets permission from the control hosts, runs the request
// once, and stores the outcome.
package submitter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// controlTimeout bounds one call to a control host, so that an unresponsive host leaves time for the others.
	controlTimeout = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the delay between two rounds over the control hosts.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// storeTimeout bounds the attempts to store an outcome.
	storeTimeout = 30 * time.Second
	// maxPending bounds the outcomes that are not stored yet. When it is reached, new requests are refused.
	maxPending = 4096
	// minRunTime is the minimum time that must remain for the request itself when the permission arrives.
	minRunTime = 2 * time.Millisecond
	// minReplyMargin and maxReplyMargin bound the time reserved for returning a refusal to the caller, which is a twentieth
	// of the request's remaining time. Without it, the caller's own deadline expired before the refusal arrived.
	minReplyMargin = 2 * time.Millisecond
	maxReplyMargin = 50 * time.Millisecond
)

// ErrUnsent means that a call certainly did not reach the control host, or was refused there before it was proposed to
// the log.
var ErrUnsent = errors.New("the call did not reach the control host")

// Control is one control host. After an error other than ErrUnsent, it is unknown whether the command is committed.
type Control interface {
	Begin(ctx context.Context, b *statev1.Begin) (*peerv1.BeginResponse, error)
	Finish(ctx context.Context, f *statev1.Finish) error
}

// Request is one submission of a non-idempotent request.
type Request struct {
	Tenant string
	Key    string
	Issued time.Time
	// Fingerprint is a hash of the request's content. A known key with another fingerprint is refused.
	Fingerprint uint64
	Deadline    time.Time
}

// Run sends the request to its leaves once. unsent means that no leaf received any part of it.
type Run func(ctx context.Context) (response *callerv1.QueryResponse, unsent bool)

// Refusal is the result of a submission without a response.
type Refusal struct {
	// Outcome is OUTCOME_REFUSED if this submission was certainly not run, and OUTCOME_UNKNOWN otherwise.
	Outcome callerv1.Outcome
	Reason  callerv1.Reason
	Text    string
}

// Submitter runs the keyed requests of one entry host. It is safe for concurrent use.
type Submitter struct {
	name     string
	controls []Control
	clock    func() time.Time
	sequence atomic.Uint64
	// preferred is the control host that answered last.
	preferred atomic.Uint32
	pending   atomic.Int64
	storing   sync.WaitGroup
	stop      chan struct{}
	stopOnce  sync.Once
}

// New returns a submitter. The host and its incarnation make attempt identities unique across restarts.
func New(host string, incarnation int64, controls []Control, clock func() time.Time) *Submitter {
	return &Submitter{name: fmt.Sprintf("%s/%d", host, incarnation), controls: controls, clock: clock, stop: make(chan struct{})}
}

// Submit runs the request if the control hosts give this attempt the permission, and otherwise returns the outcome of the
// attempt that has it. Without the permission it returns at the deadline at the latest. The response of run is returned
// unchanged. It may be nil if the run failed; the caller of Submit then knows the cause from run itself.
func (s *Submitter) Submit(ctx context.Context, r Request, run Run) (*callerv1.QueryResponse, *Refusal) {
	if s.pending.Load() >= maxPending {
		return nil, notRun(callerv1.Reason_REASON_OVERLOADED, "too many outcomes wait to be stored")
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	a := &attempt{
		submitter: s,
		begin:     newBegin(r, fmt.Sprintf("%s/s%d", s.name, s.sequence.Add(1))),
	}
	out := a.awaitPermission(ctx, r.Deadline)
	if !out.run {
		return out.response, out.refusal
	}
	return a.run(ctx, r.Deadline, run)
}

// awaitPermission requests the permission until shortly before the deadline, so that a refusal still reaches the caller
// in time.
func (a *attempt) awaitPermission(ctx context.Context, deadline time.Time) *decision {
	remaining := deadline.Sub(a.submitter.clock())
	ctx, cancel := context.WithTimeout(ctx, remaining-min(max(remaining/20, minReplyMargin), maxReplyMargin))
	defer cancel()
	return a.requestPermission(ctx)
}

// run is the only place that calls the request's function. It stores the outcome in the background: the caller does not
// wait for this second commit, and a resend that arrives before it waits for the outcome.
func (a *attempt) run(ctx context.Context, deadline time.Time, run Run) (*callerv1.QueryResponse, *Refusal) {
	if deadline.Sub(a.submitter.clock()) < minRunTime || ctx.Err() != nil {
		a.submitter.store(a.newFinish(nil, true))
		return nil, notRun(callerv1.Reason_REASON_DEADLINE, "the permission to run came too late")
	}
	response, unsent := run(ctx)
	a.submitter.store(a.newFinish(response, unsent))
	return response, nil
}

// Close returns when all outcomes are stored or ctx is done, and stops storing any that remain.
func (s *Submitter) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.storing.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	s.stopOnce.Do(func() { close(s.stop) })
}

func notRun(reason callerv1.Reason, text string) *Refusal {
	return &Refusal{Outcome: callerv1.Outcome_OUTCOME_REFUSED, Reason: reason, Text: text}
}

func unknownOutcome(reason callerv1.Reason, text string) *Refusal {
	return &Refusal{Outcome: callerv1.Outcome_OUTCOME_UNKNOWN, Reason: reason, Text: text}
}

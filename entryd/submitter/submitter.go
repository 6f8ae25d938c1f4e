// Package submitter runs non-idempotent requests at most once: it asks control for the permission, runs the
// request once, and stores the outcome.
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
	// tryTimeout bounds one call to a control host, so that a silent host leaves time for the others.
	tryTimeout = 300 * time.Millisecond
	// firstPause and lastPause bound the pause between two rounds over the control hosts.
	firstPause = 10 * time.Millisecond
	lastPause  = 200 * time.Millisecond
	// storeTime is the time for which the storing of an outcome is tried.
	storeTime = 30 * time.Second
	// maxPending bounds the outcomes that wait to be stored; above it new requests are refused.
	maxPending = 4096
	// leastTime is the time that must be left for the request itself when the permission arrives.
	leastTime = 2 * time.Millisecond
	// leastMargin and mostMargin bound the time kept for the way of a refusal back to the caller, a twentieth of the
	// time that the request has. Without it the caller's own deadline ended the wait first.
	leastMargin = 2 * time.Millisecond
	mostMargin  = 50 * time.Millisecond
)

// ErrUnsent says that a call certainly did not reach the control host, or was refused there before the log.
var ErrUnsent = errors.New("the call did not reach the control host")

// Control is one control host. An error that is not ErrUnsent leaves open whether the command is committed.
type Control interface {
	Begin(ctx context.Context, b *statev1.Begin) (*peerv1.BeginResponse, error)
	Finish(ctx context.Context, f *statev1.Finish) error
}

// Request is one submission of a non-idempotent request.
type Request struct {
	Tenant string
	Key    string
	Issued time.Time
	// Fingerprint is a hash of what is asked; a key with another fingerprint is refused.
	Fingerprint uint64
	Deadline    time.Time
}

// Run sends the request to its leaves, once. Unsent means that no leaf received any part of it.
type Run func(ctx context.Context) (response *callerv1.QueryResponse, unsent bool)

// Refusal is a submission without a response.
type Refusal struct {
	// Outcome is OUTCOME_REFUSED only when this submission was certainly not run, and OUTCOME_UNKNOWN otherwise.
	Outcome callerv1.Outcome
	Reason  callerv1.Reason
	Text    string
}

// Submitter runs requests of one entry host. It is safe for concurrent use.
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

// Submit runs the request if control gives this attempt the permission, and otherwise returns the outcome of the
// attempt that has it. It returns at the deadline at the latest. What run returned is passed on as it is; a run that
// failed may return no response, and then its caller knows why.
func (s *Submitter) Submit(ctx context.Context, r Request, run Run) (*callerv1.QueryResponse, *Refusal) {
	if s.pending.Load() >= maxPending {
		return nil, notRun(callerv1.Reason_REASON_OVERLOADED, "too many outcomes wait to be stored")
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	a := &attempt{
		submitter: s,
		begin:     beginOf(r, fmt.Sprintf("%s/s%d", s.name, s.sequence.Add(1))),
	}
	out := a.within(ctx, r.Deadline)
	if !out.run {
		return out.response, out.refusal
	}
	return a.run(ctx, r.Deadline, run)
}

// within asks until a little before the deadline, so that the refusal still reaches the caller.
func (a *attempt) within(ctx context.Context, deadline time.Time) *answer {
	left := deadline.Sub(a.submitter.clock())
	ctx, cancel := context.WithTimeout(ctx, left-min(max(left/20, leastMargin), mostMargin))
	defer cancel()
	return a.ask(ctx)
}

// run calls the request's function, the only place that does, and stores its outcome behind the reply: the caller
// does not wait for the second commit, and a resend that comes before it waits for the outcome.
func (a *attempt) run(ctx context.Context, deadline time.Time, run Run) (*callerv1.QueryResponse, *Refusal) {
	if deadline.Sub(a.submitter.clock()) < leastTime || ctx.Err() != nil {
		a.submitter.store(a.finish(nil, true))
		return nil, notRun(callerv1.Reason_REASON_DEADLINE, "the permission to run came too late")
	}
	response, unsent := run(ctx)
	a.submitter.store(a.finish(response, unsent))
	return response, nil
}

// Close ends once the outcomes of requests that ran are stored, or when ctx ends.
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

func unknown(reason callerv1.Reason, text string) *Refusal {
	return &Refusal{Outcome: callerv1.Outcome_OUTCOME_UNKNOWN, Reason: reason, Text: text}
}

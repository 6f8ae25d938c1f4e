// Package verifier decides whether the replicated state that a host holds is recent enough to rely on: a host that is cut
// off, was frozen or has just started must not act on a state that may have been replaced.
//
// The host asks a control host for the position of the newest state. If the host holds that position, its state is
// confirmed as of the moment at which it sent the question. Times are read from one clock that counts the time for which
// the system was suspended, as durations since an arbitrary origin; the clock of the control host is not used.
package verifier

import (
	"slices"
	"time"
)

const (
	// limitNumerator/limitDenominator of the bound is how long a confirmation is valid; the rest allows for clocks that run
	// at different rates.
	limitNumerator, limitDenominator = 9, 10
	// intervalDivisor and retryDivisor divide the bound to get the time between two calls, and the time to the next call
	// after a failed one.
	intervalDivisor = 10
	retryDivisor    = 50
	// timeoutIntervals is the number of intervals after which an unanswered call counts as lost.
	timeoutIntervals = 2
	// maxCalls bounds the calls in progress.
	maxCalls = 4
)

// Position identifies a state: the version of the configuration in force, and the index of the replicated log that the
// state includes. Neither alone suffices: a message that names an index may have carried a configuration that was
// rejected, and a control host that has loaded a snapshot may name a low index.
type Position struct {
	Version, Index uint64
}

// covers reports whether a state at this position includes all of the state at another one.
func (p Position) covers(other Position) bool {
	return p.Version >= other.Version && p.Index >= other.Index
}

// Verifier decides when to ask for a confirmation and whether the state is confirmed. It is not safe for concurrent use.
type Verifier struct {
	limit, interval, retry time.Duration
	sequence               uint64
	// calls holds the times at which the calls in progress were sent.
	calls map[uint64]time.Duration
	// next is when the next call is due.
	next time.Duration
	// answers holds the answers whose position the host did not hold yet.
	answers []answer
	// held is the newest position that the host holds.
	held Position
	// confirmedAt is the time as of which the state is confirmed. It is meaningful only if confirmed is true.
	confirmed   bool
	confirmedAt time.Duration
}

// answer is the answer to a call.
type answer struct {
	sent     time.Duration
	position Position
}

// New returns a verifier of an unconfirmed state. Bound is the time after which a replaced state must no longer be relied
// on.
func New(bound time.Duration) *Verifier {
	return &Verifier{
		limit: bound * limitNumerator / limitDenominator, interval: bound / intervalDivisor, retry: bound / retryDivisor,
		calls: make(map[uint64]time.Duration),
	}
}

// Timeout returns the time after which an unanswered call should be given up.
func (v *Verifier) Timeout() time.Duration {
	return timeoutIntervals * v.interval
}

// Send returns the number of a call that is to be sent now, if one is due. The call must be sent after now was read from
// the clock.
func (v *Verifier) Send(now time.Duration) (uint64, bool) {
	v.discard(now)
	if now < v.next || len(v.calls) >= maxCalls {
		return 0, false
	}
	v.sequence++
	v.calls[v.sequence] = now
	v.next = now + v.interval
	return v.sequence, true
}

// discard removes calls that are overdue and answers that are too old to confirm anything. The answer to an overdue call
// is ignored, which is safe.
func (v *Verifier) discard(now time.Duration) {
	for number, sent := range v.calls {
		if now-sent > v.Timeout() {
			delete(v.calls, number)
		}
	}
	v.answers = slices.DeleteFunc(v.answers, func(a answer) bool { return now-a.sent >= v.limit })
}

// Wait returns the time until the next call is due, at least 0.
func (v *Verifier) Wait(now time.Duration) time.Duration {
	wait := max(0, v.next-now)
	if len(v.calls) >= maxCalls {
		return max(wait, v.retry)
	}
	return wait
}

// Follow makes a call due immediately, because another control host is followed. Calls in progress remain valid.
func (v *Verifier) Follow(now time.Duration) {
	v.next = min(v.next, now)
}

// Answer records the answer to a call: the position of a state that included everything acknowledged before the call was
// received.
func (v *Verifier) Answer(call uint64, p Position) {
	sent, ok := v.calls[call]
	if !ok {
		return
	}
	delete(v.calls, call)
	v.answers = append(v.answers, answer{sent: sent, position: p})
	v.settle()
}

// Fail records that a call has failed.
func (v *Verifier) Fail(call uint64, now time.Duration) {
	if _, ok := v.calls[call]; !ok {
		return
	}
	delete(v.calls, call)
	v.next = min(v.next, now+v.retry)
}

// Hold records that the host holds a state. Positions never decrease: a host does not return to an older state.
func (v *Verifier) Hold(p Position) {
	if p == v.held || !p.covers(v.held) {
		return
	}
	v.held = p
	v.settle()
}

// settle confirms the state by the answers whose position the host holds. The latest call counts; an answer to an earlier
// call confirms no more than that.
func (v *Verifier) settle() {
	for _, a := range v.answers {
		if v.held.covers(a.position) && (!v.confirmed || a.sent > v.confirmedAt) {
			v.confirmed, v.confirmedAt = true, a.sent
		}
	}
	v.answers = slices.DeleteFunc(v.answers, func(a answer) bool { return v.confirmed && a.sent <= v.confirmedAt })
}

// Confirmed reports whether the state may be relied on.
func (v *Verifier) Confirmed(now time.Duration) bool {
	return v.confirmed && now-v.confirmedAt < v.limit
}

// Age returns the time since the moment as of which the state is confirmed, and false if it never was.
func (v *Verifier) Age(now time.Duration) (time.Duration, bool) {
	return now - v.confirmedAt, v.confirmed
}

// Package registrar implements a ledger of idempotency keys and their outcomes, which guarantees that each
// non-idempotent request runs at most once.
package registrar

import (
	"container/heap"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// Window is the time after a key's issue for which its outcome is kept. Older keys are rejected.
	Window = 24 * time.Hour
	// Skew is the maximum time by which a key's issue may lie in the future, because callers' clocks differ.
	Skew = time.Minute
	// DefaultBytes is the default limit of the ledger's estimated memory: 64 MiB of the 256 MB that control may use on
	// a host.
	DefaultBytes = 64 << 20
	// entryOverhead is the estimated memory of an entry in bytes, without its strings and response: map, heap and
	// struct.
	entryOverhead = 320
	// responseReserve is the memory in bytes that is reserved for the response of each begun key, so that Finish never
	// runs out of memory.
	responseReserve = maxResponse
)

// Ledger is the replicated state machine of keys. It is not safe for concurrent use: the replicated log applies
// commands one after the other. The time is part of the command and never decreases.
type Ledger struct {
	limit   int
	size    int
	entries map[keyID]*entry
	queue   queue
}

// keyID identifies a key. Keys of different tenants are distinct.
type keyID struct{ tenant, key string }

type entry struct {
	id          keyID
	issued      time.Time
	attempt     string
	fingerprint uint64
	phase       statev1.Phase
	response    []byte // encoded, because the message takes more memory
	heapIndex   int    // index in the queue
}

// Option configures a ledger.
type Option func(*Ledger)

// WithBytes sets the limit of the estimated memory.
func WithBytes(n int) Option {
	return func(l *Ledger) { l.limit = n }
}

// New returns an empty ledger.
func New(options ...Option) *Ledger {
	l := &Ledger{limit: DefaultBytes, entries: make(map[keyID]*entry)}
	for _, o := range options {
		o(l)
	}
	return l
}

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int { return len(l.entries) }

// Size returns the estimated memory in bytes.
func (l *Ledger) Size() int { return l.size }

// Begin decides whether an attempt may run its request. Repeated calls by the attempt that holds the permission return
// the same result.
func (l *Ledger) Begin(b *statev1.Begin, now time.Time) *statev1.BeginResult {
	l.expire(now)
	if reason := CheckIssueTime(b.GetIssued().AsTime(), now); reason != callerv1.Reason_REASON_UNSPECIFIED {
		return &statev1.BeginResult{Reason: reason}
	}
	e, ok := l.entries[keyID{b.GetTenant(), b.GetKey()}]
	switch {
	case !ok:
		return l.grant(b)
	case e.phase == statev1.Phase_PHASE_FREED && e.attempt == b.GetAttempt():
		return &statev1.BeginResult{Reason: callerv1.Reason_REASON_CANCELLED}
	case e.phase == statev1.Phase_PHASE_FREED:
		l.remove(e)
		return l.grant(b)
	case e.phase == statev1.Phase_PHASE_BEGUN && e.attempt == b.GetAttempt():
		return &statev1.BeginResult{Run: true, Entry: e.message()}
	}
	return e.findResult(b)
}

// CheckIssueTime returns the reason for rejecting a key with this issue time, or REASON_UNSPECIFIED if it is valid.
func CheckIssueTime(issued, now time.Time) callerv1.Reason {
	switch {
	case !issued.Add(Window).After(now):
		return callerv1.Reason_REASON_KEY_EXPIRED
	case issued.After(now.Add(Skew)):
		return callerv1.Reason_REASON_KEY_EARLY
	default:
		return callerv1.Reason_REASON_UNSPECIFIED
	}
}

// grant grants the permission to run if there is memory for the entry and its response. A full ledger rejects new keys;
// evicting an old one would allow its request to run again.
func (l *Ledger) grant(b *statev1.Begin) *statev1.BeginResult {
	e := &entry{
		id: keyID{b.GetTenant(), b.GetKey()}, issued: b.GetIssued().AsTime(), attempt: b.GetAttempt(),
		fingerprint: b.GetFingerprint(), phase: statev1.Phase_PHASE_BEGUN,
	}
	if l.size+e.size() > l.limit {
		return &statev1.BeginResult{Reason: callerv1.Reason_REASON_OVERLOADED}
	}
	l.insert(e)
	return &statev1.BeginResult{Run: true, Entry: e.message()}
}

// findResult returns the result of Begin for an attempt other than the one that holds the key.
func (e *entry) findResult(b *statev1.Begin) *statev1.BeginResult {
	if e.fingerprint != b.GetFingerprint() || !e.issued.Equal(b.GetIssued().AsTime()) {
		return &statev1.BeginResult{Reason: callerv1.Reason_REASON_KEY_CONFLICT}
	}
	return &statev1.BeginResult{Entry: e.message()}
}

// Finish stores the outcome of the attempt that holds the permission, or frees the key if the request was not sent.
func (l *Ledger) Finish(f *statev1.Finish, now time.Time) *statev1.FinishResult {
	l.expire(now)
	e, ok := l.entries[keyID{f.GetTenant(), f.GetKey()}]
	switch {
	case !ok && f.GetUnsent():
		return &statev1.FinishResult{Stored: l.blockAttempt(f, now)}
	case !ok || e.attempt != f.GetAttempt():
		return &statev1.FinishResult{}
	case e.phase != statev1.Phase_PHASE_BEGUN:
		return &statev1.FinishResult{Stored: f.GetUnsent() == (e.phase == statev1.Phase_PHASE_FREED)}
	}
	l.size -= e.size()
	if f.GetUnsent() {
		e.phase = statev1.Phase_PHASE_FREED
	} else {
		e.phase = statev1.Phase_PHASE_FINISHED
		e.response = EncodeResponse(f.GetResponse())
	}
	l.size += e.size()
	return &statev1.FinishResult{Stored: true}
}

// blockAttempt records an attempt that ended before its Begin arrived, so that a delayed Begin does not hold the key
// for a request that will never run.
func (l *Ledger) blockAttempt(f *statev1.Finish, now time.Time) bool {
	e := &entry{id: keyID{f.GetTenant(), f.GetKey()}, issued: now.Add(Skew), attempt: f.GetAttempt(), phase: statev1.Phase_PHASE_FREED}
	if l.size+e.size() > l.limit {
		return false
	}
	l.insert(e)
	return true
}

// Find returns the entry of a key.
func (l *Ledger) Find(tenant, key string) (*statev1.Entry, bool) {
	e, ok := l.entries[keyID{tenant, key}]
	if !ok {
		return nil, false
	}
	return e.message(), true
}

// FindResult returns the result of Begin for an attempt other than the one that holds the key, without changing the state.
// It returns false when the result requires a Begin in the log. A result from a state that lags behind is still valid:
// a finished key remains finished, and the request of a begun key may have run.
func (l *Ledger) FindResult(b *statev1.Begin) (*statev1.BeginResult, bool) {
	e, ok := l.entries[keyID{b.GetTenant(), b.GetKey()}]
	if !ok || e.phase == statev1.Phase_PHASE_FREED || e.attempt == b.GetAttempt() {
		return nil, false
	}
	return e.findResult(b), true
}

func (l *Ledger) insert(e *entry) {
	if _, ok := l.entries[e.id]; ok {
		panic(fmt.Sprintf("invariant one_entry: key %q of tenant %q has an entry", e.id.key, e.id.tenant))
	}
	l.entries[e.id] = e
	heap.Push(&l.queue, e)
	l.size += e.size()
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.id)
	heap.Remove(&l.queue, e.heapIndex)
	l.size -= e.size()
}

// expire removes keys whose window has passed. Begin rejects their issue times from then on.
func (l *Ledger) expire(now time.Time) {
	for len(l.queue) > 0 && !l.queue[0].issued.Add(Window).After(now) {
		l.remove(l.queue[0])
	}
}

// size returns the estimated memory in bytes. A begun key counts with the maximum size of a response.
func (e *entry) size() int {
	out := entryOverhead + len(e.id.tenant) + len(e.id.key) + len(e.attempt)
	if e.phase == statev1.Phase_PHASE_BEGUN {
		return out + responseReserve
	}
	return out + len(e.response)
}

// decodedResponse returns the stored response. Decoding cannot fail for data written by EncodeResponse.
func (e *entry) decodedResponse() *callerv1.QueryResponse {
	if e.phase != statev1.Phase_PHASE_FINISHED {
		return nil
	}
	out := &callerv1.QueryResponse{}
	if err := proto.Unmarshal(e.response, out); err != nil {
		panic(fmt.Sprintf("invariant stored_response: %v", err))
	}
	return out
}

// Package registrar decides which non-idempotent requests may run: the at-most-once ledger of keys and outcomes.
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
	// Window is the time from a key's issue for which its outcome is kept. An older key is refused.
	Window = 24 * time.Hour
	// Skew is how far in the future a key may be issued, because callers' clocks differ.
	Skew = time.Minute
	// DefaultBytes bounds the ledger's estimated memory: 64 MiB of the 256 MB that control may use on a host.
	DefaultBytes = 64 << 20
	// overhead is the estimated memory of an entry beside its strings and its response: map, heap and struct.
	overhead = 320
	// reserve is kept free for the response of each key that is begun, so that a Finish is never refused.
	reserve = maxResponse
)

// Ledger is the replicated state machine of keys. It is not safe for concurrent use: the replicated log applies
// one command after the other. Time comes with the command and never goes back.
type Ledger struct {
	limit   int
	size    int
	entries map[name]*entry
	queue   queue
}

// name identifies a key; tenants do not share keys.
type name struct{ tenant, key string }

type entry struct {
	name        name
	issued      time.Time
	attempt     string
	fingerprint uint64
	phase       statev1.Phase
	response    []byte // encoded, which takes less memory than the message
	place       int    // in the queue
}

// Option changes a ledger.
type Option func(*Ledger)

// WithBytes sets the bound of the estimated memory.
func WithBytes(n int) Option {
	return func(l *Ledger) { l.limit = n }
}

// New returns an empty ledger.
func New(options ...Option) *Ledger {
	l := &Ledger{limit: DefaultBytes, entries: make(map[name]*entry)}
	for _, o := range options {
		o(l)
	}
	return l
}

// Len returns the number of keys kept.
func (l *Ledger) Len() int { return len(l.entries) }

// Size returns the estimated memory in bytes.
func (l *Ledger) Size() int { return l.size }

// Begin decides whether an attempt may run its request. The answer for the attempt that holds the permission is
// the same however often its Begin arrives.
func (l *Ledger) Begin(b *statev1.Begin, now time.Time) *statev1.BeginResult {
	l.expire(now)
	if reason := Timely(b.GetIssued().AsTime(), now); reason != callerv1.Reason_REASON_UNSPECIFIED {
		return &statev1.BeginResult{Reason: reason}
	}
	e, ok := l.entries[name{b.GetTenant(), b.GetKey()}]
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
	return e.resend(b)
}

// Timely returns the reason for which a key of this issue time is refused, or none.
func Timely(issued, now time.Time) callerv1.Reason {
	switch {
	case !issued.Add(Window).After(now):
		return callerv1.Reason_REASON_KEY_EXPIRED
	case issued.After(now.Add(Skew)):
		return callerv1.Reason_REASON_KEY_EARLY
	default:
		return callerv1.Reason_REASON_UNSPECIFIED
	}
}

// grant gives the permission to run, if there is memory for the entry and its response. A ledger that is full
// refuses new keys; forgetting an old one would let it run again.
func (l *Ledger) grant(b *statev1.Begin) *statev1.BeginResult {
	e := &entry{
		name: name{b.GetTenant(), b.GetKey()}, issued: b.GetIssued().AsTime(), attempt: b.GetAttempt(),
		fingerprint: b.GetFingerprint(), phase: statev1.Phase_PHASE_BEGUN,
	}
	if l.size+e.size() > l.limit {
		return &statev1.BeginResult{Reason: callerv1.Reason_REASON_OVERLOADED}
	}
	l.insert(e)
	return &statev1.BeginResult{Run: true, Entry: e.message()}
}

// resend answers a Begin of another attempt than the one that holds the key.
func (e *entry) resend(b *statev1.Begin) *statev1.BeginResult {
	if e.fingerprint != b.GetFingerprint() || !e.issued.Equal(b.GetIssued().AsTime()) {
		return &statev1.BeginResult{Reason: callerv1.Reason_REASON_KEY_CONFLICT}
	}
	return &statev1.BeginResult{Entry: e.message()}
}

// Finish stores the outcome of the attempt that holds the permission, or frees the key when nothing was sent.
func (l *Ledger) Finish(f *statev1.Finish, now time.Time) *statev1.FinishResult {
	l.expire(now)
	e, ok := l.entries[name{f.GetTenant(), f.GetKey()}]
	switch {
	case !ok && f.GetUnsent():
		return &statev1.FinishResult{Stored: l.bar(f, now)}
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
		e.response = Bounded(f.GetResponse())
	}
	l.size += e.size()
	return &statev1.FinishResult{Stored: true}
}

// bar remembers an attempt that ended before its Begin arrived, so that a Begin delayed in the network does not
// hold the key for a request that nobody will run.
func (l *Ledger) bar(f *statev1.Finish, now time.Time) bool {
	e := &entry{name: name{f.GetTenant(), f.GetKey()}, issued: now.Add(Skew), attempt: f.GetAttempt(), phase: statev1.Phase_PHASE_FREED}
	if l.size+e.size() > l.limit {
		return false
	}
	l.insert(e)
	return true
}

// Find returns the entry of a key.
func (l *Ledger) Find(tenant, key string) (*statev1.Entry, bool) {
	e, ok := l.entries[name{tenant, key}]
	if !ok {
		return nil, false
	}
	return e.message(), true
}

// Resend answers from the state, without a change, the Begin of another attempt than the one that holds the key.
// It reports false when the answer needs a Begin in the log. An answer from a state that lags is still true:
// a finished key stays finished, and one that was begun may have run.
func (l *Ledger) Resend(b *statev1.Begin) (*statev1.BeginResult, bool) {
	e, ok := l.entries[name{b.GetTenant(), b.GetKey()}]
	if !ok || e.phase == statev1.Phase_PHASE_FREED || e.attempt == b.GetAttempt() {
		return nil, false
	}
	return e.resend(b), true
}

func (l *Ledger) insert(e *entry) {
	if _, ok := l.entries[e.name]; ok {
		panic(fmt.Sprintf("invariant one_entry: key %q of tenant %q has an entry", e.name.key, e.name.tenant))
	}
	l.entries[e.name] = e
	heap.Push(&l.queue, e)
	l.size += e.size()
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.name)
	heap.Remove(&l.queue, e.place)
	l.size -= e.size()
}

// expire forgets keys whose window has passed; a Begin with such an issue time is refused from then on.
func (l *Ledger) expire(now time.Time) {
	for len(l.queue) > 0 && !l.queue[0].issued.Add(Window).After(now) {
		l.remove(l.queue[0])
	}
}

// size returns the estimated memory in bytes; a begun key counts with the largest response.
func (e *entry) size() int {
	out := overhead + len(e.name.tenant) + len(e.name.key) + len(e.attempt)
	if e.phase == statev1.Phase_PHASE_BEGUN {
		return out + reserve
	}
	return out + len(e.response)
}

// decoded returns the stored response; what Bounded wrote can always be read.
func (e *entry) decoded() *callerv1.QueryResponse {
	if e.phase != statev1.Phase_PHASE_FINISHED {
		return nil
	}
	out := &callerv1.QueryResponse{}
	if err := proto.Unmarshal(e.response, out); err != nil {
		panic(fmt.Sprintf("invariant stored_response: %v", err))
	}
	return out
}

package quarantiner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lostLimit is the number of consecutive, non-overlapping lost requests after which a fingerprint is blocked. Within one
	// outage, callers repeat an innocent request less often, and other requests with the same fingerprint are answered.
	lostLimit = 3
	// BlockTime is the time for which a fingerprint in a ledger stays suspected or blocked after its last lost request.
	BlockTime = 10 * time.Minute
	// maxRequests bounds the lost requests that are kept for a fingerprint, and the forgiven ones.
	maxRequests = 16
)

// Lost is a request during which all servers that it was sent to failed without an answer.
type Lost struct {
	// ID is unique among the requests of all callers.
	ID string
	// Began and Ended are when the request was received and when it ended, by the clock of the host that holds this value.
	Began, Ended time.Time
}

// Loss is what is known about one fingerprint. Merging the losses of different hosts is commutative and idempotent.
type Loss struct {
	Fingerprint uint64
	// Lost holds the lost requests; if the fingerprint is blocked, those on which the block is based.
	Lost []Lost
	// Forgiven holds the IDs of lost requests after which another request of the fingerprint was answered.
	Forgiven []string
	Blocked  bool
	// Until is when the block ends, by the clock of the host that holds this value. Hosts that learn of the block later do not
	// extend it.
	Until time.Time
}

// Ledger tracks requests that are suspected of crashing the servers that run them, on hosts that run no canaries. A host
// records its observations with RecordLoss and RecordAnswer and distributes the results, which other hosts add with Merge. It is safe for
// concurrent use. One lock is enough, because suspects are few and a request takes no lock while there are none.
type Ledger struct {
	suspects atomic.Int64

	mu       sync.Mutex
	revision uint64
	entries  map[uint64]*entry
	// changed is closed and replaced with each new revision.
	changed chan struct{}
}

type entry struct {
	loss     Loss
	expires  time.Time
	revision uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: make(map[uint64]*entry), changed: make(chan struct{})}
}

// IsEmpty reports whether there are no suspects.
func (l *Ledger) IsEmpty() bool {
	return l.suspects.Load() == 0
}

// Blocked returns how much longer requests of a fingerprint must be rejected; 0 if they may run.
func (l *Ledger) Blocked(fingerprint uint64, now time.Time) time.Duration {
	if l.IsEmpty() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[fingerprint]
	if !ok || !e.loss.Blocked {
		return 0
	}
	return max(0, e.loss.Until.Sub(now))
}

// Suspected reports whether a request of a fingerprint was lost and none was answered since. Requests of such a fingerprint are to
// run one at a time.
func (l *Ledger) Suspected(fingerprint uint64, now time.Time) bool {
	if l.IsEmpty() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[fingerprint]
	return ok && !e.loss.Blocked && now.Before(e.expires) && len(e.loss.unforgiven()) > 0
}

// Find returns what is known about a fingerprint.
func (l *Ledger) Find(fingerprint uint64, now time.Time) Loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[fingerprint]; ok && now.Before(e.expires) {
		return e.loss.clone()
	}
	return Loss{Fingerprint: fingerprint}
}

// RecordLoss records a lost request and returns what is known about its fingerprint.
func (l *Ledger) RecordLoss(fingerprint uint64, request string, began, now time.Time) Loss {
	out, _ := l.Merge(Loss{Fingerprint: fingerprint, Lost: []Lost{{ID: request, Began: began, Ended: now}}}, now)
	return out
}

// RecordAnswer records that a server has answered a request. It returns what is known about the fingerprint and reports whether
// that has changed. A blocked fingerprint stays blocked, because the answer belongs to a request sent before the block.
func (l *Ledger) RecordAnswer(fingerprint uint64, now time.Time) (Loss, bool) {
	if l.IsEmpty() {
		return Loss{}, false
	}
	l.mu.Lock()
	e, ok := l.entries[fingerprint]
	if !ok || e.loss.Blocked || !now.Before(e.expires) || len(e.loss.unforgiven()) == 0 {
		l.mu.Unlock()
		return Loss{}, false
	}
	forgiven := Loss{Fingerprint: fingerprint, Forgiven: ids(e.loss.unforgiven())}
	l.mu.Unlock()
	return l.Merge(forgiven, now)
}

// Merge merges what another host knows. It returns the combined knowledge and reports whether it has changed.
func (l *Ledger) Merge(in Loss, now time.Time) (Loss, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	e, ok := l.entries[in.Fingerprint]
	if !ok {
		if len(l.entries) >= maxSuspects {
			l.evict()
		}
		e = &entry{loss: Loss{Fingerprint: in.Fingerprint}, expires: now.Add(BlockTime)}
		l.entries[in.Fingerprint] = e
	}
	changed := e.loss.merge(in, now)
	switch {
	case changed:
		l.revision++
		e.revision = l.revision
		close(l.changed)
		l.changed = make(chan struct{})
		e.expires = e.loss.expiry(now)
	case !ok:
		delete(l.entries, in.Fingerprint)
	}
	l.suspects.Store(int64(len(l.entries)))
	return e.loss.clone(), changed
}

// Since returns the losses that have changed after a revision, and the current revision. Revision 0 returns all losses.
func (l *Ledger) Since(revision uint64, now time.Time) ([]Loss, uint64) {
	if l.IsEmpty() {
		return nil, revision
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var out []Loss
	for _, e := range l.entries {
		if e.revision > revision {
			out = append(out, e.loss.clone())
		}
	}
	return out, l.revision
}

// Changed returns a channel that is closed at the next change.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Blocks returns the blocked fingerprints.
func (l *Ledger) Blocks(now time.Time) []Loss {
	losses, _ := l.Since(0, now)
	return slices.DeleteFunc(losses, func(known Loss) bool { return !known.Blocked })
}

// expire removes the expired fingerprints. The caller must hold l.mu.
func (l *Ledger) expire(now time.Time) {
	for fingerprint, e := range l.entries {
		if !now.Before(e.expires) {
			delete(l.entries, fingerprint)
		}
	}
	l.suspects.Store(int64(len(l.entries)))
}

// evict removes the fingerprint that expires first, preferring fingerprints that are not blocked. The caller must hold l.mu.
func (l *Ledger) evict() {
	var first *entry
	for _, e := range l.entries {
		if first == nil || first.loss.Blocked && !e.loss.Blocked ||
			first.loss.Blocked == e.loss.Blocked && e.expires.Before(first.expires) {
			first = e
		}
	}
	delete(l.entries, first.loss.Fingerprint)
}

// unforgiven returns the lost requests that are not forgiven.
func (l *Loss) unforgiven() []Lost {
	return slices.DeleteFunc(slices.Clone(l.Lost), func(r Lost) bool { return slices.Contains(l.Forgiven, r.ID) })
}

// consecutive returns the largest set of unforgiven lost requests that did not overlap in time. Overlapping requests
// count once, because a single server failure that none of them caused may have ended all of them.
func (l *Loss) consecutive() []Lost {
	list := l.unforgiven()
	slices.SortFunc(list, func(a, b Lost) int { return a.Ended.Compare(b.Ended) })
	var out []Lost
	for _, r := range list {
		if len(out) == 0 || r.Began.After(out[len(out)-1].Ended) {
			out = append(out, r)
		}
	}
	return out
}

// IDs returns the IDs of the lost requests.
func (l *Loss) IDs() []string {
	return ids(l.Lost)
}

// ids returns the IDs of requests.
func ids(list []Lost) []string {
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.ID)
	}
	return out
}

// missing returns the distinct elements of the first list that are not in the second.
func missing(list, without []string) []string {
	var out []string
	for _, s := range list {
		if !slices.Contains(without, s) && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// expiry returns when the fingerprint expires.
func (l *Loss) expiry(now time.Time) time.Time {
	switch {
	case l.Blocked:
		return l.Until
	case len(l.Lost) == 0:
		return now.Add(BlockTime)
	}
	return l.lastEnded().Add(BlockTime)
}

// lastEnded returns the latest end of a lost request.
func (l *Loss) lastEnded() time.Time {
	return slices.MaxFunc(l.Lost, func(a, b Lost) int { return a.Ended.Compare(b.Ended) }).Ended
}

// block blocks the fingerprint until the given time, because of the given lost requests.
func (l *Loss) block(until time.Time, grounds []Lost) {
	l.Blocked, l.Until, l.Lost, l.Forgiven = true, until, latest(grounds), nil
}

// merge merges another host's knowledge and reports whether it was new. Expired knowledge is ignored.
func (l *Loss) merge(in Loss, now time.Time) bool {
	if l.Blocked {
		return false
	}
	if in.Blocked {
		if !now.Before(in.Until) {
			return false
		}
		l.block(in.Until, in.Lost)
		return true
	}
	in.Lost = slices.DeleteFunc(slices.Clone(in.Lost), func(r Lost) bool { return now.Sub(r.Ended) >= BlockTime })
	lost, forgiven := missing(ids(in.Lost), ids(l.Lost)), missing(in.Forgiven, l.Forgiven)
	if len(lost)+len(forgiven) == 0 {
		return false
	}
	l.Forgiven = latest(append(l.Forgiven, forgiven...))
	for _, r := range in.Lost {
		if i := slices.Index(lost, r.ID); i >= 0 {
			lost = slices.Delete(lost, i, i+1)
			l.Lost = append(l.Lost, r)
		}
	}
	l.Lost = latest(l.Lost)
	if grounds := l.consecutive(); len(grounds) >= lostLimit {
		l.block(l.lastEnded().Add(BlockTime), grounds)
	}
	return true
}

// latest returns the last maxRequests elements of a list.
func latest[T any](list []T) []T {
	if len(list) > maxRequests {
		return slices.Clone(list[len(list)-maxRequests:])
	}
	return list
}

func (l *Loss) clone() Loss {
	return Loss{Fingerprint: l.Fingerprint, Lost: slices.Clone(l.Lost), Forgiven: slices.Clone(l.Forgiven), Blocked: l.Blocked, Until: l.Until}
}

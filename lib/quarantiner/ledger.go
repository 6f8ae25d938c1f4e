package quarantiner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lostLimit is the number of requests of one fingerprint, one after the other, each of which lost its servers without
	// an answer, after which the fingerprint is blocked. Callers repeat an innocent request less often within the time
	// that one outage lasts, and other requests like it are answered meanwhile.
	lostLimit = 3
	// BlockTime is the time for which a fingerprint of a ledger stays a suspect or blocked after it was last lost.
	BlockTime = 10 * time.Minute
	// maxRequests bounds the requests of a fingerprint that are remembered as lost, and as answered for.
	maxRequests = 16
)

// Lost is a request that lost the servers that it was sent to, without an answer of any.
type Lost struct {
	// ID identifies the request among all of all callers.
	ID string
	// Began and Ended are when it was received and when it was over, by the clock of the host that holds this.
	Began, Ended time.Time
}

// Loss is what is known of one fingerprint. Losses that different hosts know of are merged in any order and any number
// of times.
type Loss struct {
	Fingerprint uint64
	Lost        []Lost
	// Forgiven are the identities of those of them after which a request of the fingerprint was answered.
	Forgiven []string
	Blocked  bool
	// Until is when a block ends, by the clock of the host that holds this. Hosts that hear of it later do not prolong it.
	Until time.Time
}

// Ledger knows requests that may end the servers that run them, on hosts that run no canaries. A host notes what it sees
// with Note and Clear and passes the result on; others take it with Merge. It is safe for concurrent use. It has one lock:
// there are few suspects, and without any a request takes no lock.
type Ledger struct {
	suspects atomic.Int64

	mu       sync.Mutex
	revision uint64
	entries  map[uint64]*entry
}

type entry struct {
	loss     Loss
	expires  time.Time
	revision uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: make(map[uint64]*entry)}
}

// IsEmpty reports whether nothing is suspected.
func (l *Ledger) IsEmpty() bool {
	return l.suspects.Load() == 0
}

// Blocked returns for how long requests of a fingerprint are still to be refused; 0 when they may run.
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

// Note notes a request that lost its servers without an answer, and returns what is known of its fingerprint.
func (l *Ledger) Note(fingerprint uint64, request string, began, now time.Time) Loss {
	out, _ := l.Merge(Loss{Fingerprint: fingerprint, Lost: []Lost{{ID: request, Began: began, Ended: now}}}, now)
	return out
}

// Clear notes that a server has answered a request. It returns what is known of the fingerprint, and reports whether
// that has changed. A blocked one stays blocked: the answer belongs to a request that was sent before.
func (l *Ledger) Clear(fingerprint uint64, now time.Time) (Loss, bool) {
	if l.IsEmpty() {
		return Loss{}, false
	}
	l.mu.Lock()
	e, ok := l.entries[fingerprint]
	if !ok || e.loss.Blocked || !now.Before(e.expires) || len(e.loss.open()) == 0 {
		l.mu.Unlock()
		return Loss{}, false
	}
	forgiven := Loss{Fingerprint: fingerprint, Forgiven: ids(e.loss.open())}
	l.mu.Unlock()
	return l.Merge(forgiven, now)
}

// Merge adds what another host knows. It returns what is known now, and reports whether that is more than before.
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
		e.expires = e.loss.ends(now)
	case !ok:
		delete(l.entries, in.Fingerprint)
	}
	l.suspects.Store(int64(len(l.entries)))
	return e.loss.clone(), changed
}

// Since returns what has become known after a revision, and the present revision. Zero stands for everything.
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

// expire forgets the fingerprints whose time has passed; the lock must be held.
func (l *Ledger) expire(now time.Time) {
	for fingerprint, e := range l.entries {
		if !now.Before(e.expires) {
			delete(l.entries, fingerprint)
		}
	}
	l.suspects.Store(int64(len(l.entries)))
}

// evict forgets the fingerprint that expires first, one that is not blocked if there is one; the lock must be held.
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

// open lists the lost requests that nothing speaks for.
func (l *Loss) open() []Lost {
	return slices.DeleteFunc(slices.Clone(l.Lost), func(r Lost) bool { return slices.Contains(l.Forgiven, r.ID) })
}

// inTurn returns the largest number of lost requests that came one after the other. Those that were on their way at one
// time may have been lost with one server for which none of them is to blame.
func (l *Loss) inTurn() int {
	open := l.open()
	slices.SortFunc(open, func(a, b Lost) int { return a.Ended.Compare(b.Ended) })
	count := 0
	var last time.Time
	for _, r := range open {
		if count == 0 || r.Began.After(last) {
			count++
			last = r.Ended
		}
	}
	return count
}

// ids lists the identities of requests.
func ids(list []Lost) []string {
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.ID)
	}
	return out
}

// missing returns what stands in the first list and not in the second, each once.
func missing(list, without []string) []string {
	var out []string
	for _, s := range list {
		if !slices.Contains(without, s) && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// ends returns when the fingerprint is to be forgotten.
func (l *Loss) ends(now time.Time) time.Time {
	switch {
	case l.Blocked:
		return l.Until
	case len(l.Lost) == 0:
		return now.Add(BlockTime)
	}
	return l.newest().Add(BlockTime)
}

// newest returns when the last of the lost requests was over.
func (l *Loss) newest() time.Time {
	return slices.MaxFunc(l.Lost, func(a, b Lost) int { return a.Ended.Compare(b.Ended) }).Ended
}

// block refuses the fingerprint until a time.
func (l *Loss) block(until time.Time) {
	l.Blocked, l.Until, l.Lost, l.Forgiven = true, until, nil, nil
}

// merge adds another host's knowledge and reports whether it was new. What is too old by now is nothing new.
func (l *Loss) merge(in Loss, now time.Time) bool {
	if l.Blocked {
		return false
	}
	if in.Blocked {
		if !now.Before(in.Until) {
			return false
		}
		l.block(in.Until)
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
	if l.inTurn() >= lostLimit {
		l.block(l.newest().Add(BlockTime))
	}
	return true
}

// latest drops what was added first when there is too much.
func latest[T any](list []T) []T {
	if len(list) > maxRequests {
		return slices.Clone(list[len(list)-maxRequests:])
	}
	return list
}

func (l *Loss) clone() Loss {
	return Loss{Fingerprint: l.Fingerprint, Lost: slices.Clone(l.Lost), Forgiven: slices.Clone(l.Forgiven), Blocked: l.Blocked, Until: l.Until}
}

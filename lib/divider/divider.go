// Package divider divides a query over many shards into portions and chooses the hosts that gather them. A host that
// gathers a few shards only keeps its connections to their leaves warm, knows these leaves better, and takes in a part
// of the bytes; the host that asks gets merged records.
package divider

import (
	"sync"
	"time"
)

const (
	// alternatives is the number of hosts from which one host chooses for a portion. Two are enough to go round a host
	// that is lost or slow, and few connections are needed.
	alternatives = 2
	// lostTime is how long a host that gave no answer is not asked.
	lostTime = 2 * time.Second
	// smoothing is the weight of a new duration.
	smoothing = 0.3
	// slowHalflife is the time in which evidence on a slow host halves.
	slowHalflife = 4 * time.Second
)

// Table holds what this host has seen of the hosts that gather for it. It is safe for concurrent use.
type Table struct {
	self string
	// gatherers is the number of hosts of a data centre that gather one portion.
	gatherers int

	mu    sync.Mutex
	hosts map[string]*record
	// duties holds since when this host has been responsible for each portion.
	duties map[string]time.Time
}

type record struct {
	open  int
	until time.Time
	took  time.Duration
	at    time.Time
}

// New returns the table of a host, which is named by its address. Gatherers is the number of hosts of a data centre that
// gather one portion.
func New(self string, gatherers int) *Table {
	return &Table{self: self, gatherers: max(gatherers, 1), hosts: make(map[string]*record), duties: make(map[string]time.Time)}
}

// Self returns this host's own address.
func (t *Table) Self() string {
	return t.self
}

// Choose returns the candidate that is expected to answer first. It returns this host's own address when no other one
// can be asked. Usable reports whether a host can be asked at once.
func (t *Table) Choose(candidates []string, usable func(string) bool, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, least := t.self, time.Duration(0)
	for _, h := range candidates {
		if h == t.self || !usable(h) {
			continue
		}
		cost, ok := t.cost(h, now)
		if ok && (best == t.self || cost < least) {
			best, least = h, cost
		}
	}
	return best
}

// cost estimates how long a host takes; it reports false for one that lately gave no answer.
func (t *Table) cost(host string, now time.Time) (time.Duration, bool) {
	r, ok := t.hosts[host]
	if !ok {
		return 0, true
	}
	if now.Before(r.until) {
		return 0, false
	}
	if now.Sub(r.at) > slowHalflife {
		return 0, true
	}
	return time.Duration(r.open+1) * r.took, true
}

// Begin notes that a host is asked.
func (t *Table) Begin(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(host).open++
}

func (t *Table) record(host string) *record {
	r, ok := t.hosts[host]
	if !ok {
		r = &record{}
		t.hosts[host] = r
	}
	return r
}

// Answered notes how long a host took for the first parts.
func (t *Table) Answered(host string, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(host)
	r.until = time.Time{}
	if r.at.IsZero() || now.Sub(r.at) > slowHalflife {
		r.took = took
	}
	r.took += time.Duration(smoothing * float64(took-r.took))
	r.at = now
}

// Heard returns when one of some hosts last answered, or the zero time.
func (t *Table) Heard(hosts []string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out time.Time
	for _, h := range hosts {
		if r, ok := t.hosts[h]; ok && r.at.After(out) {
			out = r.at
		}
	}
	return out
}

// End notes that a host is no longer awaited. Lost says that it gave no answer though it had the time.
func (t *Table) End(host string, lost bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(host)
	r.open--
	if lost {
		r.until = now.Add(lostTime)
	}
}

// Keep forgets all hosts but those that are given.
func (t *Table) Keep(hosts []string) {
	kept := make(map[string]*record, len(hosts))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range hosts {
		if r, ok := t.hosts[h]; ok {
			kept[h] = r
		}
	}
	for h, r := range t.hosts {
		if r.open > 0 {
			kept[h] = r
		}
	}
	t.hosts = kept
}

// Duties notes the portions for which this host is responsible now.
func (t *Table) Duties(keys []string, now time.Time) {
	next := make(map[string]time.Time, len(keys))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		since, ok := t.duties[key]
		if !ok {
			since = now
		}
		next[key] = since
	}
	t.duties = next
}

// OnDuty reports whether this host has been responsible for a portion for a time. What the hosts that are responsible
// share among them may then be used here: the host that was responsible before no longer uses it, and neither does this
// host's process before its last start.
func (t *Table) OnDuty(key string, least time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.duties[key]
	return ok && now.Sub(since) >= least
}

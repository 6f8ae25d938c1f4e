// Package divider divides a query over many shards into portions and chooses the hosts that gather them. A host that
// gathers only a few shards keeps its connections to their leaves warm, has more recent measurements of these leaves,
// and receives only a fraction of the bytes. The host that delegates a portion receives merged records.
package divider

import (
	"sync"
	"time"
)

const (
	// maxCandidates is the number of hosts from which one host chooses for a portion. Two are enough to avoid a host that
	// is unresponsive or slow, and need few connections.
	maxCandidates = 2
	// retryDelay is how long a host that did not answer is not chosen again.
	retryDelay = 2 * time.Second
	// smoothing is the weight of a new latency measurement.
	smoothing = 0.3
	// latencyLifetime is the age from which a latency measurement is ignored.
	latencyLifetime = 4 * time.Second
)

// Table holds this host's measurements of the hosts that gather portions for it. It is safe for concurrent use.
type Table struct {
	self string
	// gatherers is the number of hosts of a data centre that gather one portion.
	gatherers int

	mu    sync.Mutex
	hosts map[string]*hostStats
	// responsibleSince holds the time since which this host has been responsible for each portion.
	responsibleSince map[string]time.Time
}

type hostStats struct {
	pending    int
	retryAt    time.Time
	latency    time.Duration
	measuredAt time.Time
}

// New returns the table of the host with address self. Gatherers is the number of hosts of a data centre that gather
// one portion.
func New(self string, gatherers int) *Table {
	return &Table{self: self, gatherers: max(gatherers, 1), hosts: make(map[string]*hostStats), responsibleSince: make(map[string]time.Time)}
}

// Self returns this host's own address.
func (t *Table) Self() string {
	return t.self
}

// Choose returns the candidate that is expected to answer first, or this host's own address when no other host can be
// used. Usable reports whether a request can be sent to a host immediately.
func (t *Table) Choose(candidates []string, usable func(string) bool, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, least := t.self, time.Duration(0)
	for _, h := range candidates {
		if h == t.self || !usable(h) {
			continue
		}
		expected, ok := t.expectedTime(h, now)
		if ok && (best == t.self || expected < least) {
			best, least = h, expected
		}
	}
	return best
}

// expectedTime estimates how long a host takes to answer. It reports false for one that recently failed to answer.
func (t *Table) expectedTime(host string, now time.Time) (time.Duration, bool) {
	r, ok := t.hosts[host]
	if !ok {
		return 0, true
	}
	if now.Before(r.retryAt) {
		return 0, false
	}
	if now.Sub(r.measuredAt) > latencyLifetime {
		return 0, true
	}
	return time.Duration(r.pending+1) * r.latency, true
}

// Begin records that a portion is requested from a host.
func (t *Table) Begin(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats(host).pending++
}

func (t *Table) stats(host string) *hostStats {
	r, ok := t.hosts[host]
	if !ok {
		r = &hostStats{}
		t.hosts[host] = r
	}
	return r
}

// Answered records how long a host took to return the first parts.
func (t *Table) Answered(host string, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.stats(host)
	r.retryAt = time.Time{}
	if r.measuredAt.IsZero() || now.Sub(r.measuredAt) > latencyLifetime {
		r.latency = latency
	}
	r.latency += time.Duration(smoothing * float64(latency-r.latency))
	r.measuredAt = now
}

// LastAnswered returns when any of the hosts last answered, or the zero time.
func (t *Table) LastAnswered(hosts []string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out time.Time
	for _, h := range hosts {
		if r, ok := t.hosts[h]; ok && r.measuredAt.After(out) {
			out = r.measuredAt
		}
	}
	return out
}

// End records that a request to a host has ended. Lost is true when the host did not answer although it had the time.
func (t *Table) End(host string, lost bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.stats(host)
	r.pending--
	if lost {
		r.retryAt = now.Add(retryDelay)
	}
}

// Retain removes the measurements of all hosts except the given ones and those with pending requests.
func (t *Table) Retain(hosts []string) {
	kept := make(map[string]*hostStats, len(hosts))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range hosts {
		if r, ok := t.hosts[h]; ok {
			kept[h] = r
		}
	}
	for h, r := range t.hosts {
		if r.pending > 0 {
			kept[h] = r
		}
	}
	t.hosts = kept
}

// SetResponsible sets the portions for which this host is responsible now.
func (t *Table) SetResponsible(keys []string, now time.Time) {
	next := make(map[string]time.Time, len(keys))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		since, ok := t.responsibleSince[key]
		if !ok {
			since = now
		}
		next[key] = since
	}
	t.responsibleSince = next
}

// IsResponsible reports whether this host has been responsible for a portion for at least the given time. After that it may
// use its share of a resource that the portion's responsible hosts divide among them: neither the host that was
// responsible before nor this host's previous process uses it any more.
func (t *Table) IsResponsible(key string, minDuration time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.responsibleSince[key]
	return ok && now.Sub(since) >= minDuration
}

// Package balancer chooses among the replicas of a shard by the power of two choices on outstanding calls times
// smoothed latency, as measured by the calls of this host.
package balancer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// parts divides the leaves between locks.
	parts = 64
	// smoothing is the weight of a new measurement.
	smoothing = 0.1
	// failure multiplies the latency of a leaf that failed, so that a leaf that fails fast does not look fast.
	failure = 2
	// floor is the least latency that a failure counts as.
	floor = time.Millisecond
	// halflife is the time in which the measured latency of an unused leaf halves, so that it is tried again.
	halflife = 5 * time.Second
	// keep is the time after which an unused leaf is forgotten; crowd is the number of leaves of a part at which
	// such leaves are looked for.
	keep  = 10 * time.Minute
	crowd = 1024
)

// Table holds what this host measured of leaves. It is safe for concurrent use.
type Table struct {
	parts [parts]part
}

type part struct {
	sync.RWMutex
	leaves map[string]*record
}

// record is one leaf; its latency is a float64 of nanoseconds, zero before the first reply.
type record struct {
	outstanding atomic.Int64
	latency     atomic.Uint64
	used        atomic.Int64
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	for i := range t.parts {
		t.parts[i].leaves = make(map[string]*record)
	}
	return t
}

// Begin notes that a call to a leaf was sent.
func (t *Table) Begin(leaf string, now time.Time) {
	r := t.record(leaf, now)
	r.outstanding.Add(1)
}

// End notes that a call ended. A call that was cancelled is noted with End and not with Observe.
func (t *Table) End(leaf string, now time.Time) {
	r := t.record(leaf, now)
	if r.outstanding.Add(-1) < 0 {
		r.outstanding.Store(0)
	}
}

// Observe notes how long a leaf took, and whether it answered.
func (t *Table) Observe(leaf string, latency time.Duration, answered bool, now time.Time) {
	r := t.record(leaf, now)
	old := r.present(now)
	next := float64(latency)
	if !answered {
		next = max(next, failure*old, float64(floor))
	}
	if old > 0 && answered {
		next = old + smoothing*(next-old)
	}
	r.latency.Store(math.Float64bits(next))
	r.used.Store(now.UnixNano())
}

// present returns the smoothed latency in nanoseconds, reduced by the time for which the leaf was not used.
func (r *record) present(now time.Time) float64 {
	latency := math.Float64frombits(r.latency.Load())
	idle := now.UnixNano() - r.used.Load()
	if idle <= int64(halflife) {
		return latency
	}
	return latency * math.Exp2(-float64(idle)/float64(halflife))
}

func (t *Table) record(leaf string, now time.Time) *record {
	p := &t.parts[xxhash.Sum64String(leaf)%parts]
	p.RLock()
	r, ok := p.leaves[leaf]
	p.RUnlock()
	if ok {
		return r
	}
	p.Lock()
	defer p.Unlock()
	if r, ok = p.leaves[leaf]; ok {
		return r
	}
	if len(p.leaves) >= crowd {
		p.forget(now)
	}
	r = &record{}
	r.used.Store(now.UnixNano())
	p.leaves[leaf] = r
	return r
}

func (p *part) forget(now time.Time) {
	for name, r := range p.leaves {
		if r.outstanding.Load() == 0 && now.UnixNano()-r.used.Load() > int64(keep) {
			delete(p.leaves, name)
		}
	}
}

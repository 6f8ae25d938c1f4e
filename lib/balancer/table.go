// Package balancer chooses among the replicas of a shard by the power of two choices. The score of a replica is its
// number of outstanding calls times its smoothed latency, both as measured by this host.
package balancer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// stripes is the number of locks over which the leaves are spread.
	stripes = 64
	// smoothing is the weight of a new measurement.
	smoothing = 0.1
	// failurePenalty multiplies the latency of a leaf on a failure, so that a leaf that fails fast does not look fast.
	failurePenalty = 2
	// minFailureLatency is the minimum latency recorded for a failure.
	minFailureLatency = time.Millisecond
	// halflife is the time in which the recorded latency of an unused leaf halves, so that it is tried again.
	halflife = 5 * time.Second
	// retention is the time after which an unused leaf is evicted, and evictionThreshold is the size of a stripe from
	// which eviction runs.
	retention         = 10 * time.Minute
	evictionThreshold = 1024
)

// Table holds this host's measurements of leaves. It is safe for concurrent use.
type Table struct {
	stripes [stripes]stripe
}

type stripe struct {
	sync.RWMutex
	leaves map[string]*leafStats
}

// leafStats holds the measurements of one leaf. The latency is the bits of a float64 in nanoseconds, zero before the
// first measurement.
type leafStats struct {
	outstanding atomic.Int64
	latency     atomic.Uint64
	lastUsed    atomic.Int64
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	for i := range t.stripes {
		t.stripes[i].leaves = make(map[string]*leafStats)
	}
	return t
}

// Begin records the start of a call to a leaf.
func (t *Table) Begin(leaf string, now time.Time) {
	r := t.stats(leaf, now)
	r.outstanding.Add(1)
}

// End records the end of a call. A cancelled call is recorded with End only, not with Observe.
func (t *Table) End(leaf string, now time.Time) {
	r := t.stats(leaf, now)
	if r.outstanding.Add(-1) < 0 {
		r.outstanding.Store(0)
	}
}

// Observe records the latency of a call and whether the leaf answered.
func (t *Table) Observe(leaf string, latency time.Duration, answered bool, now time.Time) {
	r := t.stats(leaf, now)
	old := r.decayedLatency(now)
	next := float64(latency)
	if !answered {
		next = max(next, failurePenalty*old, float64(minFailureLatency))
	}
	if old > 0 && answered {
		next = old + smoothing*(next-old)
	}
	r.latency.Store(math.Float64bits(next))
	r.lastUsed.Store(now.UnixNano())
}

// decayedLatency returns the smoothed latency in nanoseconds, decayed by the time since the leaf was last used.
func (r *leafStats) decayedLatency(now time.Time) float64 {
	latency := math.Float64frombits(r.latency.Load())
	idle := now.UnixNano() - r.lastUsed.Load()
	if idle <= int64(halflife) {
		return latency
	}
	return latency * math.Exp2(-float64(idle)/float64(halflife))
}

func (t *Table) stats(leaf string, now time.Time) *leafStats {
	p := &t.stripes[xxhash.Sum64String(leaf)%stripes]
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
	if len(p.leaves) >= evictionThreshold {
		p.evict(now)
	}
	r = &leafStats{}
	r.lastUsed.Store(now.UnixNano())
	p.leaves[leaf] = r
	return r
}

func (p *stripe) evict(now time.Time) {
	for name, r := range p.leaves {
		if r.outstanding.Load() == 0 && now.UnixNano()-r.lastUsed.Load() > int64(retention) {
			delete(p.leaves, name)
		}
	}
}

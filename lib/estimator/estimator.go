// Package estimator tracks a percentile of the latency of each service's leaf calls as it drifts.
package estimator

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultPercentile is the part of calls below the trigger, in thousandths. Hedging above the 97th costs about 3%
	// of calls and leaves 2% of the budget for second hedges and bursts.
	defaultPercentile = 970
	// typical is the part of calls below the typical latency, in thousandths.
	typical = 500
	whole   = 1000
	// sub is the number of buckets in each doubling of latency: a bucket is at most 6.25% wide.
	sub     = 16
	subBits = 4
	// buckets covers 1 µs to 2^32 µs, which is above an hour.
	buckets = 33 * sub
	// defaultRefresh is the number of calls between two computations.
	defaultRefresh = 256
	// defaultWindow is the number of calls after which all counts are halved, so that old calls lose weight.
	defaultWindow = 8192
	// defaultLeast is the number of calls without which there is no estimate.
	defaultLeast = 100
	// parts divides the services between locks.
	parts = 16
)

// Estimator holds a decaying histogram per service. It is safe for concurrent use.
type Estimator struct {
	percentile uint64
	refresh    uint64
	window     uint64
	least      uint64
	parts      [parts]part
}

// Option changes an estimator.
type Option func(*Estimator)

// WithPercentile sets the part of calls below the trigger, in thousandths.
func WithPercentile(n int) Option {
	return func(e *Estimator) { e.percentile = uint64(n) } //nolint:gosec // Up to 1000.
}

// WithWindow sets after how many calls old ones lose half of their weight, and how many calls lie between two
// computations. A host with few calls needs small numbers to follow a change.
func WithWindow(window, refresh int) Option {
	return func(e *Estimator) {
		e.window, e.refresh = uint64(window), uint64(refresh) //nolint:gosec // Small.
		e.least = e.refresh
	}
}

type part struct {
	sync.RWMutex
	services map[string]*histogram
}

// histogram counts without a lock; only its computation takes one.
type histogram struct {
	compute sync.Mutex
	seen    atomic.Uint64
	counts  [buckets]atomic.Uint32
	trigger atomic.Int64
	typical atomic.Int64
}

// New returns an estimator without estimates.
func New(options ...Option) *Estimator {
	e := &Estimator{percentile: defaultPercentile, refresh: defaultRefresh, window: defaultWindow, least: defaultLeast}
	for _, o := range options {
		o(e)
	}
	for i := range e.parts {
		e.parts[i].services = make(map[string]*histogram)
	}
	return e
}

// Observe notes the latency of a call.
func (e *Estimator) Observe(service string, latency time.Duration) {
	h := e.histogram(service)
	h.counts[index(latency)].Add(1)
	if n := h.seen.Add(1); n%e.refresh == 0 || n == e.least {
		h.update(e)
	}
}

// Trigger returns the latency that all but the slowest calls stay below (97% by default), rounded up to a bucket; zero means that too few
// calls were seen.
func (e *Estimator) Trigger(service string) time.Duration {
	return time.Duration(e.histogram(service).trigger.Load())
}

// Typical returns the latency that half of the calls stay below; zero means that too few calls were seen.
func (e *Estimator) Typical(service string) time.Duration {
	return time.Duration(e.histogram(service).typical.Load())
}

// update computes the percentiles and halves the counts when the window is full.
func (h *histogram) update(e *Estimator) {
	if !h.compute.TryLock() {
		return
	}
	defer h.compute.Unlock()
	var total uint64
	for i := range h.counts {
		total += uint64(h.counts[i].Load())
	}
	h.typical.Store(int64(h.quantile(total, typical)))
	h.trigger.Store(int64(h.quantile(total, e.percentile)))
	if total < e.window {
		return
	}
	for i := range h.counts {
		n := h.counts[i].Load()
		h.counts[i].Add(-(n - n/2))
	}
}

// quantile returns the latency that a part of the counted calls stays below, in thousandths.
func (h *histogram) quantile(total, part uint64) time.Duration {
	var below uint64
	for i := range h.counts {
		below += uint64(h.counts[i].Load())
		if below*whole >= total*part {
			return upper(i)
		}
	}
	return upper(buckets - 1)
}

// index returns the bucket of a latency: the position of its highest bit and the next bits below it.
func index(latency time.Duration) int {
	us := uint64(max(1, latency.Microseconds()))
	high := bits.Len64(us) - 1
	if high < subBits {
		return int(us) //nolint:gosec // Below 16.
	}
	i := (high-subBits+1)*sub + int(us>>(high-subBits))&(sub-1) //nolint:gosec // Small.
	return min(i, buckets-1)
}

// upper returns the least latency above a bucket.
func upper(i int) time.Duration {
	next := i + 1
	if next < sub {
		return time.Duration(next) * time.Microsecond
	}
	high := next/sub - 1
	return time.Duration((uint64(sub)+uint64(next%sub))<<high) * time.Microsecond //nolint:gosec // Small.
}

func (e *Estimator) histogram(service string) *histogram {
	p := &e.parts[xxhash.Sum64String(service)%parts]
	p.RLock()
	h, ok := p.services[service]
	p.RUnlock()
	if ok {
		return h
	}
	p.Lock()
	defer p.Unlock()
	if h, ok = p.services[service]; !ok {
		h = &histogram{}
		p.services[service] = h
	}
	return h
}

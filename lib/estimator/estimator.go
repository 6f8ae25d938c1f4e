// Package estimator tracks a percentile of the recent latency of each service's leaf calls.
package estimator

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultPermille is the fraction of calls below the trigger, in thousandths. Hedging above the 97th percentile adds
	// about 3% of calls and leaves 2% of the budget for second hedges and bursts.
	defaultPermille = 970
	// typicalPermille is the fraction of calls below the typical latency, in thousandths.
	typicalPermille = 500
	permille        = 1000
	// subBuckets is the number of buckets in each doubling of latency: a bucket is at most 6.25% wide.
	subBuckets = 16
	subBits    = 4
	// buckets is the total number of buckets. They cover 1 µs to 2^32 µs, which is more than an hour.
	buckets = 33 * subBuckets
	// defaultRefresh is the number of calls between two computations of the percentiles.
	defaultRefresh = 256
	// defaultWindow is the number of counted calls from which all counts are halved, so that old calls lose weight.
	defaultWindow = 8192
	// defaultMinCalls is the number of calls below which there is no estimate.
	defaultMinCalls = 100
	// stripes is the number of locks over which the services are spread.
	stripes = 16
)

// Estimator holds a decaying histogram per service. It is safe for concurrent use.
type Estimator struct {
	triggerPermille uint64
	refresh         uint64
	window          uint64
	minCalls        uint64
	stripes         [stripes]stripe
}

// Option configures an estimator.
type Option func(*Estimator)

// WithPermille sets the fraction of calls below the trigger, in thousandths.
func WithPermille(permille int) Option {
	return func(e *Estimator) { e.triggerPermille = uint64(permille) } //nolint:gosec // Up to 1000.
}

// WithWindow sets the number of counted calls from which all counts are halved, and the number of calls between two
// computations of the percentiles. A host with few calls needs small numbers to follow a change.
func WithWindow(window, refresh int) Option {
	return func(e *Estimator) {
		e.window, e.refresh = uint64(window), uint64(refresh) //nolint:gosec // Small.
		e.minCalls = e.refresh
	}
}

type stripe struct {
	sync.RWMutex
	services map[string]*histogram
}

// histogram counts calls by latency without a lock; only the computation of the percentiles takes one.
type histogram struct {
	compute  sync.Mutex
	observed atomic.Uint64
	counts   [buckets]atomic.Uint32
	trigger  atomic.Int64
	typical  atomic.Int64
}

// New returns an estimator without estimates.
func New(options ...Option) *Estimator {
	e := &Estimator{triggerPermille: defaultPermille, refresh: defaultRefresh, window: defaultWindow, minCalls: defaultMinCalls}
	for _, o := range options {
		o(e)
	}
	for i := range e.stripes {
		e.stripes[i].services = make(map[string]*histogram)
	}
	return e
}

// Observe records the latency of a call.
func (e *Estimator) Observe(service string, latency time.Duration) {
	h := e.histogram(service)
	h.counts[bucketIndex(latency)].Add(1)
	if n := h.observed.Add(1); n%e.refresh == 0 || n == e.minCalls {
		h.update(e)
	}
}

// Trigger returns the latency below which the configured fraction of calls stays (97% by default), rounded up to a
// bucket boundary. Zero means that too few calls were observed.
func (e *Estimator) Trigger(service string) time.Duration {
	h, ok := e.find(service)
	if !ok {
		return 0
	}
	return time.Duration(h.trigger.Load())
}

// Typical returns the median latency, rounded up to a bucket boundary. Zero means that too few calls were observed.
func (e *Estimator) Typical(service string) time.Duration {
	h, ok := e.find(service)
	if !ok {
		return 0
	}
	return time.Duration(h.typical.Load())
}

// update computes the percentiles, and halves the counts when they reach the window.
func (h *histogram) update(e *Estimator) {
	if !h.compute.TryLock() {
		return
	}
	defer h.compute.Unlock()
	var total uint64
	for i := range h.counts {
		total += uint64(h.counts[i].Load())
	}
	h.typical.Store(int64(h.quantile(total, typicalPermille)))
	h.trigger.Store(int64(h.quantile(total, e.triggerPermille)))
	if total < e.window {
		return
	}
	for i := range h.counts {
		n := h.counts[i].Load()
		h.counts[i].Add(-(n - n/2))
	}
}

// quantile returns the latency below which the given fraction of the counted calls stays. The rank is in thousandths.
func (h *histogram) quantile(total, rank uint64) time.Duration {
	var below uint64
	for i := range h.counts {
		below += uint64(h.counts[i].Load())
		if below*permille >= total*rank {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(buckets - 1)
}

// bucketIndex returns the bucket of a latency, which is given by its highest bit and the subBits bits below it.
func bucketIndex(latency time.Duration) int {
	us := uint64(max(1, latency.Microseconds()))
	high := bits.Len64(us) - 1
	if high < subBits {
		return int(us) //nolint:gosec // Below 16.
	}
	i := (high-subBits+1)*subBuckets + int(us>>(high-subBits))&(subBuckets-1) //nolint:gosec // Small.
	return min(i, buckets-1)
}

// bucketUpperBound returns the lowest latency above a bucket.
func bucketUpperBound(i int) time.Duration {
	next := i + 1
	if next < subBuckets {
		return time.Duration(next) * time.Microsecond
	}
	high := next/subBuckets - 1
	return time.Duration((uint64(subBuckets)+uint64(next%subBuckets))<<high) * time.Microsecond //nolint:gosec // Small.
}

func (e *Estimator) stripe(service string) *stripe {
	return &e.stripes[xxhash.Sum64String(service)%stripes]
}

// find returns the histogram of a service if there is one.
func (e *Estimator) find(service string) (*histogram, bool) {
	p := e.stripe(service)
	p.RLock()
	defer p.RUnlock()
	h, ok := p.services[service]
	return h, ok
}

// histogram returns the histogram of a service and creates it if there is none.
func (e *Estimator) histogram(service string) *histogram {
	h, ok := e.find(service)
	if ok {
		return h
	}
	p := e.stripe(service)
	p.Lock()
	defer p.Unlock()
	if h, ok = p.services[service]; !ok {
		h = &histogram{}
		p.services[service] = h
	}
	return h
}

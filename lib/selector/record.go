package selector

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// stripes is the number of locks over which the leaves are spread.
	stripes = 32
	// smoothing is the weight of a new latency, and failureSmoothing that of a new failure or success.
	smoothing        = 0.5
	failureSmoothing = 0.25
	// maxRatio is the upper limit of the ratio of a latency to the typical one.
	maxRatio = 8
	// speedHalflife and failureHalflife are the half-lives of the measured latency ratio and failure rate. The decay lets
	// a slow or failing leaf be tried again.
	speedHalflife   = 1500 * time.Millisecond
	failureHalflife = 1500 * time.Millisecond
	// loadHalflife is the time in which a load that a leaf has reported halves.
	loadHalflife = 300 * time.Millisecond
	// abandonedWindow is how long after the latest abandoned call a leaf still counts as owing an answer.
	abandonedWindow = 250 * time.Millisecond
	// minSilence is how long a leaf that is being called must give no answer before it counts as unreachable. Single calls
	// are abandoned sooner, when a hedge answers or the target time has passed.
	minSilence = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which an unreachable leaf is not called.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// retention is the time after which unused statistics are evicted, and evictionThreshold is the size of a stripe
	// from which eviction runs.
	retention         = 5 * time.Minute
	evictionThreshold = 256
)

// Table holds this host's statistics of leaves. It is safe for concurrent use.
type Table struct {
	stripes [stripes]stripe
	// usual is the mean slowness that leaves report, as the bits of a float64; 0 before the first report.
	usual atomic.Uint64
}

type stripe struct {
	sync.Mutex
	leaves map[string]*leafStats
}

// leafStats holds the statistics of one incarnation of a leaf.
type leafStats struct {
	incarnation uint64
	used        time.Time
	// open holds the start times of open calls, oldest first.
	open []time.Time
	// firstAbandoned is the start of the first call that was abandoned without an answer since the leaf last answered.
	// lastAbandoned is when the latest call was abandoned.
	firstAbandoned, lastAbandoned time.Time
	// ratio is the smoothed ratio of the latency to the typical one, and lastRatio is the latest sample.
	ratio, lastRatio float64
	ratioAt          time.Time
	failureRate      float64
	failureAt        time.Time
	// otherCalls is the number of calls from other hosts that the leaf had when it last reported its load.
	otherCalls float64
	loadAt     time.Time
	// slowness is the slowness that the leaf reported at loadAt, 0 if it reported none.
	slowness float64
	// slowSince is since when each report has said that the host is slow; zero if the latest one does not.
	slowSince time.Time
	// answered is when the leaf last gave any answer.
	answered time.Time
	// failedConnects counts consecutive calls that did not reach the leaf. It is not called before retryAt.
	failedConnects int
	retryAt        time.Time
	// leavingUntil is when the leaf's statement that it is leaving expires.
	leavingUntil time.Time
	// pausedUntil is the end of the time for which the leaf wants no requests.
	pausedUntil time.Time
	// nextColdCall is the earliest time at which the leaf is chosen again while it is cold, and nextColdSend the earliest time at
	// which a call to it is sent.
	nextColdCall, nextColdSend time.Time
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	for i := range t.stripes {
		t.stripes[i].leaves = make(map[string]*leafStats)
	}
	return t
}

// stats returns the statistics of a leaf and a function that unlocks them. A newer incarnation of the leaf starts with
// empty statistics.
func (t *Table) stats(name string, incarnation uint64, now time.Time) (*leafStats, func()) {
	p := &t.stripes[xxhash.Sum64String(name)%stripes]
	p.Lock()
	r, ok := p.leaves[name]
	if !ok || r.incarnation < incarnation {
		if len(p.leaves) >= evictionThreshold {
			p.evict(now)
		}
		r = newLeafStats(incarnation)
		p.leaves[name] = r
	}
	return r, p.Unlock
}

// lookup returns the statistics that stats would return, without storing or evicting any, and reports whether they are
// stored. The returned function unlocks them; until then they must not be changed.
func (t *Table) lookup(name string, incarnation uint64) (*leafStats, bool, func()) {
	p := &t.stripes[xxhash.Sum64String(name)%stripes]
	p.Lock()
	r, ok := p.leaves[name]
	if !ok || r.incarnation < incarnation {
		return newLeafStats(incarnation), false, p.Unlock
	}
	return r, true, p.Unlock
}

func newLeafStats(incarnation uint64) *leafStats {
	return &leafStats{incarnation: incarnation, ratio: 1, lastRatio: 1}
}

func (p *stripe) evict(now time.Time) {
	for name, r := range p.leaves {
		if len(r.open) == 0 && now.Sub(r.used) > retention {
			delete(p.leaves, name)
		}
	}
}

// decay returns a value that loses half of its distance to the baseline in each half-life.
func decay(value, baseline float64, age, halflife time.Duration) float64 {
	return baseline + (value-baseline)*math.Exp2(-float64(age)/float64(halflife))
}

// expectedRatio returns the expected ratio of the latency to the typical one.
func (r *leafStats) expectedRatio(now time.Time) float64 {
	return decay(r.ratio, 1, now.Sub(r.ratioAt), speedHalflife)
}

// expectedFailureRate returns the expected fraction of calls that fail.
func (r *leafStats) expectedFailureRate(now time.Time) float64 {
	return decay(r.failureRate, 0, now.Sub(r.failureAt), failureHalflife)
}

// expectedOtherCalls returns the expected number of calls from other hosts.
func (r *leafStats) expectedOtherCalls(now time.Time) float64 {
	return decay(r.otherCalls, 0, now.Sub(r.loadAt), loadHalflife)
}

// overdue returns the cost of an answer that has been outstanding for longer than usual.
func (r *leafStats) overdue(typical time.Duration, now time.Time) float64 {
	var age time.Duration
	if len(r.open) > 0 {
		age = now.Sub(r.open[0])
	}
	if !r.firstAbandoned.IsZero() && now.Sub(r.lastAbandoned) < abandonedWindow {
		age = max(age, now.Sub(r.firstAbandoned))
	}
	if age < overdueAge(typical) {
		return 0
	}
	return overdueCost + min(float64(age)/float64(max(typical, time.Millisecond)), maxRatio)
}

// overdueAge returns the age from which a call is overdue.
func overdueAge(typical time.Duration) time.Duration {
	return max(minOverdueAge, time.Duration(overdueFactor*float64(typical)))
}

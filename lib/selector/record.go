package selector

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// parts divides the leaves between locks.
	parts = 32
	// smoothing is the weight of a new latency, failureSmoothing that of a new failure or success.
	smoothing        = 0.5
	failureSmoothing = 0.25
	// mostRatio bounds the ratio of a latency to a typical one.
	mostRatio = 8
	// speedHalflife and failureHalflife are the times in which evidence halves, so that a leaf is tried again.
	speedHalflife   = 1500 * time.Millisecond
	failureHalflife = 1500 * time.Millisecond
	// loadTime is the time in which a stated load loses most of its meaning.
	loadTime = 300 * time.Millisecond
	// ghostTime is how long a call that was given up without an answer counts as overdue.
	ghostTime = 250 * time.Millisecond
	// silentTime is how long a leaf that is called must stay without any answer to count as out of reach. Calls are
	// given up sooner, when a hedge answers or the target has come.
	silentTime = 100 * time.Millisecond
	// shutFirst and shutMost bound the time for which a leaf that cannot be reached is not called.
	shutFirst = 200 * time.Millisecond
	shutMost  = time.Second
	// keep is the time after which an unused record is forgotten, and crowd the size of a part at which such
	// records are looked for.
	keep  = 5 * time.Minute
	crowd = 256
)

// Table holds what this host has seen of leaves. It is safe for concurrent use.
type Table struct {
	parts [parts]part
}

type part struct {
	sync.Mutex
	leaves map[string]*record
}

// record is the evidence on one incarnation of a leaf.
type record struct {
	born uint64
	used time.Time
	// open holds the start times of open calls, the oldest first.
	open []time.Time
	// ghost is the start of the first call that was given up without an answer since the leaf last answered, and given
	// when the newest one was given up.
	ghost, given time.Time
	// ratio is the smoothed latency in typical calls, and last the newest one.
	ratio, last float64
	ratioAt     time.Time
	failed      float64
	failedAt    time.Time
	// load is how many calls of other hosts the leaf had when it last said so.
	load   float64
	loadAt time.Time
	// answered is when the leaf last answered anything.
	answered time.Time
	// streak counts calls in a row that did not reach the leaf; it is not called before until.
	streak int
	until  time.Time
	// cold is when the leaf may get the next call while it is cold.
	cold time.Time
}

// New returns a table without evidence.
func New() *Table {
	t := &Table{}
	for i := range t.parts {
		t.parts[i].leaves = make(map[string]*record)
	}
	return t
}

// record returns the evidence on a leaf and a function that unlocks it. A later incarnation starts without evidence.
func (t *Table) record(name string, born uint64, now time.Time) (*record, func()) {
	p := &t.parts[xxhash.Sum64String(name)%parts]
	p.Lock()
	r, ok := p.leaves[name]
	if !ok || r.born < born {
		if len(p.leaves) >= crowd {
			p.forget(now)
		}
		r = &record{born: born, ratio: 1, last: 1}
		p.leaves[name] = r
	}
	return r, p.Unlock
}

func (p *part) forget(now time.Time) {
	for name, r := range p.leaves {
		if len(r.open) == 0 && now.Sub(r.used) > keep {
			delete(p.leaves, name)
		}
	}
}

// decay returns a value that loses half of its distance to rest in each halflife.
func decay(value, rest float64, age, halflife time.Duration) float64 {
	return rest + (value-rest)*math.Exp2(-float64(age)/float64(halflife))
}

// speed returns the expected latency in typical calls.
func (r *record) speed(now time.Time) float64 {
	return decay(r.ratio, 1, now.Sub(r.ratioAt), speedHalflife)
}

// failing returns the expected part of calls that fail.
func (r *record) failing(now time.Time) float64 {
	return decay(r.failed, 0, now.Sub(r.failedAt), failureHalflife)
}

// others returns the expected number of other hosts' calls.
func (r *record) others(now time.Time) float64 {
	return decay(r.load, 0, now.Sub(r.loadAt), loadTime)
}

// overdue returns the cost of an answer that is owed for longer than usual.
func (r *record) overdue(typical time.Duration, now time.Time) float64 {
	var age time.Duration
	if len(r.open) > 0 {
		age = now.Sub(r.open[0])
	}
	if !r.ghost.IsZero() && now.Sub(r.given) < ghostTime {
		age = max(age, now.Sub(r.ghost))
	}
	if age < lateAge(typical) {
		return 0
	}
	return overdueCost + min(float64(age)/float64(max(typical, time.Millisecond)), mostRatio)
}

// lateAge is the age at which a call is overdue.
func lateAge(typical time.Duration) time.Duration {
	return max(leastOverdue, time.Duration(overdueFactor*float64(typical)))
}

package selector

import (
	"math"
	"time"
)

const (
	// slownessPeriod is the age at which a reported slowness says nothing any more: hosts change their speed about this
	// often, so the chance that a report still holds falls from one to zero within that time.
	slownessPeriod = 600 * time.Millisecond
	// maxSlownessPeriod is that age for a leaf that has been slow for longer.
	maxSlownessPeriod = 3 * time.Second
	// slowFactor is the multiple of the usual slowness from which a host counts as slow.
	slowFactor = 1.5
	// usualSmoothing is the weight of a report in the mean slowness of all leaves.
	usualSmoothing = 0.01
	// minSlowness and maxSlowness bound the slowness that a report can state.
	minSlowness = 0.1
	maxSlowness = 20
	// minChance and maxChance bound the exponent of the random factor of a cost, and chanceAge is the age of a report at which
	// a full leaf has the greatest. Within that time other hosts have chosen from similar reports. With the greatest, one
	// of three leaves that has twice the cost is chosen a third as often. Among more leaves it is smaller (chanceFactor over
	// the square of their number), because many mediocre ones would take the calls of the few good ones.
	minChance    = 0.02
	maxChance    = 0.6
	chanceFactor = 5.4
	chanceAge    = 100 * time.Millisecond
	// minDraw bounds the drawn number whose power is the random factor.
	minDraw = 0.01
)

// Report is what a leaf says of its load in an answer.
type Report struct {
	// Others is the number of running and waiting calls without the one that is answered. It includes this host's own.
	Others int
	// Slowness is the time that work currently takes on the leaf's host, relative to the usual time; 0 if the leaf does not
	// say.
	Slowness float64
}

// report records the load that a leaf had at the given time.
func (t *Table) report(r *leafStats, p *Report, at time.Time) {
	r.otherCalls, r.loadAt = max(0, float64(p.Others-r.openAt(at))), at
	r.slowness = 0
	if p.Slowness > 0 {
		r.slowness = min(max(p.Slowness, minSlowness), maxSlowness)
		t.updateUsual(r.slowness)
	}
	if r.slowness < slowFactor*t.usualSlowness() {
		r.slowSince = time.Time{}
	} else if r.slowSince.IsZero() {
		r.slowSince = at
	}
}

// openAt returns the number of this host's open calls that had been sent by the given time.
func (r *leafStats) openAt(at time.Time) int {
	n := 0
	for n < len(r.open) && !r.open[n].After(at) {
		n++
	}
	return n
}

// usualSlowness returns the mean slowness that leaves report, or 0 before the first report.
func (t *Table) usualSlowness() float64 { return math.Float64frombits(t.usual.Load()) }

// updateUsual records a reported slowness. Of two simultaneous updates one may be lost, which a mean tolerates.
func (t *Table) updateUsual(slowness float64) {
	usual := t.usualSlowness()
	if usual == 0 {
		usual = 1
	}
	t.usual.Store(math.Float64bits(usual + usualSmoothing*(slowness-usual)))
}

// ReportsSlowness reports whether any leaf has reported the slowness of its host.
func (t *Table) ReportsSlowness() bool { return t.usualSlowness() > 0 }

// expectedSlowness returns the slowness that is expected of a leaf's host: the reported one, which loses weight with its
// age to the usual one.
func (r *leafStats) expectedSlowness(usual float64, now time.Time) float64 {
	if r.slowness == 0 {
		return usual
	}
	period := slownessPeriod
	if !r.slowSince.IsZero() {
		// What has lasted for a while is expected to last about as long again.
		period = min(max(period, r.loadAt.Sub(r.slowSince)), maxSlownessPeriod)
	}
	fresh := max(0, 1-float64(now.Sub(r.loadAt))/float64(period))
	return usual + fresh*(r.slowness-usual)
}

// explainedTime returns the typical time of a call that took the given age, on a host of the last reported slowness and the
// one before. What slowness explains is not counted as the leaf's latency too. A slowness that began only as the call
// ended does not make the leaf look fast.
func (r *leafStats) explainedTime(p *Report, typical, age time.Duration, now time.Time) time.Duration {
	slowness := 0.0
	if p != nil {
		slowness = p.Slowness
	}
	if now.Sub(r.loadAt) < slownessPeriod {
		slowness = max(slowness, r.slowness)
	}
	return max(typical, min(age, time.Duration(min(slowness, maxSlowness)*float64(typical))))
}

// chance returns the exponent of the random factor of a leaf's cost. It grows with the age of the leaf's report and with
// the share of its slots in use: hosts that know the same of a busy leaf must not all choose alike, while nothing is lost
// when all avoid a slow leaf that is idle.
func (r *leafStats) chance(queue, slots float64, candidates int, now time.Time) float64 {
	greatest := max(minChance, min(maxChance, chanceFactor/float64(candidates*candidates)))
	stale := min(1, float64(now.Sub(r.loadAt))/float64(chanceAge))
	return minChance + (greatest-minChance)*stale*min(1, queue/slots)
}

// randomFactor returns a factor with which the lowest of several costs is chosen with a probability that is proportional
// to its power of -1/chance.
func randomFactor(chance, random float64) float64 {
	return math.Pow(max(minDraw, -math.Log(1-random)), chance)
}

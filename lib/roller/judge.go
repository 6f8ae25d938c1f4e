package roller

import (
	"fmt"
	"math"
)

const (
	// minMedian is the number of answers from which a median is used.
	minMedian = 8
	// slowBuckets is the distance in buckets from the stable version's median from which an answer counts as slow: 2 to 2.4
	// times as long.
	slowBuckets = 4
	// accident is the probability below which a number of bad answers is no accident. It is small, because an order is judged
	// several times a second on each route.
	accident = 1e-5
	// minFailed and minSlow are the fewest bad answers on which a version is judged. A frozen or crashed leaf alone causes a
	// few.
	minFailed = 4
	minSlow   = 8
	// failedEffect and slowEffect are the smallest differences between the shares of bad answers that count. Where the
	// versions do not answer in the same period, as at full share, the difference in slow answers must be larger.
	failedEffect    = 0.01
	slowEffect      = 0.1
	slowEffectApart = 0.25
	// unknownFailed and unknownSlow are assumed of the stable version where it has answered nothing.
	unknownFailed = 0.02
	unknownSlow   = 0.2
)

// verdict is the comparison of the two versions in one span of time and on one route.
type verdict struct {
	bad    bool
	reason string
}

// compare compares the target with the stable version in a span. What the stable version has done since the beginning of the
// order is not held against the target either. Latencies are ignored unless timed is true.
func compare(route string, stable, before, target *Counts, timed bool) verdict {
	n := target.ended()
	if n == 0 {
		return verdict{}
	}
	expected := max(upper(stable.Failed, stable.ended(), 0), upper(before.Failed, before.ended(), unknownFailed))
	if exceeds(target.Failed, n, expected, minFailed, failedEffect) {
		return verdict{bad: true, reason: fmt.Sprintf("%d of %d calls failed on route %q, of the old version %d of %d",
			target.Failed, n, route, before.Failed, before.ended())}
	}
	effect := slowEffect
	middle, known := stable.median()
	if !known {
		middle, known = before.median()
		effect = slowEffectApart
	}
	if !timed || !known {
		return verdict{}
	}
	from := middle + slowBuckets
	expected = max(upper(stable.slowerThan(from), stable.ended(), 0), upper(before.slowerThan(from), before.ended(), unknownSlow))
	if slow := target.slowerThan(from); exceeds(slow, n, expected, minSlow, effect) {
		return verdict{bad: true, reason: fmt.Sprintf("%d of %d calls were slow on route %q, of the old version %d of %d",
			slow, n, route, before.slowerThan(from), before.ended())}
	}
	return verdict{}
}

// upper returns an upper estimate of a share from a sample, or unknown without one.
func upper(bad, n uint64, unknown float64) float64 {
	if n == 0 {
		return unknown
	}
	size := float64(n)
	p := float64(bad) / size
	return min(1, p+2*math.Sqrt(p*(1-p)/size)+1/size)
}

// exceeds reports whether bad of n are more than a share explains.
func exceeds(bad, n uint64, share float64, least uint64, effect float64) bool {
	return bad >= least && float64(bad) > (share+effect)*float64(n) && tail(bad, n, share) < accident
}

// tail returns the probability of at least bad of n at a share.
func tail(bad, n uint64, share float64) float64 {
	if share >= 1 {
		return 1
	}
	logFactorial := func(k uint64) float64 {
		out, _ := math.Lgamma(float64(k) + 1)
		return out
	}
	sum := 0.0
	for k := bad; k <= n; k++ {
		term := math.Exp(logFactorial(n) - logFactorial(k) - logFactorial(n-k) + float64(k)*math.Log(share) + float64(n-k)*math.Log1p(-share))
		sum += term
		if term < sum*accident {
			break
		}
	}
	return sum
}

package roller

import (
	"math"
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// buckets is the number of latency buckets. Each is bucketFactor times as wide as the one before, from firstBucket: the
	// last one begins at 29 s.
	buckets      = 48
	bucketFactor = 1.25
	firstBucket  = time.Millisecond
	// maxRoutes bounds the routes that are counted one by one; further ones are counted together as otherRoutes.
	maxRoutes   = 16
	otherRoutes = "*"
)

// Counts are the calls of one route to leaves of one version.
type Counts struct {
	// Sent counts calls that were sent; some of them are still running. Failed ended without a proper answer, and Slow were
	// given up unanswered, because another leaf answered first or time was up.
	Sent, Failed, Slow uint64
	// Answered counts answers by latency.
	Answered [buckets]uint64
}

// bucket returns the bucket of a latency.
func bucket(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	return min(buckets-1, 1+int(math.Log(float64(latency)/float64(firstBucket))/math.Log(bucketFactor)))
}

// add adds other counts.
func (c *Counts) add(o *Counts) {
	c.Sent += o.Sent
	c.Failed += o.Failed
	c.Slow += o.Slow
	for i, n := range o.Answered {
		c.Answered[i] += n
	}
}

// minus returns the counts since an earlier state, and false if the other state is not earlier.
func (c *Counts) minus(o *Counts) (Counts, bool) {
	if c.Failed < o.Failed || c.Slow < o.Slow {
		return Counts{}, false
	}
	out := Counts{Failed: c.Failed - o.Failed, Slow: c.Slow - o.Slow}
	// Calls that turn out not to have been sent are subtracted again.
	if c.Sent > o.Sent {
		out.Sent = c.Sent - o.Sent
	}
	for i := range c.Answered {
		if c.Answered[i] < o.Answered[i] {
			return Counts{}, false
		}
		out.Answered[i] = c.Answered[i] - o.Answered[i]
	}
	return out, true
}

// answers returns the number of proper answers.
func (c *Counts) answers() uint64 {
	var out uint64
	for _, n := range c.Answered {
		out += n
	}
	return out
}

// ended returns the number of calls whose result is known.
func (c *Counts) ended() uint64 {
	return c.answers() + c.Failed + c.Slow
}

// median returns the bucket of the median answer, and false if there are too few answers to tell.
func (c *Counts) median() (int, bool) {
	total := c.answers()
	if total < minMedian {
		return 0, false
	}
	var sum uint64
	for i, n := range c.Answered {
		if sum += n; 2*sum >= total {
			return i, true
		}
	}
	return buckets - 1, true
}

// slowerThan returns the calls that took at least as long as a bucket, including those that were given up.
func (c *Counts) slowerThan(from int) uint64 {
	out := c.Slow
	for _, n := range c.Answered[min(from, buckets):] {
		out += n
	}
	return out
}

func encodeCounts(route string, target bool, c *Counts) *peerv1.RouteCounts {
	out := &peerv1.RouteCounts{Route: route, Target: target, Sent: c.Sent, Failed: c.Failed, Slow: c.Slow}
	last := -1
	for i, n := range c.Answered {
		if n > 0 {
			last = i
		}
	}
	out.Answered = append(out.Answered, c.Answered[:last+1]...)
	return out
}

func decodeCounts(m *peerv1.RouteCounts) *Counts {
	out := &Counts{Sent: m.GetSent(), Failed: m.GetFailed(), Slow: m.GetSlow()}
	copy(out.Answered[:], m.GetAnswered())
	return out
}

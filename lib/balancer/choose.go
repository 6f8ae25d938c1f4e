package balancer

import (
	"slices"
	"time"

	"lycheelift.example/lib/cataloguer"
)

// remotePenalty multiplies the score of a leaf in another data centre: a local replica is preferred until its score is
// worse by this factor.
const remotePenalty = 2

// Random returns a random number from 0 to n-1.
type Random func(n int) int

// Choice holds the candidates and the parameters of one choice.
type Choice struct {
	Holders []*cataloguer.Leaf
	// Tried names leaves that must not be chosen.
	Tried []string
	// Center is the data centre of this host.
	Center string
	Random Random
}

// Choose picks the better of two random candidates. Both are in the own data centre if it has at least two, else one is
// local, if there is any, and the other remote. It reports false when there is no candidate.
func (t *Table) Choose(c Choice, now time.Time) (*cataloguer.Leaf, bool) {
	first, second := c.pair()
	if first == nil {
		return nil, false
	}
	if second == nil || !t.better(second, first, c.Center, now) {
		return first, true
	}
	return second, true
}

// pair draws two different candidates. The second is nil when there is only one, and both are nil when there is none.
func (c Choice) pair() (first, second *cataloguer.Leaf) {
	var local, others int
	for _, l := range c.Holders {
		switch {
		case slices.Contains(c.Tried, l.Name):
		case l.Center == c.Center:
			local++
		default:
			others++
		}
	}
	switch {
	case local >= 2:
		return c.drawTwo(true, local)
	case local == 1 && others >= 1:
		return c.nthCandidate(true, 0), c.nthCandidate(false, c.Random(others))
	case local == 1:
		return c.nthCandidate(true, 0), nil
	case others >= 2:
		return c.drawTwo(false, others)
	case others == 1:
		return c.nthCandidate(false, 0), nil
	}
	return nil, nil
}

func (c Choice) drawTwo(local bool, count int) (first, second *cataloguer.Leaf) {
	a := c.Random(count)
	b := c.Random(count - 1)
	if b >= a {
		b++
	}
	return c.nthCandidate(local, a), c.nthCandidate(local, b)
}

// nthCandidate returns the n-th candidate of the own data centre, or of the others.
func (c Choice) nthCandidate(local bool, n int) *cataloguer.Leaf {
	for _, l := range c.Holders {
		if slices.Contains(c.Tried, l.Name) || (l.Center == c.Center) != local {
			continue
		}
		if n == 0 {
			return l
		}
		n--
	}
	return nil
}

// better reports whether a has the lower product of outstanding calls and latency. A leaf without measurements is
// compared with the latency of the other one.
func (t *Table) better(a, b *cataloguer.Leaf, center string, now time.Time) bool {
	x, y := t.stats(a.Name, now), t.stats(b.Name, now)
	latencyX, latencyY := x.decayedLatency(now), y.decayedLatency(now)
	if latencyX == 0 {
		latencyX = latencyY
	}
	if latencyY == 0 {
		latencyY = latencyX
	}
	if latencyX == 0 {
		latencyX, latencyY = 1, 1
	}
	return latencyX*penalizedCalls(x, a, center) < latencyY*penalizedCalls(y, b, center)
}

func penalizedCalls(r *leafStats, l *cataloguer.Leaf, center string) float64 {
	out := float64(r.outstanding.Load() + 1)
	if l.Center != center {
		out *= remotePenalty
	}
	return out
}

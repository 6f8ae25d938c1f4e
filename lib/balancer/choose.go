package balancer

import (
	"slices"
	"time"

	"lycheelift.example/lib/cataloguer"
)

// remote multiplies the score of a leaf in another data centre: a replica of the own data centre is preferred until
// it is worse by this factor.
const remote = 2

// Random returns a number from 0 to n-1.
type Random func(n int) int

// Choice is a set of replicas to choose from.
type Choice struct {
	Holders []*cataloguer.Leaf
	// Tried names leaves that are not to be chosen.
	Tried []string
	// Center is the data centre of this host.
	Center string
	Random Random
}

// Choose picks a leaf: the better of two, taken at random from the replicas of the own data centre, or one of those
// and one of the others when the own data centre has only one.
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

// pair draws two different candidates; the second is nil when there is only one.
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
		return c.two(true, local)
	case local == 1 && others >= 1:
		return c.nth(true, 0), c.nth(false, c.Random(others))
	case local == 1:
		return c.nth(true, 0), nil
	case others >= 2:
		return c.two(false, others)
	case others == 1:
		return c.nth(false, 0), nil
	}
	return nil, nil
}

func (c Choice) two(local bool, count int) (first, second *cataloguer.Leaf) {
	a := c.Random(count)
	b := c.Random(count - 1)
	if b >= a {
		b++
	}
	return c.nth(local, a), c.nth(local, b)
}

// nth returns the n-th candidate of the own data centre, or of the others.
func (c Choice) nth(local bool, n int) *cataloguer.Leaf {
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

// better compares outstanding calls times latency. A leaf that was not measured yet counts with the other's latency.
func (t *Table) better(a, b *cataloguer.Leaf, center string, now time.Time) bool {
	x, y := t.record(a.Name, now), t.record(b.Name, now)
	latencyX, latencyY := x.present(now), y.present(now)
	if latencyX == 0 {
		latencyX = latencyY
	}
	if latencyY == 0 {
		latencyY = latencyX
	}
	if latencyX == 0 {
		latencyX, latencyY = 1, 1
	}
	return latencyX*weight(x, a, center) < latencyY*weight(y, b, center)
}

func weight(r *record, l *cataloguer.Leaf, center string) float64 {
	out := float64(r.outstanding.Load() + 1)
	if l.Center != center {
		out *= remote
	}
	return out
}

package selector

import (
	"time"

	"lycheelift.example/lib/cataloguer"
)

const (
	// freshReport is the age up to which a leaf's report of its load counts in full, and staleReport the age from which it no
	// longer counts: above saturation a report that is not renewed must not keep requests away from a leaf.
	freshReport = 250 * time.Millisecond
	staleReport = time.Second
)

// Occupancy returns the open calls of this host to a leaf and the expected number of calls of other hosts on it, 0 without a
// recent report, and the part of the latter that was lost because of the report's age, from 0 to 1. It reports false if the
// leaf may not be called now.
func (t *Table) Occupancy(l *cataloguer.Leaf, now time.Time) (own int, others, stale float64, callable bool) {
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	if r.isBarred(now) || now.Before(r.retryAt) || r.failedConnects > 0 {
		return 0, 0, 1, false
	}
	stale = min(max(float64(now.Sub(r.loadAt)-freshReport)/float64(staleReport-freshReport), 0), 1)
	return len(r.open), r.otherCalls * (1 - stale), stale, true
}

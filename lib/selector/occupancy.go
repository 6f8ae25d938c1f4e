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
// recent report. It reports false if the leaf may not be called now.
func (t *Table) Occupancy(l *cataloguer.Leaf, now time.Time) (own int, others float64, callable bool) {
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	if r.isBarred(now) || now.Before(r.retryAt) || r.failedConnects > 0 {
		return 0, 0, false
	}
	share := float64(staleReport-now.Sub(r.loadAt)) / float64(staleReport-freshReport)
	return len(r.open), r.otherCalls * min(max(share, 0), 1), true
}

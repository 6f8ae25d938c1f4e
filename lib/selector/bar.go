package selector

import (
	"time"

	"lycheelift.example/lib/cataloguer"
)

// leavingTime is how long a leaf that has said that it is leaving is not called. A later incarnation of it is called at once,
// if the two can be told apart.
const leavingTime = 10 * time.Minute

// isBarred reports whether the leaf has said that it wants no requests.
func (r *leafStats) isBarred(now time.Time) bool {
	return now.Before(r.leavingUntil)
}

// MarkLeaving records that a leaf has said that it is leaving. It reports whether that is new.
func (t *Table) MarkLeaving(l *cataloguer.Leaf, now time.Time) bool {
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	if r.incarnation != l.Incarnation {
		return false
	}
	known := now.Before(r.leavingUntil)
	r.leavingUntil = now.Add(leavingTime)
	return !known
}

// Barred reports whether a leaf has said that it wants no requests.
func (t *Table) Barred(l *cataloguer.Leaf, now time.Time) bool {
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	return r.isBarred(now)
}

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
	return now.Before(r.leavingUntil) || now.Before(r.pausedUntil)
}

// Pause records that a leaf wants no requests until a given time. It reports whether that is later than known before.
func (t *Table) Pause(l *cataloguer.Leaf, until, now time.Time) bool {
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	if r.incarnation != l.Incarnation || !until.After(r.pausedUntil) {
		return false
	}
	r.pausedUntil = until
	return true
}

// ResumesAt returns when the first of the leaves that are paused may be called again. It reports false if no leaf is paused
// or if one that is not barred is left.
func (t *Table) ResumesAt(leaves []*cataloguer.Leaf, now time.Time) (time.Time, bool) {
	var out time.Time
	for _, l := range leaves {
		until, barred := t.pause(l, now)
		switch {
		case !barred:
			return time.Time{}, false
		case !until.IsZero() && (out.IsZero() || until.Before(out)):
			out = until
		}
	}
	return out, !out.IsZero()
}

// pause returns until when a leaf is paused, the zero time if it is leaving, and whether it is barred.
func (t *Table) pause(l *cataloguer.Leaf, now time.Time) (time.Time, bool) {
	r, _, unlock := t.lookup(l.Name, l.Incarnation)
	defer unlock()
	if now.Before(r.leavingUntil) {
		return time.Time{}, true
	}
	return r.pausedUntil, now.Before(r.pausedUntil)
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

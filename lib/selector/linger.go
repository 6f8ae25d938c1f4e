package selector

import (
	"time"

	"lycheelift.example/lib/cataloguer"
)

// LetsFinish reports whether a call to a leaf that another one has superseded should be finished. The answer then tells the load
// of a leaf that was too slow to be heard otherwise, and its connection can be reused. A leaf that has calls waiting is spared
// the work, and so is one that does not report the slowness of its host.
func (t *Table) LetsFinish(l *cataloguer.Leaf, now time.Time) bool {
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	return r.slowness > 0 && float64(len(r.open))+r.expectedOtherCalls(now) <= float64(max(l.Slots, 1))
}

// Late records the load that a leaf reported in the answer to a call that had already ended as abandoned.
func (k *Ticket) Late(report *Report, now time.Time) {
	if report == nil {
		return
	}
	r, unlock := k.table.stats(k.name, k.incarnation, now)
	defer unlock()
	if r.incarnation != k.incarnation {
		return
	}
	k.table.report(r, report, now)
	r.recordAnswer(now)
}

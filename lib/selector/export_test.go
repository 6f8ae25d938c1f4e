package selector

import (
	"time"

	"lycheelift.example/lib/cataloguer"
)

// Report records a report of a leaf without a call.
func (t *Table) Report(l *cataloguer.Leaf, p *Report, at time.Time) {
	r, unlock := t.stats(l.Name, l.Incarnation, at)
	defer unlock()
	t.report(r, p, at)
}

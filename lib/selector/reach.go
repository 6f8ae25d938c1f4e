package selector

import (
	"time"

	"lycheelift.example/lib/cataloguer"
)

// recent is the age up to which an answer shows that a leaf can be reached.
const recent = 2 * time.Second

// Reach counts the leaves of other data centres that lately could be reached and those that could not. Leaves without
// evidence count as neither.
func (t *Table) Reach(leaves []*cataloguer.Leaf, center string, now time.Time) (reached, lost int) {
	for _, l := range leaves {
		if l.Center == center {
			continue
		}
		r, unlock := t.record(l.Name, l.Incarnation, now)
		switch {
		case r.streak > 0:
			lost++
		case !r.answered.IsZero() && now.Sub(r.answered) < recent:
			reached++
		}
		unlock()
	}
	return reached, lost
}

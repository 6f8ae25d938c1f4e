package selector

import (
	"time"

	"lycheelift.example/lib/cataloguer"
)

// recent is the age up to which an answer shows that a leaf can be reached.
const recent = 2 * time.Second

// Reach is what a host knows of the leaves of other data centres.
type Reach struct {
	// Reached and Lost count the leaves that lately could be reached and those that could not. Leaves without evidence
	// count as neither.
	Reached, Lost int
	// Answered is when one of them last answered.
	Answered time.Time
}

// Note adds what is known of some leaves that stand in other data centres than the host's own.
func (t *Table) Note(out *Reach, leaves []*cataloguer.Leaf, center string, now time.Time) {
	for _, l := range leaves {
		if l.Center == center {
			continue
		}
		r, unlock := t.record(l.Name, l.Incarnation, now)
		switch {
		case r.streak > 0:
			out.Lost++
		case !r.answered.IsZero() && now.Sub(r.answered) < recent:
			out.Reached++
		}
		if r.answered.After(out.Answered) {
			out.Answered = r.answered
		}
		unlock()
	}
}

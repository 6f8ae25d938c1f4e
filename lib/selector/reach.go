package selector

import (
	"time"

	"lycheelift.example/lib/cataloguer"
)

// reachableWindow is the age up to which an answer shows that a leaf is reachable.
const reachableWindow = 2 * time.Second

// Reach summarises whether a host can reach the leaves of other data centres.
type Reach struct {
	// Reached and Unreachable count the leaves that were recently reachable and those that were not. Leaves without recent calls
	// count as neither.
	Reached, Unreachable int
	// Answered is when any of them last answered.
	Answered time.Time
}

// AddReachability adds the reachability of the given leaves to out. It skips those in the host's own data centre, center.
func (t *Table) AddReachability(out *Reach, leaves []*cataloguer.Leaf, center string, now time.Time) {
	for _, l := range leaves {
		if l.Center == center {
			continue
		}
		r, unlock := t.stats(l.Name, l.Incarnation, now)
		switch {
		case r.failedConnects > 0:
			out.Unreachable++
		case !r.answered.IsZero() && now.Sub(r.answered) < reachableWindow:
			out.Reached++
		}
		if r.answered.After(out.Answered) {
			out.Answered = r.answered
		}
		unlock()
	}
}

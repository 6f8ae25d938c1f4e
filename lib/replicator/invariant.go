package replicator

import "fmt"

// Violation is called with a description of a violated invariant. Tests let it panic; a daemon logs an event.
type Violation func(text string)

// invariant checks a property that the protocol guarantees. It returns holds, so that the caller can reject the step
// that would violate it.
func (r *Replicator) invariant(holds bool, format string, args ...any) bool {
	if holds {
		return true
	}
	text := fmt.Sprintf("%s incarnation %d term %d: ", r.config.Host, r.state.GetIncarnation(), r.state.GetTerm()) + fmt.Sprintf(format, args...)
	if r.config.Violation == nil {
		panic(text)
	}
	r.config.Violation(text)
	return false
}

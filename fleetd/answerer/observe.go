package answerer

import (
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
)

// observe records what a leaf says of itself in an answer, whether or not the query still waits for the answer. It
// reports whether the answer is the leaf's own answer to the request.
func (a *Answerer) observe(l *cataloguer.Leaf, request string, answer *carrier.Answer) bool {
	if answer == nil || answer.ID != request || answer.AddressReassigned {
		return false // It is the answer of another leaf, or to another request.
	}
	now := a.clock()
	if answer.RetryAfter > 0 && a.selector.Pause(l, now.Add(answer.RetryAfter), now) {
		eventer.LeafPaused.Log(now, "id", request, "leaf", l.Name, "born", l.Incarnation, "service", l.Service, "for", answer.RetryAfter)
	}
	if answer.Leaving && a.selector.MarkLeaving(l, now) {
		eventer.LeafSaysLeaving.Log(now, "id", request, "leaf", l.Name, "born", l.Incarnation, "service", l.Service)
	}
	return true
}

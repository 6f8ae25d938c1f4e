package answerer

import (
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/merger"
	"lycheelift.example/lib/planner"
)

// gatheredReply merges the parts into the reply.
func (q *query) gatheredReply(p *planner.Reply) *carrier.Reply {
	out := &carrier.Reply{Outcome: carrier.Gathered, Missing: len(p.Missing)}
	bodies := make([][]byte, 0, len(p.Parts))
	for _, part := range p.Parts {
		answer := q.answers[part.Attempt]
		out.Stamps = append(out.Stamps, answer.Stamp)
		bodies = append(bodies, answer.Body)
	}
	out.Body = merger.Merge(bodies, q.route.Top)
	if len(p.Missing) > 0 {
		out.Reason = p.Missing[0].Reason.String()
	}
	return out
}

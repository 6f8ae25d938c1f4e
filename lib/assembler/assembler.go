// Package assembler decides when a query over many shards has received enough parts for an answer. A portion is a group
// of shards that one host gathers; a part is the answer of one shard.
package assembler

import "time"

// Query holds the parameters of an assembler.
type Query struct {
	// Sizes are the numbers of shards of the portions.
	Sizes []int
	// MinCoverage is the minimum coverage: the fraction of all shards that an answer must have parts of, from 0 to 1.
	MinCoverage float64
	// Received is when the request arrived, Target when its answer should be given and Deadline when it must be.
	Received, Target, Deadline time.Time
}

// Assembler tracks the parts of one query. It is not safe for concurrent use.
type Assembler struct {
	query        Query
	portions     []portion
	total        int
	targetMissed bool
}

type portion struct {
	parts     int
	responded bool
	final     bool
}

// New returns an assembler without parts.
func New(q Query) *Assembler {
	a := &Assembler{query: q, portions: make([]portion, len(q.Sizes))}
	for _, n := range q.Sizes {
		a.total += n
	}
	return a
}

// Update sets the number of parts received for a portion. Final is true when no more parts will arrive for it.
func (a *Assembler) Update(i, parts int, final bool) {
	p := &a.portions[i]
	if p.final {
		return
	}
	p.parts, p.responded, p.final = parts, true, final
}

// Received returns the number of parts received so far.
func (a *Assembler) Received() int {
	out := 0
	for _, p := range a.portions {
		out += p.parts
	}
	return out
}

// Sufficient reports whether the parts received so far reach the minimum coverage.
func (a *Assembler) Sufficient() bool {
	return a.sufficient(a.Received())
}

func (a *Assembler) sufficient(parts int) bool {
	return parts > 0 && float64(parts) >= a.query.MinCoverage*float64(a.total)
}

// reachable returns the largest number of parts that the query can still reach.
func (a *Assembler) reachable() int {
	out := 0
	for i, p := range a.portions {
		if p.final {
			out += p.parts
		} else {
			out += a.query.Sizes[i]
		}
	}
	return out
}

// allFinal reports whether no portion has parts outstanding.
func (a *Assembler) allFinal() bool {
	for _, p := range a.portions {
		if !p.final {
			return false
		}
	}
	return true
}

// Done reports whether the wait for parts is over.
//
// At the target, a partial answer with sufficient coverage is returned: a late answer has only a fraction of the value
// of a timely one, while a missing part costs about twice its share. Once the target is missed, waiting costs little,
// and the missing parts get the same time again. A portion that has not responded at all by then is treated as lost.
// When the minimum coverage can no longer be reached, the wait ends at once.
func (a *Assembler) Done(now time.Time) bool {
	if a.allFinal() || !a.sufficient(a.reachable()) || !now.Before(a.query.Deadline) {
		return true
	}
	at := a.partialAt()
	if at.IsZero() || now.Before(at) {
		return false
	}
	if a.Sufficient() {
		return true
	}
	if a.targetMissed {
		for i := range a.portions {
			if !a.portions[i].responded {
				a.portions[i].final = true
			}
		}
		return a.allFinal() || !a.sufficient(a.reachable())
	}
	a.targetMissed = true
	return false
}

// partialAt returns the time from which a partial answer is returned if it reaches the minimum coverage, or the zero
// time.
func (a *Assembler) partialAt() time.Time {
	q := &a.query
	if q.Target.IsZero() {
		return time.Time{}
	}
	if a.targetMissed {
		return q.Target.Add(q.Target.Sub(q.Received))
	}
	return q.Target
}

// Next returns when Done must be called again if no further parts arrive.
func (a *Assembler) Next(now time.Time) time.Time {
	if at := a.partialAt(); at.After(now) && at.Before(a.query.Deadline) {
		return at
	}
	return a.query.Deadline
}

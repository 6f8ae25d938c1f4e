package planner

import (
	"strconv"
	"strings"
	"time"

	"lycheelift.example/lib/cataloguer"
)

// none marks the end of a shard's list of attempts.
const none = -1

type attemptState uint8

const (
	open attemptState = iota
	done
	cancelled
)

// attempt is one call of the query.
type attempt struct {
	call  Call
	state attemptState
	// previous is the shard's attempt before this one.
	previous int
	// reached is false once it is certain that the leaf did not receive the call.
	reached bool
	// lost is true while the leaf may have run the call and its result is not known.
	lost   bool
	reason Reason
}

// shard is the state of one shard of the pinned snapshot.
type shard struct {
	settled  bool
	answered bool
	reason   Reason
	body     []byte
	// source is the snapshot that the body comes from.
	source   uint64
	winner   string
	last     int
	attempts int
	// unsent counts the attempts that never reached a leaf.
	unsent int
	hedges int
	open   int
}

// due is a call that is hedged when its time comes.
type due struct {
	at      time.Time
	attempt int
}

// Planner is the state of one query. It belongs to one goroutine.
type Planner struct {
	query     Query
	world     World
	violation func(invariant, text string)

	snapshot *cataloguer.Snapshot
	shards   []shard
	attempts []attempt
	// first is the first attempt of the present run; a rerun on a newer snapshot moves it.
	first int
	// left counts the shards that are not settled, missing those that are settled without an answer.
	left    int
	missing int
	// waiting is true while the canary's reply is awaited.
	waiting bool
	// crashed stops hedges and retries: the request may be harmful.
	crashed   bool
	reporting int
	trigger   time.Duration
	// parked holds the shards whose snapshot is gone while no newer one is known yet; recheck is the next look.
	parked  []uint32
	recheck time.Time
	hedges  []due
	timer   time.Time
	// late is true once the target has passed without enough parts.
	late    bool
	closed  bool
	actions []Action
}

// Option changes a planner.
type Option func(*Planner)

// WithViolation sets what is told of a broken invariant; the default panics.
func WithViolation(f func(invariant, text string)) Option {
	return func(p *Planner) { p.violation = f }
}

// New returns the planner of a query.
func New(query Query, world World, options ...Option) *Planner {
	p := &Planner{query: query, world: world, violation: stop}
	for _, o := range options {
		o(p)
	}
	return p
}

// Step takes an event and returns what is to be done. The actions are valid until the next call.
func (p *Planner) Step(e Event, now time.Time) []Action {
	p.actions = p.actions[:0]
	if p.closed {
		p.afterEnd(e)
		return p.actions
	}
	switch e.Kind {
	case Start:
		p.start(now)
	case Returned:
		p.returned(e.Result, now)
	case Reported:
		p.reporting = max(0, p.reporting-1)
	case Abandoned:
		p.giveUp(reasonCancelled)
	case Elapsed:
		p.timer = time.Time{}
		if !now.Before(p.end()) {
			p.giveUp(reasonDeadline)
		}
		p.unpark(now)
		p.hedge(now)
	}
	if p.hopeless() {
		p.giveUp(reasonCoverage)
	}
	p.suffice(now)
	p.advance(now)
	return p.actions
}

// end is when the reply must leave this host.
func (p *Planner) end() time.Time {
	return p.query.Deadline.Add(-Hop)
}

// advance finishes the query once nothing is awaited, else sets the timer.
func (p *Planner) advance(now time.Time) {
	if p.closed {
		return
	}
	if p.left == 0 && (p.reporting == 0 || !now.Before(p.end())) {
		p.finish()
		return
	}
	next := p.end()
	if len(p.hedges) > 0 && p.hedges[0].at.Before(next) {
		next = p.hedges[0].at
	}
	if len(p.parked) > 0 && p.recheck.Before(next) {
		next = p.recheck
	}
	if at := p.sufficeAt(); at.After(now) && at.Before(next) {
		next = at
	}
	if !next.Equal(p.timer) {
		p.timer = next
		p.actions = append(p.actions, Action{Kind: SetTimer, At: next})
	}
}

// giveUp settles every shard that is still awaited.
func (p *Planner) giveUp(reason Reason) {
	for i := range p.shards {
		if !p.shards[i].settled {
			p.settle(uint32(i), reason)
		}
	}
	p.reporting = 0
	p.waiting = false
	p.parked = nil
}

// afterEnd drops what arrives when the reply has been given.
func (p *Planner) afterEnd(e Event) {
	if e.Kind == Returned {
		_, ok := p.find(e.Result)
		p.drop(e.Result, !ok)
	}
}

// find returns the attempt that a result belongs to.
func (p *Planner) find(r Result) (int, bool) {
	suffix, ok := strings.CutPrefix(r.Attempt, p.query.Identity+"/")
	if !ok {
		return 0, false
	}
	i, err := strconv.Atoi(suffix)
	if err != nil || i < 0 || i >= len(p.attempts) {
		return 0, false
	}
	c := &p.attempts[i].call
	return i, c.Shard == r.Shard && c.Snapshot == r.Snapshot && c.Target.Leaf.Name == r.Leaf
}

func (p *Planner) drop(r Result, mismatched bool) {
	p.actions = append(p.actions, Action{Kind: Drop, Result: r, Mismatched: mismatched})
}

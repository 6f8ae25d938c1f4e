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
	// reached is false once it is certain that the leaf did not receive the call or did not run it.
	reached bool
	// uncertain is true while the leaf may have run the call and the result is not known.
	uncertain bool
	reason    Reason
}

// shard is the state of one shard of the pinned snapshot.
type shard struct {
	resolved bool
	answered bool
	reason   Reason
	body     []byte
	// bodySnapshot is the snapshot that the body comes from.
	bodySnapshot uint64
	answeredBy   string
	lastAttempt  int
	attempts     int
	// unsent counts the attempts that never reached a leaf.
	unsent int
	hedges int
	open   int
}

// hedgeTimer is the time at which a call is checked for a hedge.
type hedgeTimer struct {
	at      time.Time
	attempt int
}

// Planner is the state of one query. It is not safe for concurrent use.
type Planner struct {
	query     Query
	env       Environment
	violation func(invariant, text string)

	snapshot *cataloguer.Snapshot
	shards   []shard
	attempts []attempt
	// firstAttempt is the index of the current run's first attempt. A rerun on a newer snapshot advances it.
	firstAttempt int
	// unresolved counts the shards that still await an answer, and missing those that were resolved without one.
	unresolved int
	missing    int
	// awaitingCanary is true until the canary's reply arrives.
	awaitingCanary bool
	// crashed is set when a leaf crashed on the request. It stops hedges and retries, because the request may crash others.
	crashed        bool
	pendingReports int
	trigger        time.Duration
	// awaitingSnapshot holds the shards whose leaves no longer hold the pinned snapshot while no newer one is known;
	// recheck is the time of the next check for one.
	awaitingSnapshot []uint32
	recheck          time.Time
	hedges           []hedgeTimer
	timer            time.Time
	// targetMissed is true once the target time has passed without sufficient coverage.
	targetMissed bool
	replied      bool
	actions      []Action
}

// Option configures a planner.
type Option func(*Planner)

// WithViolation sets the handler of invariant violations. The default handler panics.
func WithViolation(f func(invariant, text string)) Option {
	return func(p *Planner) { p.violation = f }
}

// New returns a planner for one query.
func New(query Query, env Environment, options ...Option) *Planner {
	p := &Planner{query: query, env: env, violation: panicOnViolation}
	for _, o := range options {
		o(p)
	}
	return p
}

// Step processes an event and returns the actions to take. The actions are valid until the next call.
func (p *Planner) Step(e Event, now time.Time) []Action {
	p.actions = p.actions[:0]
	if p.replied {
		p.handleAfterReply(e)
		return p.actions
	}
	switch e.Kind {
	case Start:
		p.start(now)
	case Returned:
		p.handleReturned(e.Result, now)
	case Reported:
		p.pendingReports = max(0, p.pendingReports-1)
	case Abandoned:
		p.abort(reasonCancelled)
	case Elapsed:
		p.timer = time.Time{}
		if !now.Before(p.replyDeadline()) {
			p.abort(reasonDeadline)
		}
		p.recheckSnapshot(now)
		p.sendHedges(now)
	}
	if p.coverageUnreachable() {
		p.abort(reasonCoverage)
	}
	p.acceptPartial(now)
	p.advance(now)
	return p.actions
}

// replyDeadline returns the time by which the reply must be sent from this host.
func (p *Planner) replyDeadline() time.Time {
	return p.query.Deadline.Add(-HopMargin)
}

// advance finishes the query once all shards are resolved and all suspect reports are acknowledged. Otherwise it sets
// the timer.
func (p *Planner) advance(now time.Time) {
	if p.replied {
		return
	}
	if p.unresolved == 0 && (p.pendingReports == 0 || !now.Before(p.replyDeadline())) {
		p.finish()
		return
	}
	next := p.replyDeadline()
	if len(p.hedges) > 0 && p.hedges[0].at.Before(next) {
		next = p.hedges[0].at
	}
	if len(p.awaitingSnapshot) > 0 && p.recheck.Before(next) {
		next = p.recheck
	}
	if at := p.partialAt(); at.After(now) && at.Before(next) {
		next = at
	}
	if !next.Equal(p.timer) {
		p.timer = next
		p.actions = append(p.actions, Action{Kind: SetTimer, At: next})
	}
}

// abort resolves every remaining shard as missing.
func (p *Planner) abort(reason Reason) {
	for i := range p.shards {
		if !p.shards[i].resolved {
			p.resolve(uint32(i), reason)
		}
	}
	p.pendingReports = 0
	p.awaitingCanary = false
	p.awaitingSnapshot = nil
}

// handleAfterReply drops results that arrive after the reply was sent.
func (p *Planner) handleAfterReply(e Event) {
	if e.Kind == Returned {
		_, ok := p.find(e.Result)
		p.dropResult(e.Result, !ok)
	}
}

// find returns the index of the attempt that a result names. It reports false when there is none or when the result's
// shard, snapshot or leaf differ from it.
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

func (p *Planner) dropResult(r Result, mismatched bool) {
	p.actions = append(p.actions, Action{Kind: CountDropped, Result: r, Mismatched: mismatched})
}

package answerer

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheelift.example/fleetd/follower"
	"lycheelift.example/lib/assembler"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/divider"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/merger"
)

// Helper gathers portions on other hosts.
type Helper interface {
	// Usable reports whether a host can be asked at once.
	Usable(host string) bool
	// Await waits until one of some hosts can be asked at once, none of them is being connected any more, or ctx ends.
	Await(ctx context.Context, hosts []string)
	// Gather has a portion gathered by a host. It returns an error that is ErrDeclined when it is certain that the host
	// has not begun to.
	Gather(ctx context.Context, host string, p *Portion, give func(*Parts)) error
}

// ErrDeclined means that a host does not gather a portion and has sent nothing to a leaf.
var ErrDeclined = errors.New("the host does not gather the portion")

const (
	// assembleTime is taken off the target of a portion: its way back, and the merge of the portions, on hosts with a
	// part of a core. Parts that come later are told one by one.
	assembleTime = 8 * time.Millisecond
	// assembleShare bounds assembleTime to a part of short targets.
	assembleShare = 4
	// awaitTime is how long a query waits for a connection to a helper, and awaitShare bounds it to a part of short
	// targets. A host that gathers a portion that is not its own opens connections to all its leaves: when all hosts have
	// just started and do that, the leaves' connections do not suffice.
	awaitTime  = 25 * time.Millisecond
	awaitShare = 4
	// dividedFactor is how many portions' shards a query has at least when it is divided: below, the way to another
	// host costs more than it saves.
	dividedFactor = 2
)

// WithHelpers lets other hosts gather portions of a number of shards at most. Self is this host's own address among the
// view's helpers, and gatherers the number of hosts of a data centre that gather one portion.
func WithHelpers(self string, size, gatherers int, h Helper) Option {
	return func(a *Answerer) { a.helper, a.portion, a.divider = h, size, divider.New(self, gatherers) }
}

// Sweep forgets what is known of helpers that are gone, has the others connected before they are needed, and notes for
// which portions this host is responsible. It is to be called now and then.
func (a *Answerer) Sweep(now time.Time) {
	view := a.viewer.View()
	if a.divider == nil || view.Table == nil {
		return
	}
	a.divider.Keep(view.Hosts())
	seen := make(map[string]bool)
	var duties []string
	for i := range view.Table.Document().Routes {
		services := view.Table.Document().Routes[i].Gather
		if !a.divides(view, services) || seen[services[0]] {
			continue
		}
		seen[services[0]] = true
		shards := placed(view, services)
		for _, p := range a.divider.Divide(a.center, shards, view.Helpers, a.portion) {
			for _, host := range a.divider.Candidates(p.Key, view.Helpers[p.Center]) {
				if host != a.divider.Self() {
					a.helper.Usable(host)
				}
			}
		}
		for _, key := range divider.Keys(a.center, shards, a.portion) {
			if slices.Contains(a.divider.Responsible(key, view.Helpers[a.center]), a.divider.Self()) {
				duties = append(duties, key)
			}
		}
	}
	a.divider.Duties(duties, now)
}

// divides reports whether other hosts are to gather portions of a query over some services.
func (a *Answerer) divides(view *follower.View, services []string) bool {
	return a.helper != nil && a.portion > 0 && len(services) >= dividedFactor*a.portion && view.Helping()
}

// placed returns the shards that some services hold and the data centres of their leaves.
func placed(view *follower.View, services []string) []divider.Shard {
	out := make([]divider.Shard, 0, len(services))
	for _, service := range services {
		s := divider.Shard{Service: service}
		for _, l := range view.Holders[service] {
			if !slices.Contains(s.Centers, l.Center) {
				s.Centers = append(s.Centers, l.Center)
			}
		}
		out = append(out, s)
	}
	return out
}

// share is one portion and what has come in of it.
type share struct {
	portion *Portion
	// candidates are the hosts that may be asked for it.
	candidates []string
	parts      *Parts
}

// update tells of parts of a portion.
type update struct {
	number int
	parts  *Parts
}

// gatherDivided has the portions of the query gathered and merges them.
func (q *query) gatherDivided(ctx context.Context) *carrier.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	shares := q.divide()
	updates := make(chan update, len(shares))
	sizes := make([]int, len(shares))
	for i, s := range shares {
		sizes[i] = len(s.portion.Services)
		go q.fetch(ctx, i, s, updates)
	}
	assemble := assembler.New(assembler.Query{
		Sizes: sizes, Least: q.route.Least, Received: q.request.Received, Target: q.target(), Deadline: q.deadline,
	})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := q.answerer.clock()
		if assemble.Done(now) {
			return q.assembled(shares, assemble.Enough(), now)
		}
		timer.Reset(assemble.Next(now).Sub(now))
		select {
		case u := <-updates:
			shares[u.number].parts = u.parts
			assemble.Take(u.number, len(u.parts.Stamps), u.parts.Last)
			q.alive = q.alive || len(u.parts.Stamps) > 0
			q.lost += u.parts.Lost
		case <-timer.C:
		case <-ctx.Done():
			return &carrier.Reply{Outcome: carrier.Abandoned, Reason: "the caller has left"}
		}
	}
}

// divide makes the portions of the query.
func (q *query) divide() []*share {
	a := q.answerer
	portions := a.divider.Divide(a.center, placed(q.view, q.shards), q.view.Helpers, a.portion)
	spare := int(float64(len(q.shards)) * (1 - q.route.Least))
	aim := q.deadline
	if target := q.target(); !target.IsZero() {
		aim = target.Add(-min(assembleTime, q.route.Target/assembleShare))
	}
	out := make([]*share, 0, len(portions))
	for _, p := range portions {
		out = append(out, &share{
			parts: &Parts{}, candidates: a.divider.Candidates(p.Key, q.view.Helpers[p.Center]),
			portion: &Portion{
				Request: q.request, Route: q.route.Name, Goal: q.route.Target, Key: p.Key, Services: p.Services, Top: q.route.Top, Attempts: max(q.route.Attempts, 1),
				Spare: spare / len(portions), Aim: aim, Deadline: q.deadline, Asker: a.host, Version: q.view.Version(),
			},
		})
	}
	return out
}

// fetch has one portion gathered by the host that is chosen for it, and by this one when that host declines.
func (q *query) fetch(ctx context.Context, number int, s *share, updates chan<- update) {
	a, p := q.answerer, s.portion
	give := func(parts *Parts) {
		select {
		case updates <- update{number: number, parts: parts}:
		case <-ctx.Done():
		}
	}
	began := a.clock()
	host := q.choose(ctx, s.candidates, began)
	if host != a.divider.Self() {
		if err := q.ask(ctx, host, p, began, give); !errors.Is(err, ErrDeclined) {
			return
		}
	}
	a.Gather(ctx, p, give)
}

// choose returns the host that is to gather a portion. It waits a little for a candidate that is being connected.
func (q *query) choose(ctx context.Context, candidates []string, now time.Time) string {
	a := q.answerer
	host := a.divider.Choose(candidates, a.helper.Usable, now)
	if host != a.divider.Self() || slices.Contains(candidates, host) || len(candidates) == 0 {
		return host
	}
	wait := awaitTime
	if q.route.Target > 0 {
		wait = min(wait, q.route.Target/awaitShare)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a.helper.Await(ctx, candidates)
	return a.divider.Choose(candidates, a.helper.Usable, a.clock())
}

// ask has a portion gathered by another host.
func (q *query) ask(ctx context.Context, host string, p *Portion, began time.Time, give func(*Parts)) error {
	a := q.answerer
	heard, latest := false, Parts{}
	a.divider.Begin(host)
	err := a.helper.Gather(ctx, host, p, func(parts *Parts) {
		if !heard {
			heard = true
			a.divider.Answered(host, a.clock().Sub(began), a.clock())
		}
		latest = *parts
		give(parts)
	})
	now := a.clock()
	lost := !heard && (ctx.Err() == nil || now.After(p.Aim))
	a.divider.End(host, lost, now)
	if err == nil || ctx.Err() != nil && !lost {
		return nil
	}
	eventer.PortionLost.Log(now, "id", p.Request.ID, "host", host, "services", len(p.Services), "heard", heard, "took", now.Sub(began), "error", err.Error())
	if !errors.Is(err, ErrDeclined) {
		// What has come in stays; the rest will not come.
		latest.Last, latest.Unrun = true, false
		give(&latest)
	}
	return err
}

// assembled makes the reply from what has come in.
func (q *query) assembled(shares []*share, enough bool, now time.Time) *carrier.Reply {
	out := &carrier.Reply{Outcome: carrier.Gathered}
	var records [][]byte
	unrun := true
	for _, s := range shares {
		out.Stamps = append(out.Stamps, s.parts.Stamps...)
		records = append(records, s.parts.Records)
		unrun = unrun && s.parts.Last && s.parts.Unrun
	}
	out.Missing = len(q.shards) - len(out.Stamps)
	if out.Missing > 0 {
		out.Reason = reasonDeadline.String()
	}
	switch {
	case enough:
		out.Body = merger.Merge(records, q.route.Top)
		return out
	case unrun:
		return q.refused(reasonNoReplica)
	case !now.Before(q.deadline):
		out.Outcome = carrier.TimedOut
	default:
		q.unreachable = true
		out.Outcome, out.Reason = carrier.Failed, reasonCoverage.String()
	}
	return out
}

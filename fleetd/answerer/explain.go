package answerer

import (
	"math"
	"slices"
	"time"

	"lycheelift.example/fleetd/follower"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/divider"
	"lycheelift.example/lib/roller"
	"lycheelift.example/lib/router"
	"lycheelift.example/lib/selector"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Names of the checks that can reject a request, in their order.
const (
	checkConfiguration = "configuration"
	checkRoute         = "route"
	checkKey           = "key"
	checkConfirmation  = "confirmation"
	checkDeadline      = "deadline"
	checkStop          = "stop"
	checkCutOff        = "cutoff"
	checkSuspect       = "suspect"
	checkQuota         = "quota"
	checkAdmission     = "admission"
	checkLeaves        = "leaves"
)

// Preview provides read-only answers of the checks that take something when a request runs, such as a token. Its functions
// must change nothing. A nil function means that the host does not have the check.
type Preview struct {
	// Quota returns the state of a tenant's quota, and the reply if a request of the tenant would be rejected now.
	Quota func(t *router.Tenant, now time.Time) (QuotaState, *carrier.Reply)
	// Admission returns the reply if admission control would reject a request now.
	Admission func(r *carrier.Request, route *router.Route, priority int, now time.Time) *carrier.Reply
}

// WithPreview sets the previews that Explain uses.
func WithPreview(p Preview) Option {
	return func(a *Answerer) { a.preview = p }
}

// QuotaState is the state of a tenant's quota on this host.
type QuotaState struct {
	// Stock is the number of tokens on this host, and ValidUntil is when the first of them expire. Without tokens, ValidUntil is
	// zero, and the coordinator decides on the request.
	Stock      float64
	ValidUntil time.Time
	// Silence is the time for which no coordinator has answered, 0 if the latest calls were answered.
	Silence time.Duration
}

// Explanation describes what this host would do with a request.
type Explanation struct {
	Host, Center string
	At           time.Time
	// Version is the version of the configuration in force, 0 without one. Contact is when this host last heard from a
	// control host in contact with a leader.
	Version uint64
	Contact time.Time
	// Evacuated holds the data centres that are out of use, in alphabetical order.
	Evacuated []string
	// StopsAt is the end of this host's graceful stop, zero while it is not stopping.
	StopsAt time.Time
	// Route is nil if there is none.
	Route *router.Route
	// Tenant is nil if the request has none.
	Tenant   *router.Tenant
	Priority int
	// Quota is nil if this host keeps no state of the tenant's quota.
	Quota *QuotaState
	// Rejection is the reply if the host would reject the request, and Check the name of the check that rejects it.
	Rejection *carrier.Reply
	Check     string
	// Typical is the typical latency of the route's calls, and Hedge the age at which a call is hedged.
	Typical, Hedge time.Duration
	// Needed is the number of shards that the answer needs.
	Needed int
	// Shards are the services that this host calls itself, Portions the portions of a divided query.
	Shards   []ShardChoice
	Portions []PortionChoice
}

// ShardChoice is the choice among the leaves of one service.
type ShardChoice struct {
	Service string
	// Share is the share of the route's requests that go to the service, 1 for the shards of a query.
	Share      float64
	Candidates []selector.Candidate
	// Choice and Runner are positions of candidates, -1 for none. They do not include the random part of the costs. Odds is the
	// probability, from 0 to 1, that Choice remains the first with it.
	Choice, Runner int
	Odds           float64
	// Group names the leaves from which the candidates are drawn, and Rollout is the newest order of the service. They are empty
	// and nil if the service has none.
	Group   Group
	Rollout *RolloutState
	// Trial is the choice for the requests that the running rollout moves, nil if it moves none or all. If it has no choice, these
	// requests are sent like the others.
	Trial *ShardChoice
	// Forced is true if leaves that could not be reached recently were considered too. Omitted is true if the shard is left
	// out because the others suffice.
	Forced, Omitted bool
}

// Group is the part of a service's leaves from which candidates are drawn.
type Group string

// Groups of leaves.
const (
	// Stable leaves have the version in use.
	Stable Group = "stable"
	// Trial leaves have the ordered version.
	Trial Group = "trial"
	// Substitute leaves have another version than the one in use, which has no leaves.
	Substitute Group = "substitute"
)

// RolloutState is the newest order for a service.
type RolloutState struct {
	// Baseline is the version in use, and Target the ordered one.
	Baseline, Target string
	// Progress is the state of the order, and Share, from 0 to 1, is the share of the requests that it moves while it is running.
	Progress statev1.RolloutState
	Share    float64
	// Suspended is true if the host does not use the share, because it has lost contact with the control hosts.
	Suspended bool
}

// PortionChoice is the choice among the hosts that may gather a portion.
type PortionChoice struct {
	Portion    divider.Portion
	Candidates []divider.Candidate
	// Host is the address of the chosen host, and Local is true if it is this one. Choice and Runner are positions of
	// candidates; -1 stands for this host, for lack of others.
	Host           string
	Local          bool
	Choice, Runner int
	// Wait is how long the query would wait for a connection to a candidate before this host gathers the portion itself.
	Wait time.Duration
	// Shards are the choices among the leaves of a local portion.
	Shards []ShardChoice
}

// Explain describes what Answer would do with a request now. It sends nothing, changes no state and counts nothing. The
// request's key is cleared.
func (a *Answerer) Explain(r *carrier.Request) *Explanation {
	confirmed := a.confirmed()
	view, now := a.viewer.View(), a.clock()
	q := &query{answerer: a, request: r, view: view, confirmed: confirmed, preview: true}
	out := &Explanation{Host: a.host, Center: a.center, At: now, Version: view.Version(), Contact: view.LastLeaderContact}
	for center, evacuated := range view.Evacuated {
		if evacuated {
			out.Evacuated = append(out.Evacuated, center)
		}
	}
	slices.Sort(out.Evacuated)
	if s := a.stopSchedule(); s != nil {
		out.StopsAt = s.End
	}
	out.Check, out.Rejection = q.resolve()
	r.Key = "" // A request that finds no route keeps it otherwise.
	out.Route, out.Tenant = q.route, q.tenant
	if out.Route != nil {
		out.Priority = q.priority()
	}
	if out.Rejection != nil {
		return out
	}
	q.shards, q.deadline = q.route.Gather, q.replyDeadline()
	out.Check, out.Rejection = q.previewChecks(out, now)
	if out.Rejection == nil {
		q.explainChoices(out, now)
	}
	return out
}

// previewChecks returns the name and the reply of the check that would reject the request after its key has been accepted,
// and sets the state of the tenant's quota.
func (q *query) previewChecks(out *Explanation, now time.Time) (string, *carrier.Reply) {
	preview := &q.answerer.preview
	var overQuota *carrier.Reply
	if q.tenant != nil && q.tenant.Limited() && preview.Quota != nil {
		var state QuotaState
		state, overQuota = preview.Quota(q.tenant, now)
		out.Quota = &state
	}
	if check, reply := q.refusal(now); reply != nil {
		return check, reply
	}
	if overQuota != nil {
		return checkQuota, overQuota
	}
	if preview.Admission != nil {
		if reply := preview.Admission(q.request, q.route, q.priority(), now); reply != nil {
			return checkAdmission, reply
		}
	}
	return "", nil
}

// explainChoices sets the choices among leaves and hosts.
func (q *query) explainChoices(out *Explanation, now time.Time) {
	out.Typical, out.Hedge, out.Needed = q.typical(), (*environment)(q).Trigger(), 1
	if n := len(q.shards); n > 0 {
		out.Needed = int(math.Ceil(q.route.MinCoverage * float64(n)))
	}
	switch {
	case len(q.shards) == 0:
		out.Shards = q.explainSplit(now)
	case q.answerer.shouldDivide(q.view, q.shards):
		out.Portions = q.explainPortions(now)
		return
	default:
		out.Shards = q.explainShards(now)
	}
	callable := slices.ContainsFunc(out.Shards, func(s ShardChoice) bool { return s.Choice >= 0 || s.Trial != nil && s.Trial.Choice >= 0 })
	if !callable {
		q.shards = services(out.Shards)
		out.Check, out.Rejection = checkLeaves, q.refused(reasonNoReplica)
	}
}

func services(shards []ShardChoice) []string {
	out := make([]string, 0, len(shards))
	for i := range shards {
		out = append(out, shards[i].Service)
	}
	return out
}

// explainSplit returns the choices for each service of the route's traffic split. The service is drawn at random.
func (q *query) explainSplit(now time.Time) []ShardChoice {
	total := 0.0
	for _, s := range q.route.Split {
		total += max(s.Weight, 0)
	}
	var out []ShardChoice
	for _, s := range q.route.Split {
		if s.Weight <= 0 {
			continue
		}
		one := *q
		one.shards = []string{s.Service}
		shards := one.explainShards(now)
		shards[0].Share = s.Weight / total
		out = append(out, shards[0])
	}
	return out
}

// explainShards returns the choices that environment.Choose would make for the primary calls.
func (q *query) explainShards(now time.Time) []ShardChoice {
	out := make([]ShardChoice, 0, len(q.shards))
	for i := range q.shards {
		out = append(out, q.explainShard(uint32(i), now))
	}
	return out
}

func (q *query) explainShard(shard uint32, now time.Time) ShardChoice {
	service, view := q.shards[shard], q.answerer.viewer.View()
	c := q.choice(shard)
	c.Holders = view.Candidates(service, everyCall, now)
	out := ShardChoice{Service: service, Share: 1, Rollout: rolloutState(view, service, now)}
	out.Group = groupOf(view.Rollouts[service], c.Holders)
	out.Trial = q.explainTrial(c, view, out.Rollout, service, now)
	q.inspect(&out, c, now)
	switch {
	case out.Choice >= 0:
	case q.skippable():
		q.skipped++
		out.Omitted = true
	default:
		c.Force, out.Forced = true, true
		q.inspect(&out, c, now)
	}
	return out
}

// inspect sets the candidates and the choice among them.
func (q *query) inspect(s *ShardChoice, c selector.Choice, now time.Time) {
	s.Candidates = q.answerer.selector.Inspect(c, now)
	s.Choice, s.Runner, s.Odds = selector.Preferred(s.Candidates)
}

// explainTrial returns the choice for the requests that a running rollout moves, nil if it moves none or all.
func (q *query) explainTrial(c selector.Choice, view *follower.View, r *RolloutState, service string, now time.Time) *ShardChoice {
	if r == nil || r.Suspended || r.Share <= 0 || r.Share >= 1 || len(view.Trials[service]) == 0 {
		return nil
	}
	c.Holders = view.Candidates(service, 0, now) // 0 is below every share.
	out := &ShardChoice{Service: service, Share: r.Share, Group: Trial}
	q.inspect(out, c, now)
	return out
}

// rolloutState returns the newest order for a service, nil if there is none.
func rolloutState(view *follower.View, service string, now time.Time) *RolloutState {
	r := view.Rollouts[service]
	if r == nil {
		return nil
	}
	out := &RolloutState{Baseline: r.GetBaseline(), Target: r.GetTarget(), Progress: r.GetState()}
	if roller.Running(r) {
		out.Share, out.Suspended = float64(r.GetShare())/roller.FullShare, !view.Fresh(now)
	}
	return out
}

// groupOf returns the group to which candidates belong, empty if the service has no order or there are no candidates.
func groupOf(r *statev1.Rollout, candidates []*cataloguer.Leaf) Group {
	if r == nil || len(candidates) == 0 {
		return ""
	}
	switch roller.RoleOf(r, candidates[0].Program) {
	case roller.Stable:
		return Stable
	case roller.Trial:
		return Trial
	default:
		return Substitute
	}
}

// explainPortions returns the choices for each portion of a divided query.
func (q *query) explainPortions(now time.Time) []PortionChoice {
	a := q.answerer
	portions := a.divider.Divide(a.center, shardPlacement(q.view, q.shards), q.view.Helpers, a.portionSize)
	maxMissing := q.maxMissingPerPortion(len(portions))
	out := make([]PortionChoice, 0, len(portions))
	for _, p := range portions {
		out = append(out, q.explainPortion(p, maxMissing, now))
	}
	return out
}

func (q *query) explainPortion(p divider.Portion, maxMissing int, now time.Time) PortionChoice {
	a := q.answerer
	hosts := a.divider.Candidates(p.Key, q.view.Helpers[p.Center])
	out := PortionChoice{Portion: p, Candidates: a.divider.Inspect(hosts, a.helper.Connected, now)}
	out.Choice, out.Runner = a.divider.Preferred(out.Candidates)
	if out.Choice >= 0 {
		out.Host = out.Candidates[out.Choice].Host
		return out
	}
	out.Host, out.Local = a.divider.Self(), true
	if len(hosts) > 0 && !slices.Contains(hosts, out.Host) {
		out.Wait = q.connectWait()
	}
	portion := *q
	portion.shards, portion.maxMissing, portion.portionKey, portion.skipped = p.Services, maxMissing, p.Key, 0
	portion.emit = func(*Parts) {}
	out.Shards = portion.explainShards(now)
	return out
}

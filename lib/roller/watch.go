package roller

import (
	"slices"
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// slotTime is the resolution of recent counts, and slots how many are kept.
	slotTime = time.Second
	slots    = 10
	// rateSlots is the number of complete slots from which the present rate is taken.
	rateSlots = 3
	// reportTimeout is the age from which a host's report says nothing about the present.
	reportTimeout = 1500 * time.Millisecond
	// maxReporters bounds the processes whose counts are kept for one order.
	maxReporters = 8192
)

// Shares of the traffic before the full share, as fractions of the permitted exposure, and the part of the slack that is
// added to the first. The full share is only given near the deadline: whatever a version does wrong until then reaches only
// the first share, and the time that is left keeps the full share within the exposure.
const (
	trialExposure = 0.25
	trialSlack    = 0.5
	maxTrial      = 300
	middleShare   = 300
	// lateReserve is the multiple of the present rate for which the exposure of the full share is kept free.
	lateReserve = 1.6
	// minTrial is the part of the permitted exposure that is used before the full share in any case.
	minTrial = 0.1
	// rateTime is the time after the first counts from which the rate is known well enough to use the slack.
	rateTime = 3 * time.Second
	// minBudget is the permitted exposure in requests from which a version gets any.
	minBudget = 5
	// trialBudget and fullBudget are the fractions of the permitted exposure at which the trial and the full share stop.
	trialBudget = 0.5
	fullBudget  = 0.95
	// futurePart is the fraction of the requests expected until the deadline that counts towards the permitted exposure.
	futurePart = 0.5
	// stepInterval is the minimum time between two changes of the trial share, and shareTolerance the smallest relative
	// change.
	stepInterval   = 2 * time.Second
	shareTolerance = 0.25
	// reportLag is the time until calls are counted and a step that stops them has reached the hosts. confirmTime is the time
	// from a step to the full share until all hosts have said that they have left the old version, and recordTime the time to
	// decide and record a success.
	reportLag   = 700 * time.Millisecond
	confirmTime = time.Second
	recordTime  = 300 * time.Millisecond
)

// schedule holds the times of an order, from its beginning.
type schedule struct {
	// middle and full are when the second and the full share are due, done is when a success is due, and last when the order
	// must have an outcome.
	middle, full, done, last time.Duration
	// hold is how long the full share lasts at least, and grace how long slow answers are attributed to cold leaves.
	hold, grace time.Duration
}

const (
	marginPart, minMargin, maxMargin = 0.06, 500 * time.Millisecond, 5 * time.Second
	fullPart, minFull, maxFull       = 0.06, 1200 * time.Millisecond, 8 * time.Second
	lastPart, maxLast                = 0.02, 400 * time.Millisecond
	maxHold                          = time.Second
	gracePart, maxGrace              = 0.1, 5 * time.Second
)

func newSchedule(d, rollback time.Duration) schedule {
	part := func(p float64, least, most time.Duration) time.Duration {
		return min(max(time.Duration(p*float64(d)), least), most)
	}
	margin, full := part(marginPart, minMargin, maxMargin), part(fullPart, minFull, maxFull)
	// An order that is too short for all shares keeps half of its time for the trial.
	begin := max(d-margin-full, d/2) //nolint:mnd // Half.
	return schedule{
		middle: begin - full/3, full: begin, done: d - margin, last: d - part(lastPart, 0, maxLast), //nolint:mnd // A third.
		hold: min(full/2, (d-begin)/3, maxHold), grace: min(part(gracePart, 0, maxGrace), rollback), //nolint:mnd // Leaves time to confirm.
	}
}

// slot holds the counts of one second.
type slot struct {
	begin  time.Time
	routes map[string]*[2]Counts
}

// reporter is one process of an entry host.
type reporter struct {
	host string
	boot uint64
}

type report struct {
	routes   map[string]*[2]Counts
	received time.Time
	revision uint64
	drained  bool
}

// Watch follows one running order on the leader. It is not safe for concurrent use.
type Watch struct {
	bounds   Bounds
	rollout  *statev1.Rollout
	schedule schedule
	// whole is true if this leader has seen all counts from the beginning of the order.
	whole   bool
	reports map[reporter]*report
	recent  []slot
	// total holds all counts, and warm those from the end of the schedule's grace.
	total, warm map[string]*[2]Counts
	first       time.Time
}

// NewWatch begins to follow a running order.
func NewWatch(r *statev1.Rollout, b Bounds) *Watch {
	return &Watch{
		bounds: b, rollout: r, schedule: newSchedule(r.GetDuration().AsDuration(), b.Rollback), whole: r.GetRevision() == r.GetOrder(),
		reports: make(map[reporter]*report), total: make(map[string]*[2]Counts),
		warm: make(map[string]*[2]Counts),
	}
}

// Update takes the rollout after a step.
func (w *Watch) Update(r *statev1.Rollout) {
	w.rollout = r
}

// Order returns the index of the order.
func (w *Watch) Order() uint64 {
	return w.rollout.GetOrder()
}

// Receive adds the counts of a host. Counts that are older than others of the same process are ignored.
func (w *Watch) Receive(m *peerv1.ServiceCounts, now time.Time) {
	if m.GetOrder() != w.rollout.GetOrder() || len(m.GetRoutes()) > 2*(maxRoutes+1) {
		return
	}
	key := reporter{host: m.GetHost(), boot: m.GetBoot()}
	old, known := w.reports[key]
	if !known && len(w.reports) >= maxReporters {
		return
	}
	next := &report{routes: make(map[string]*[2]Counts), received: now, revision: m.GetRevision(), drained: m.GetDrained()}
	for _, c := range m.GetRoutes() {
		pairOf(next.routes, c.GetRoute())[index(c.GetTarget())] = *decodeCounts(c)
	}
	if known && m.GetRevision() < old.revision {
		return
	}
	changes, ok := difference(next, old)
	if !ok {
		return
	}
	if w.first.IsZero() {
		w.first = now
	}
	w.reports[key] = next
	addAll(w.total, changes)
	if w.isWarm(now) {
		addAll(w.warm, changes)
	}
	// A new leader does not know when the first counts of a host were made.
	if known || w.whole {
		addAll(w.slot(now).routes, changes)
	}
}

func index(target bool) int {
	if target {
		return 1
	}
	return 0
}

func pairOf(routes map[string]*[2]Counts, route string) *[2]Counts {
	pair := routes[route]
	if pair == nil {
		pair = &[2]Counts{}
		routes[route] = pair
	}
	return pair
}

// difference returns the counts that are new in a report, and false if the report is older than the other.
func difference(next, old *report) (map[string]*[2]Counts, bool) {
	if old == nil {
		return next.routes, true
	}
	out := make(map[string]*[2]Counts, len(next.routes))
	for route := range old.routes {
		if next.routes[route] == nil {
			return nil, false
		}
	}
	for route, pair := range next.routes {
		before := old.routes[route]
		if before == nil {
			before = &[2]Counts{}
		}
		to := pairOf(out, route)
		for i := range pair {
			change, ok := pair[i].minus(&before[i])
			if !ok {
				return nil, false
			}
			to[i] = change
		}
	}
	return out, true
}

func addAll(to, from map[string]*[2]Counts) {
	for route, pair := range from {
		sum := pairOf(to, route)
		for i := range pair {
			sum[i].add(&pair[i])
		}
	}
}

// slot returns the present slot.
func (w *Watch) slot(now time.Time) *slot {
	if n := len(w.recent); n > 0 && now.Sub(w.recent[n-1].begin) < slotTime {
		return &w.recent[n-1]
	}
	w.recent = append(w.recent, slot{begin: now, routes: make(map[string]*[2]Counts)})
	if len(w.recent) > slots {
		w.recent = slices.Delete(w.recent, 0, len(w.recent)-slots)
	}
	return &w.recent[len(w.recent)-1]
}

// Facts are what the leader knows besides the counts.
type Facts struct {
	// Time is the time of the replicated log, by which orders begin and steps are recorded. It may differ from the leader's
	// clock after a change of leader.
	Time time.Time
	// Known is true if the configuration in force names the service.
	Known bool
	// Trial and Stable are the numbers of leaves of the target and of other versions that may be called. Cold is the number
	// of those of the target that are cold.
	Trial, Stable, Cold int
	// Hosts are the addresses of the entry hosts that are in contact with a control host.
	Hosts []string
}

// Step returns the next step of the order, or nil if nothing changes.
func (w *Watch) Step(f Facts, now time.Time) *statev1.RolloutStep {
	r := w.rollout
	elapsed := f.Time.Sub(r.GetBegan().AsTime())
	if !f.Known {
		return w.end(statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK, "the configuration does not name the service any more")
	}
	if v := w.judge(now); v.bad {
		return w.end(statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK, v.reason)
	}
	held := f.Time.Sub(r.GetChanged().AsTime())
	full := r.GetShare() == FullShare
	// A longer comparison at the full share finds more faults, as long as the exposure permits it.
	due := elapsed >= w.schedule.done || held >= w.schedule.hold && w.scarce(now)
	if full && f.Trial > 0 && due && w.confirmed(f.Hosts, true, now) {
		return w.end(statev1.RolloutState_ROLLOUT_STATE_SUCCEEDED, "")
	}
	// A new leader waits for the reports of the hosts until the deadline itself.
	if elapsed >= w.schedule.last && w.ready(now) || elapsed >= r.GetDuration().AsDuration() {
		// What still runs on the old leaves is less than all the traffic that a rollback would move.
		if full && f.Trial > 0 && w.confirmed(f.Hosts, false, now) {
			return w.end(statev1.RolloutState_ROLLOUT_STATE_SUCCEEDED, "")
		}
		return w.end(statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK, w.missed(f, full))
	}
	if !w.ready(now) && f.Trial > 0 {
		return nil
	}
	share := w.share(f, elapsed, now)
	if share == r.GetShare() || !w.worth(share, held) {
		return nil
	}
	step := w.step()
	step.State, step.Share = statev1.RolloutState_ROLLOUT_STATE_RUNNING, share
	return step
}

// ready reports whether the rate of requests is known. A new leader leaves the share as it is until all hosts have reported.
func (w *Watch) ready(now time.Time) bool {
	return w.whole || !w.first.IsZero() && now.Sub(w.first) >= reportTimeout
}

// scarce reports whether the permitted exposure is about to be used up at the full share.
func (w *Watch) scarce(now time.Time) bool {
	seen, exposed := w.counted()
	return float64(exposed)+w.peak(now)*reportLag.Seconds() > fullBudget*(w.bounds.Exposure*float64(seen)+w.bounds.Slack)
}

// missed returns why the order has no success at its deadline.
func (w *Watch) missed(f Facts, full bool) string {
	switch {
	case f.Trial == 0:
		return "no leaf of the version has announced itself before the deadline"
	case full:
		return "some entry hosts have not moved their traffic before the deadline"
	case len(w.reports) == 0:
		return "no entry host has reported before the deadline"
	}
	return "the permitted exposure did not suffice to move all traffic before the deadline"
}

func (w *Watch) step() *statev1.RolloutStep {
	seen, exposed := w.counted()
	return &statev1.RolloutStep{Service: w.rollout.GetService(), Revision: w.rollout.GetRevision(), Seen: seen, Exposed: exposed}
}

func (w *Watch) end(state statev1.RolloutState, reason string) *statev1.RolloutStep {
	out := w.step()
	out.State, out.Reason = state, reason
	return out
}

// worth reports whether a change of the share is large and late enough to be recorded. Stops are never delayed.
func (w *Watch) worth(share uint32, held time.Duration) bool {
	now := w.rollout.GetShare()
	if now == 0 || share == 0 || share >= middleShare || now >= middleShare {
		return true
	}
	change := float64(share)/float64(now) - 1
	return held >= stepInterval && (change > shareTolerance || change < -shareTolerance)
}

// counted returns the requests to the service and those to the target. Counts of lost hosts that this leader has not
// received are contained in the last step.
func (w *Watch) counted() (seen, exposed uint64) {
	for _, pair := range w.total {
		seen += pair[0].Sent + pair[1].Sent
		exposed += pair[1].Sent
	}
	return max(seen, w.rollout.GetSeen()), max(exposed, w.rollout.GetExposed())
}

// rate returns the present number of requests per second.
func (w *Watch) rate(now time.Time) float64 {
	var sent uint64
	var begin time.Time
	for i := max(0, len(w.recent)-1-rateSlots); i < len(w.recent); i++ {
		if now.Sub(w.recent[i].begin) > (rateSlots+1)*slotTime {
			continue
		}
		if begin.IsZero() {
			begin = w.recent[i].begin
		}
		for _, pair := range w.recent[i].routes {
			sent += pair[0].Sent + pair[1].Sent
		}
	}
	if begin.IsZero() {
		return 0
	}
	return float64(sent) / max(now.Sub(begin), slotTime).Seconds()
}

// peak returns the greatest number of requests per second in the last seconds, because traffic may have begun only now.
func (w *Watch) peak(now time.Time) float64 {
	out := w.rate(now)
	for i := max(0, len(w.recent)-1-rateSlots); i < len(w.recent); i++ {
		if now.Sub(w.recent[i].begin) > (rateSlots+1)*slotTime {
			continue
		}
		all := sum(w.recent[i].routes)
		out = max(out, float64(all[0].Sent+all[1].Sent)/slotTime.Seconds())
	}
	return out
}

// share returns the share that is due, as far as the permitted exposure allows.
func (w *Watch) share(f Facts, elapsed time.Duration, now time.Time) uint32 {
	if f.Trial == 0 {
		return 0
	}
	seen, exposed := w.counted()
	rate := w.rate(now)
	average := float64(seen) / max(elapsed.Seconds(), 1)
	left := max(0, (w.rollout.GetDuration().AsDuration() - elapsed).Seconds())
	permitted := w.bounds.Exposure*float64(seen) + w.bounds.Slack
	if permitted < minBudget {
		return 0
	}
	enough := f.Trial-f.Cold >= max(1, f.Stable/2) //nolint:mnd // Half of the leaves bear the traffic of most services.
	if elapsed >= w.schedule.middle && enough {
		ahead := permitted + futurePart*w.bounds.Exposure*min(rate, average)*left
		if due := w.late(elapsed, w.peak(now), float64(exposed), fullBudget*ahead); due > 0 {
			return due
		}
	}
	if float64(exposed) > trialBudget*permitted {
		return 0
	}
	return w.trial(rate, now)
}

// late returns the middle or the full share if the budget allows it, else 0.
func (w *Watch) late(elapsed time.Duration, rate, exposed, budget float64) uint32 {
	last := w.fullTime().Seconds()
	if w.rollout.GetShare() == FullShare {
		last = reportLag.Seconds()
	}
	middle := max(0, w.schedule.full-elapsed).Seconds() * middleShare / FullShare
	switch {
	case exposed+rate*(middle+last) > budget:
		return 0
	case elapsed >= w.schedule.full:
		return FullShare
	}
	return middleShare
}

// fullTime returns the least time from a step to the full share until a success.
func (w *Watch) fullTime() time.Duration {
	return max(w.schedule.hold+recordTime, confirmTime)
}

// trial returns the first share. Once the rate is known, it uses a part of the slack as well, because a service with few
// requests could not be judged otherwise, and keeps free what the full share needs.
func (w *Watch) trial(rate float64, now time.Time) uint32 {
	if w.first.IsZero() || now.Sub(w.first) < rateTime || rate <= 0 {
		return uint32(max(1, trialExposure*w.bounds.Exposure*FullShare))
	}
	expected := rate * w.rollout.GetDuration().AsDuration().Seconds()
	permitted := w.bounds.Exposure*expected + w.bounds.Slack
	most := trialExposure*w.bounds.Exposure*expected + trialSlack*w.bounds.Slack
	reserve := lateReserve * rate * w.fullTime().Seconds()
	use := max(minTrial*permitted, min(most, fullBudget*permitted-reserve))
	return uint32(max(1, min(use/expected*FullShare, maxTrial)))
}

// confirmed reports whether all hosts follow the newest revision and, if drained is true, have left the old version.
func (w *Watch) confirmed(hosts []string, drained bool, now time.Time) bool {
	newest := make(map[string]*report, len(w.reports))
	for key, r := range w.reports {
		if known := newest[key.host]; known == nil || r.received.After(known.received) {
			newest[key.host] = r
		}
	}
	for _, host := range hosts {
		r := newest[host]
		if r == nil || now.Sub(r.received) > reportTimeout || r.revision != w.rollout.GetRevision() || drained && !r.drained {
			return false
		}
	}
	return true
}

// isWarm reports whether slow answers at a time are no longer attributed to leaves that are cold without saying so.
func (w *Watch) isWarm(at time.Time) bool {
	return at.Sub(w.rollout.GetBegan().AsTime()) >= w.schedule.grace
}

// judge compares the versions, on each route and on all together, in the recent past and since the beginning.
func (w *Watch) judge(now time.Time) verdict {
	recent, timed := make(map[string]*[2]Counts), make(map[string]*[2]Counts)
	for _, s := range w.recent {
		if now.Sub(s.begin) > slots*slotTime {
			continue
		}
		addAll(recent, s.routes)
		if w.isWarm(s.begin) {
			addAll(timed, s.routes)
		}
	}
	before := sum(w.total)
	for _, span := range []map[string]*[2]Counts{recent, w.total} {
		if v := w.judgeRoutes(span, false); v.bad {
			return v
		}
		// Latencies of different routes cannot be added up.
		if all := sum(span); compare("", &all[0], &before[0], &all[1], false).bad {
			return compare("", &all[0], &before[0], &all[1], false)
		}
	}
	for _, span := range []map[string]*[2]Counts{timed, w.warm} {
		if v := w.judgeRoutes(span, true); v.bad {
			return v
		}
	}
	return verdict{}
}

// judgeRoutes compares the versions on each route in a span.
func (w *Watch) judgeRoutes(span map[string]*[2]Counts, timed bool) verdict {
	for route, pair := range span {
		if v := compare(route, &pair[0], &pairOf(w.total, route)[0], &pair[1], timed); v.bad {
			return v
		}
	}
	return verdict{}
}

// sum adds up the counts of all routes.
func sum(routes map[string]*[2]Counts) *[2]Counts {
	out := &[2]Counts{}
	for _, pair := range routes {
		for i := range pair {
			out[i].add(&pair[i])
		}
	}
	return out
}

package roller

import (
	"time"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

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

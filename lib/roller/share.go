package roller

import (
	"time"
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

// scarce reports whether the permitted exposure is about to be used up at the full share.
func (w *Watch) scarce(now time.Time) bool {
	seen, exposed := w.counted()
	return float64(exposed)+w.peak(now)*reportLag.Seconds() > fullBudget*(w.bounds.Exposure*float64(seen)+w.bounds.Slack)
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

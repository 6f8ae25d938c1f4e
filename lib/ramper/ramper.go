// Package ramper limits the number of concurrent calls to a leaf while it is cold.
package ramper

import (
	"time"
)

const (
	// growthReplies is the number of good replies after which the allowance grows by one call. It is also the divisor of
	// the moving average of the warm latency.
	growthReplies = 16
	// growthDelay is the time after a cut during which the allowance does not grow.
	growthDelay = time.Second
	// failureLimit is the number of consecutive sheds or errors after which a leaf counts as cold again.
	failureLimit = 3
	// latencyWindow is the number of calls that must all be slow before a leaf counts as cold again.
	latencyWindow = 8
	// coldFactor is the multiple of the warm latency that all calls of the window must exceed for a leaf to count as cold again.
	coldFactor = 4
	// warmFactor is the multiple of the warm latency up to which a call still counts towards growth.
	warmFactor = 2
	// trialDelay is how long growth waits for the leaf to announce or show that it is warm. Then the allowance grows on
	// trial, so that a leaf with a permanently wrong announcement is not limited to one call forever.
	trialDelay = 30 * time.Second
	// maxGrowthReplies bounds the good replies required for growth after repeated cuts.
	maxGrowthReplies = 1024
)

// Outcome is the result of a call as far as it concerns the capacity of the leaf.
type Outcome int

// Outcomes.
const (
	Good Outcome = iota
	// Shed means that the leaf refused the call for lack of capacity.
	Shed
	// Failed means that the leaf returned an error.
	Failed
	// Unknown gives no information: the call was cancelled or its connection was lost.
	Unknown
)

// Ramper manages the allowance of one leaf. It is not safe for concurrent use.
type Ramper struct {
	slots         int
	allowance     int
	announcedCold bool
	// lastCut is when the allowance was last cut, moved back by growthDelay when it may grow at once.
	lastCut         time.Time
	goodReplies     int
	requiredReplies int
	failures        int
	warmLatency     time.Duration
	latencies       [latencyWindow]time.Duration
	measured        int
}

// New returns the ramper of a leaf that is new to its owner. It allows one call at a time.
func New(slots int, now time.Time) *Ramper {
	return &Ramper{slots: max(slots, 1), allowance: 1, lastCut: now.Add(-growthDelay), requiredReplies: growthReplies}
}

// Allowance returns how many calls may run concurrently.
func (r *Ramper) Allowance() int {
	return min(r.allowance, r.slots)
}

// Cold reports whether the allowance is smaller than the leaf's slots.
func (r *Ramper) Cold() bool {
	return r.Allowance() < r.slots
}

// Resize changes the leaf's slots. If they increase, the allowance grows gradually as usual.
func (r *Ramper) Resize(slots int) {
	r.slots = max(slots, 1)
	r.allowance = min(r.allowance, r.slots)
}

// Announce sets whether the leaf announces that it is cold. While it does, it gets one call at a time.
func (r *Ramper) Announce(cold bool, now time.Time) {
	if cold && !r.announcedCold {
		r.cut(1, now)
		r.requiredReplies = growthReplies
	}
	if !cold && r.announcedCold {
		r.goodReplies = 0
		r.lastCut = now.Add(-growthDelay)
	}
	r.announcedCold = cold
}

// Reset resets the allowance to one call, because the leaf may have restarted or served another owner meanwhile. The warm
// latency is kept.
func (r *Ramper) Reset(now time.Time) {
	r.cut(1, now)
	r.lastCut = now.Add(-growthDelay)
	r.failures = 0
	r.requiredReplies = growthReplies
}

// Finish records the outcome and the latency of a call. concurrent is the number of calls that ran at the same time,
// including this one.
func (r *Ramper) Finish(outcome Outcome, latency time.Duration, concurrent int, now time.Time) {
	switch outcome {
	case Good:
		r.failures = 0
		r.measure(latency, now)
		r.grow(latency, now)
	case Shed:
		// The owner is the only sender, so a shed means that the leaf has capacity for fewer calls than were running.
		r.failures++
		if r.allowance > 1 || r.failures == failureLimit {
			r.cut(max(min(concurrent-1, r.allowance-1), 1), now)
			r.requiredReplies = min(r.requiredReplies*2, maxGrowthReplies)
		}
	case Failed:
		r.failures++
		if r.failures == failureLimit {
			r.cut(1, now)
		}
	case Unknown:
	}
	if r.failures >= failureLimit {
		r.allowance = 1
	}
}

// cut reduces the allowance and restarts growth.
func (r *Ramper) cut(allowance int, now time.Time) {
	r.allowance = min(r.allowance, allowance)
	r.lastCut = now
	r.goodReplies = 0
	r.measured = 0
}

// measure updates the warm latency, and cuts the allowance if all calls of the window were much slower than that.
func (r *Ramper) measure(latency time.Duration, now time.Time) {
	r.latencies[r.measured%latencyWindow] = latency
	r.measured++
	if r.Cold() {
		return
	}
	if r.warmLatency == 0 {
		r.warmLatency = latency
	}
	if r.measured >= latencyWindow && r.minLatency() > coldFactor*r.warmLatency {
		r.cut(1, now)
		return
	}
	if latency <= warmFactor*r.warmLatency {
		r.warmLatency += (latency - r.warmLatency) / growthReplies
	}
}

func (r *Ramper) minLatency() time.Duration {
	lowest := r.latencies[0]
	for _, d := range r.latencies {
		lowest = min(lowest, d)
	}
	return lowest
}

func (r *Ramper) grow(latency time.Duration, now time.Time) {
	if !r.Cold() || now.Sub(r.lastCut) < growthDelay {
		return
	}
	trial := now.Sub(r.lastCut) >= trialDelay
	if !trial && r.announcedCold {
		return
	}
	if !trial && r.warmLatency > 0 && latency > warmFactor*r.warmLatency {
		return
	}
	r.goodReplies++
	if r.goodReplies < r.requiredReplies {
		return
	}
	r.goodReplies = 0
	r.allowance++
	if !r.Cold() {
		r.requiredReplies = growthReplies
		if trial {
			// The leaf can serve all its slots at this latency, so it becomes the new warm latency.
			r.warmLatency = 0
		}
	}
}

// Package ramper decides how many calls at one time a leaf may get while it is cold.
package ramper

import (
	"time"
)

const (
	// step is the number of good replies that add one call to the allowance.
	step = 16
	// hold is the time after a cut in which the allowance does not grow.
	hold = time.Second
	// failures is the number of sheds or errors in a row after which a leaf counts as cold again.
	failures = 3
	// window is the number of calls over which a slower latency counts.
	window = 8
	// slower is how many times its warm latency a leaf must take over the window to count as cold again.
	slower = 4
	// recovered is how many times its warm latency a leaf may take while its allowance grows.
	recovered = 2
	// patience is how long growth waits for the leaf to say or show that it is warm. After it the allowance is
	// raised on trial, so that a leaf whose announcement stays wrong is not held at one call for ever.
	patience = 30 * time.Second
	// maxStep bounds the good replies needed after repeated cuts.
	maxStep = 1024
)

// Outcome of a call, as far as it tells about the leaf's capacity.
type Outcome int

// Outcomes.
const (
	Good Outcome = iota
	// Shed means that the leaf refused the call for lack of capacity.
	Shed
	// Failed means an error of the leaf.
	Failed
	// Unknown tells nothing: the call was cancelled or its connection was lost.
	Unknown
)

// Ramper is the allowance of one leaf. It is not safe for concurrent use.
type Ramper struct {
	slots     int
	allowance int
	announced bool
	// since is when the leaf was last cut.
	since time.Time
	good  int
	need  int
	bad   int
	warm  time.Duration
	last  [window]time.Duration
	count int
}

// New returns the allowance of a leaf that is new to this owner: one call at a time.
func New(slots int, now time.Time) *Ramper {
	return &Ramper{slots: max(slots, 1), allowance: 1, since: now.Add(-hold), need: step}
}

// Allowance returns how many calls may run at one time.
func (r *Ramper) Allowance() int {
	return min(r.allowance, r.slots)
}

// Cold reports whether the leaf gets less than its slots.
func (r *Ramper) Cold() bool {
	return r.Allowance() < r.slots
}

// Resize changes the leaf's slots. A greater number is reached by the usual steps.
func (r *Ramper) Resize(slots int) {
	r.slots = max(slots, 1)
	r.allowance = min(r.allowance, r.slots)
}

// Announce takes the leaf's own statement. While it says that it is cold, it gets one call at a time.
func (r *Ramper) Announce(cold bool, now time.Time) {
	if cold && !r.announced {
		r.cut(1, now)
		r.need = step
	}
	if !cold && r.announced {
		r.good = 0
		r.since = now.Add(-hold)
	}
	r.announced = cold
}

// Doubt starts again from one call, because the leaf may have restarted or served another owner meanwhile. The warm
// latency is kept.
func (r *Ramper) Doubt(now time.Time) {
	r.cut(1, now)
	r.since = now.Add(-hold)
	r.bad = 0
	r.need = step
}

// Finish takes the outcome of a call that ran beside others, concurrent of them in all, and its latency.
func (r *Ramper) Finish(outcome Outcome, latency time.Duration, concurrent int, now time.Time) {
	switch outcome {
	case Good:
		r.bad = 0
		r.measure(latency, now)
		r.grow(latency, now)
	case Shed:
		// The owner is the only sender, so a shed says that the leaf bears fewer calls than were running.
		r.bad++
		if r.allowance > 1 || r.bad == failures {
			r.cut(max(min(concurrent-1, r.allowance-1), 1), now)
			r.need = min(r.need*2, maxStep)
		}
	case Failed:
		r.bad++
		if r.bad == failures {
			r.cut(1, now)
		}
	case Unknown:
	}
	if r.bad >= failures {
		r.allowance = 1
	}
}

func (r *Ramper) cut(allowance int, now time.Time) {
	r.allowance = min(r.allowance, allowance)
	r.since = now
	r.good = 0
	r.count = 0
}

// measure learns the warm latency and notices when the leaf is slower than that over a window.
func (r *Ramper) measure(latency time.Duration, now time.Time) {
	r.last[r.count%window] = latency
	r.count++
	if r.Cold() {
		return
	}
	if r.warm == 0 {
		r.warm = latency
	}
	if r.count >= window && r.least() > slower*r.warm {
		r.cut(1, now)
		return
	}
	if latency <= recovered*r.warm {
		r.warm += (latency - r.warm) / step
	}
}

func (r *Ramper) least() time.Duration {
	least := r.last[0]
	for _, d := range r.last {
		least = min(least, d)
	}
	return least
}

func (r *Ramper) grow(latency time.Duration, now time.Time) {
	if !r.Cold() || now.Sub(r.since) < hold {
		return
	}
	trial := now.Sub(r.since) >= patience
	if !trial && r.announced {
		return
	}
	if !trial && r.warm > 0 && latency > recovered*r.warm {
		return
	}
	r.good++
	if r.good < r.need {
		return
	}
	r.good = 0
	r.allowance++
	if !r.Cold() {
		r.need = step
		if trial {
			// The leaf bears its slots at this latency: it is the new warm level.
			r.warm = 0
		}
	}
}

package roller

import (
	"time"
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

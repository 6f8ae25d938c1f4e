package drainer

import (
	"errors"
	"time"
)

// ErrStopping is the cause with which the requests that are still in progress at the end of a graceful stop are cancelled.
var ErrStopping = errors.New("the host stops")

// Schedule is the schedule of a graceful stop. A nil Schedule means that the host is not stopping.
type Schedule struct {
	// Noticed is when callers and load balancers have had time to detect the stop.
	Noticed time.Time
	// End is when the requests in progress are cancelled, so that each gets an answer before the process ends.
	End time.Time
}

// Admits reports whether a request may be started that may take until a given time. Requests that arrive before the stop can
// be known are taken in any case.
func (s *Schedule) Admits(until, now time.Time) bool {
	return s == nil || now.Before(s.Noticed) || !until.After(s.End)
}

package divider

import "time"

// Candidate is a host that may gather a portion, with this host's measurements of it.
type Candidate struct {
	Host string
	// Connected is true if a portion can be sent immediately.
	Connected bool
	// RetryAt is until when the host is not chosen because it did not answer; zero if it may be chosen.
	RetryAt time.Time
	// Pending is the number of portions in flight.
	Pending int
	// Latency is the measured time to the first parts as of MeasuredAt, which is zero without a measurement.
	Latency    time.Duration
	MeasuredAt time.Time
	// Expected is the time in which the host is expected to answer. It has no meaning if the host may not be chosen.
	Expected time.Duration
}

// Usable reports whether the host may be chosen.
func (c *Candidate) Usable() bool {
	return c.Connected && c.RetryAt.IsZero()
}

// Inspect returns the candidates of a choice. It changes nothing. Connected must report whether a portion can be sent to a
// host immediately, without opening a connection.
func (t *Table) Inspect(candidates []string, connected func(string) bool, now time.Time) []Candidate {
	out := make([]Candidate, 0, len(candidates))
	for _, h := range candidates {
		out = append(out, Candidate{Host: h, Connected: h == t.self || connected(h)})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range out {
		c := &out[i]
		c.Expected, _ = t.expectedTime(c.Host, now)
		r, ok := t.hosts[c.Host]
		if !ok {
			continue
		}
		c.Pending, c.Latency, c.MeasuredAt = r.pending, r.latency, r.measuredAt
		if now.Before(r.retryAt) {
			c.RetryAt = r.retryAt
		}
	}
	return out
}

// Preferred returns the position of the candidate that Choose returns, and of the one that it would return without that
// one; -1 where this host gathers the portion itself for lack of others.
func (t *Table) Preferred(candidates []Candidate) (first, second int) {
	first, second = -1, -1
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Host == t.self || !c.Usable():
		case first < 0 || c.Expected < candidates[first].Expected:
			first, second = i, first
		case second < 0 || c.Expected < candidates[second].Expected:
			second = i
		}
	}
	return first, second
}

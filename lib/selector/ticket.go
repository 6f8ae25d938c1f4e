package selector

import (
	"slices"
	"time"

	"lycheelift.example/lib/cataloguer"
)

// End is how a call ended, as far as it is relevant to the leaf's statistics.
type End int

// Ends of a call.
const (
	// Answered is a usable answer.
	Answered End = iota + 1
	// Shed means that the leaf refused the call for lack of capacity.
	Shed
	// Failed means that the leaf answered with an error or with an unusable response.
	Failed
	// Unreachable means that no connection could be opened or that it broke before an answer.
	Unreachable
	// Abandoned means that the caller no longer needs the answer.
	Abandoned
	// Unsent means that the call was abandoned before it had a connection.
	Unsent
	// Neutral gives no information about the leaf.
	Neutral
)

// Ticket is one open call.
type Ticket struct {
	table       *Table
	name        string
	incarnation uint64
	sent        time.Time
	typical     time.Duration
}

// Begin records the start of a call.
func (t *Table) Begin(l *cataloguer.Leaf, c *Choice, now time.Time) *Ticket {
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	r.open = append(r.open, now)
	r.used = now
	if c.Cold.limits(l, now) {
		interval, _ := c.Cold.interval(l, now)
		r.nextColdCall = now.Add(interval)
	}
	return &Ticket{table: t, name: l.Name, incarnation: l.Incarnation, sent: now, typical: c.Typical}
}

// End records the end of the call. Report is the load that the leaf reported with its answer, or nil if it reported none.
func (k *Ticket) End(end End, report *Report, now time.Time) {
	r, unlock := k.table.stats(k.name, k.incarnation, now)
	defer unlock()
	if r.incarnation != k.incarnation {
		return
	}
	if i := slices.Index(r.open, k.sent); i >= 0 {
		r.open = slices.Delete(r.open, i, i+1)
	}
	age := now.Sub(k.sent)
	typical := r.explainedTime(report, k.typical, age, now)
	if report != nil {
		k.table.report(r, report, now)
	}
	switch end {
	case Answered:
		r.recordAnswer(now)
		r.recordLatency(age, typical, now)
		r.updateFailureRate(0, now)
	case Shed:
		r.recordAnswer(now)
		r.updateFailureRate(1, now)
	case Failed:
		r.recordAnswer(now)
		r.updateFailureRate(1, now)
	case Unreachable:
		r.backOff(now)
		r.updateFailureRate(1, now)
	case Abandoned:
		k.recordAbandoned(r, age, now)
	case Unsent:
		k.recordAbandoned(r, age, now)
		r.checkSilence(k.typical, now)
	case Neutral:
	}
}

// recordAbandoned counts an overdue call without an answer as a slow one.
func (k *Ticket) recordAbandoned(r *leafStats, age time.Duration, now time.Time) {
	if age < overdueAge(k.typical) {
		return
	}
	if r.firstAbandoned.IsZero() {
		r.firstAbandoned = k.sent
	}
	r.lastAbandoned = now
	r.recordLatency(age, r.explainedTime(nil, k.typical, age, now), now)
}

// checkSilence treats a leaf that has accepted no connection for a while as unreachable. A slow leaf does accept
// connections: it must stay available when the other leaves of its shard are down.
func (r *leafStats) checkSilence(typical time.Duration, now time.Time) {
	if r.firstAbandoned.IsZero() {
		return
	}
	if silent := now.Sub(r.firstAbandoned); silent >= minSilence && silent >= time.Duration(maxRatio*float64(typical)) {
		r.backOff(now)
	}
}

// recordAnswer records that the leaf has given some answer, and resets its backoff.
func (r *leafStats) recordAnswer(now time.Time) {
	r.failedConnects, r.retryAt, r.firstAbandoned, r.answered = 0, time.Time{}, time.Time{}, now
}

// backOff suspends calls to the leaf for a time that doubles with each consecutive failure.
func (r *leafStats) backOff(now time.Time) {
	if now.Before(r.retryAt) {
		return
	}
	wait := min(minBackoff<<min(r.failedConnects, 8), maxBackoff)
	r.failedConnects++
	r.retryAt = now.Add(wait)
}

// recordLatency records a latency. The lower of the two latest samples counts, because leaves pause now and then and a
// single slow call says little.
func (r *leafStats) recordLatency(age, typical time.Duration, now time.Time) {
	ratio := min(float64(age)/float64(max(typical, time.Millisecond)), maxRatio)
	expected := r.expectedRatio(now)
	r.ratio = expected + smoothing*(min(ratio, r.lastRatio)-expected)
	if ratio < r.lastRatio {
		r.ratio = expected + smoothing*(ratio-expected)
	}
	r.lastRatio, r.ratioAt = ratio, now
}

// updateFailureRate records a success (0) or a failure (1).
func (r *leafStats) updateFailureRate(failure float64, now time.Time) {
	expected := r.expectedFailureRate(now)
	r.failureRate, r.failureAt = expected+failureSmoothing*(failure-expected), now
}

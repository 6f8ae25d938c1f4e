package quarantiner

import "time"

// Verdict says whether and how a request may run.
type Verdict int

// Verdicts.
const (
	// Free runs the request without restrictions.
	Free Verdict = iota + 1
	// Canary sends a single call first.
	Canary
	// Alone sends a single call first, to a leaf that runs no other call meanwhile.
	Alone
	// Wait means that a canary of the same fingerprint is running; call Enter again when it has ended.
	Wait
	// Blocked rejects the request.
	Blocked
)

// Ticket is the verdict on one request. With Canary or Alone it must be released by Leave.
type Ticket struct {
	Verdict Verdict
	// Ended is closed when the canary that a request waits for has ended.
	Ended <-chan struct{}

	canary chan struct{}
}

// Enter decides how a request runs. If probe is set, a fingerprint that is not known to be good runs as a canary.
func (q *Quarantiner) Enter(fingerprint uint64, probe bool, now time.Time) Ticket {
	p := q.shard(fingerprint)
	p.Lock()
	defer p.Unlock()
	verdict := p.judge(fingerprint, probe, now)
	if verdict == Free || verdict == Blocked {
		return Ticket{Verdict: verdict}
	}
	if running, ok := p.canaries[fingerprint]; ok {
		return Ticket{Verdict: Wait, Ended: running}
	}
	canary := make(chan struct{})
	p.canaries[fingerprint] = canary
	return Ticket{Verdict: verdict, canary: canary}
}

func (p *shard) judge(fingerprint uint64, probe bool, now time.Time) Verdict {
	if s, ok := p.suspects[fingerprint]; ok && now.Before(s.expires) {
		if s.blocked {
			return Blocked
		}
		return Alone
	}
	if !probe || p.good(fingerprint, now) {
		return Free
	}
	return Canary
}

// Leave ends the canary of a ticket, so that requests of the same fingerprint may run. Repeated calls have no effect.
func (q *Quarantiner) Leave(fingerprint uint64, t Ticket) {
	p := q.shard(fingerprint)
	p.Lock()
	defer p.Unlock()
	if t.canary == nil || p.canaries[fingerprint] != t.canary {
		return
	}
	delete(p.canaries, fingerprint)
	close(t.canary)
}

package quarantiner

import "time"

// Verdict says how a request may run.
type Verdict int

// Verdicts.
const (
	// Free runs the request as usual.
	Free Verdict = iota + 1
	// Canary sends one call first.
	Canary
	// Alone sends one call first, which runs alone on its leaf.
	Alone
	// Wait means that a canary of the same fingerprint runs; ask again when it has ended.
	Wait
	// Blocked refuses the request.
	Blocked
)

// Ticket is the verdict on one request. With Canary or Alone it must be given back with Leave.
type Ticket struct {
	Verdict Verdict
	// Ended is closed when the canary that a request waits for has ended.
	Ended <-chan struct{}

	own chan struct{}
}

// Enter decides how a request runs. With probe, a fingerprint that is not known to be good runs as a canary.
func (q *Quarantiner) Enter(fingerprint uint64, probe bool, now time.Time) Ticket {
	p := q.part(fingerprint)
	p.Lock()
	defer p.Unlock()
	verdict := p.judge(fingerprint, probe, now)
	if verdict == Free || verdict == Blocked {
		return Ticket{Verdict: verdict}
	}
	if running, ok := p.canaries[fingerprint]; ok {
		return Ticket{Verdict: Wait, Ended: running}
	}
	own := make(chan struct{})
	p.canaries[fingerprint] = own
	return Ticket{Verdict: verdict, own: own}
}

func (p *part) judge(fingerprint uint64, probe bool, now time.Time) Verdict {
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

// Leave ends the canary that a ticket stands for, so that others may run. It may be called twice.
func (q *Quarantiner) Leave(fingerprint uint64, t Ticket) {
	p := q.part(fingerprint)
	p.Lock()
	defer p.Unlock()
	if t.own == nil || p.canaries[fingerprint] != t.own {
		return
	}
	delete(p.canaries, fingerprint)
	close(t.own)
}

package quarantiner

import "time"

// Clear notes a good reply. It reports whether the fingerprint was a suspect. A blocked one stays blocked: the reply
// belongs to a call that was sent before.
func (q *Quarantiner) Clear(fingerprint uint64, now time.Time) bool {
	p := q.part(fingerprint)
	p.Lock()
	defer p.Unlock()
	s, suspected := p.suspects[fingerprint]
	if suspected && s.blocked && now.Before(s.expires) {
		return false
	}
	delete(p.suspects, fingerprint)
	p.keep(fingerprint, now)
	return suspected
}

// good reports whether a fingerprint is known to be good, and keeps it for another generation.
func (p *part) good(fingerprint uint64, now time.Time) bool {
	p.turn(now)
	if _, ok := p.fresh[fingerprint]; ok {
		return true
	}
	if _, ok := p.stale[fingerprint]; !ok {
		return false
	}
	p.keep(fingerprint, now)
	return true
}

func (p *part) keep(fingerprint uint64, now time.Time) {
	p.turn(now)
	p.fresh[fingerprint] = struct{}{}
}

// turn starts a new generation when the present one is full or old; the one before it is forgotten.
func (p *part) turn(now time.Time) {
	if p.turned.IsZero() {
		p.turned = now
	}
	if len(p.fresh) < maxGood && now.Sub(p.turned) < goodTime {
		return
	}
	p.stale = p.fresh
	if now.Sub(p.turned) >= 2*goodTime {
		p.stale = nil
	}
	p.fresh = make(map[uint64]struct{})
	p.turned = now
}

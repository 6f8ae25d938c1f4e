package quarantiner

import "time"

// Clear records a good reply. It reports whether the fingerprint was a suspect. A blocked fingerprint stays blocked, because
// the reply belongs to a call that was sent before the block.
func (q *Quarantiner) Clear(fingerprint uint64, now time.Time) bool {
	p := q.shard(fingerprint)
	p.Lock()
	defer p.Unlock()
	s, suspected := p.suspects[fingerprint]
	if suspected && s.blocked && now.Before(s.expires) {
		return false
	}
	delete(p.suspects, fingerprint)
	p.addGood(fingerprint, now)
	return suspected
}

// good reports whether a fingerprint is known to be good, and if so keeps it for another generation.
func (p *shard) good(fingerprint uint64, now time.Time) bool {
	p.rotate(now)
	if _, ok := p.fresh[fingerprint]; ok {
		return true
	}
	if _, ok := p.stale[fingerprint]; !ok {
		return false
	}
	p.addGood(fingerprint, now)
	return true
}

// addGood adds a fingerprint to the current generation.
func (p *shard) addGood(fingerprint uint64, now time.Time) {
	p.rotate(now)
	p.fresh[fingerprint] = struct{}{}
}

// rotate starts a new generation if the current one is full or old, and drops the previous one.
func (p *shard) rotate(now time.Time) {
	if p.rotated.IsZero() {
		p.rotated = now
	}
	if len(p.fresh) < maxGood && now.Sub(p.rotated) < generationTime {
		return
	}
	p.stale = p.fresh
	if now.Sub(p.rotated) >= 2*generationTime {
		p.stale = nil
	}
	p.fresh = make(map[uint64]struct{})
	p.rotated = now
}

package quarantiner

import (
	"slices"
	"time"
)

// Evidence says in what way a request was in flight when a server crashed.
type Evidence int

// Kinds of evidence.
const (
	// Concurrent is a call of a normal fan-out, which may have run concurrently with the request that crashed the server. Any
	// number of them makes a fingerprint a suspect but never blocks it, because an innocent request can be in flight during
	// many crashes.
	Concurrent Evidence = iota + 1
	// SharedCanary is a canary call that ran concurrently with others on its leaf.
	SharedCanary
	// ExclusiveCanary is a canary call that was the only call on its leaf, so the request crashed the server.
	ExclusiveCanary
)

// Crash records that a call was in flight on a server that crashed, and returns the report for the other hosts. All hosts
// that had a call in flight on the server use the same name for the crash.
func (q *Quarantiner) Crash(fingerprint uint64, crash string, evidence Evidence, now time.Time) Report {
	report := Report{Blocked: evidence == ExclusiveCanary}
	if evidence != Concurrent {
		report.Crashes = []string{crash}
	}
	return q.Merge(fingerprint, report, now)
}

// Report is what a host knows about a suspect.
type Report struct {
	// Crashes identifies the crashes during which a canary call was in flight.
	Crashes []string
	Blocked bool
}

// Merge merges the report of another host and returns the combined report. Merging is idempotent.
func (q *Quarantiner) Merge(fingerprint uint64, r Report, now time.Time) Report {
	p := q.shard(fingerprint)
	p.Lock()
	defer p.Unlock()
	delete(p.fresh, fingerprint)
	delete(p.stale, fingerprint)
	s := p.suspect(fingerprint, now)
	for _, c := range r.Crashes {
		if len(s.crashes) < crashLimit && !slices.Contains(s.crashes, c) {
			s.crashes = append(s.crashes, c)
		}
	}
	if (r.Blocked || len(s.crashes) >= crashLimit) && !s.blocked {
		s.blocked = true
		s.expires = now.Add(SuspectTTL)
	}
	return Report{Crashes: slices.Clone(s.crashes), Blocked: s.blocked}
}

// suspect returns the entry of a fingerprint. It adds one if needed, evicting another if the shard is full.
func (p *shard) suspect(fingerprint uint64, now time.Time) *suspect {
	if s, ok := p.suspects[fingerprint]; ok && now.Before(s.expires) {
		return s
	}
	if len(p.suspects) >= maxSuspects {
		p.evict(now)
	}
	s := &suspect{expires: now.Add(SuspectTTL)}
	p.suspects[fingerprint] = s
	return s
}

// evict removes all expired entries. If there are none, it removes the entry that expires first, preferring suspects to
// blocked entries.
func (p *shard) evict(now time.Time) {
	var first uint64
	var oldest *suspect
	for fingerprint, s := range p.suspects {
		if !now.Before(s.expires) {
			delete(p.suspects, fingerprint)
			continue
		}
		if oldest == nil || (oldest.blocked && !s.blocked) || (oldest.blocked == s.blocked && s.expires.Before(oldest.expires)) {
			first, oldest = fingerprint, s
		}
	}
	if len(p.suspects) >= maxSuspects {
		delete(p.suspects, first)
	}
}

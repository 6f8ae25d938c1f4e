package quarantiner

import (
	"slices"
	"time"
)

// Evidence says how a request was in flight when a server crashed.
type Evidence int

// Kinds of evidence.
const (
	// Beside is a call of a normal fan-out, possibly beside the request that crashed the server. However many there
	// are, they make a suspect but never block, because an innocent request can be in flight at many crashes.
	Beside Evidence = iota + 1
	// First is a canary call that was not alone on its leaf.
	First
	// Only is a canary call that was alone on its leaf: the request crashed the server.
	Only
)

// Crash notes that a call was in flight on a server that crashed, and returns the report for the other hosts. The crash
// has the same name on every host that had a call in flight there.
func (q *Quarantiner) Crash(fingerprint uint64, crash string, evidence Evidence, now time.Time) Report {
	report := Report{Blocked: evidence == Only}
	if evidence != Beside {
		report.Crashes = []string{crash}
	}
	return q.Merge(fingerprint, report, now)
}

// Report is what a host knows of a suspect.
type Report struct {
	// Crashes are those at which a canary call was in flight.
	Crashes []string
	Blocked bool
}

// Merge adds what another host reports, and returns what is known now. The same report may be merged twice.
func (q *Quarantiner) Merge(fingerprint uint64, r Report, now time.Time) Report {
	p := q.part(fingerprint)
	p.Lock()
	defer p.Unlock()
	delete(p.fresh, fingerprint)
	delete(p.stale, fingerprint)
	s := p.suspect(fingerprint, now)
	for _, c := range r.Crashes {
		if len(s.crashes) < limit && !slices.Contains(s.crashes, c) {
			s.crashes = append(s.crashes, c)
		}
	}
	if (r.Blocked || len(s.crashes) >= limit) && !s.blocked {
		s.blocked = true
		s.expires = now.Add(Hold)
	}
	return Report{Crashes: slices.Clone(s.crashes), Blocked: s.blocked}
}

// suspect returns the entry of a fingerprint, making room for it if needed.
func (p *part) suspect(fingerprint uint64, now time.Time) *suspect {
	if s, ok := p.suspects[fingerprint]; ok && now.Before(s.expires) {
		return s
	}
	if len(p.suspects) >= maxSuspects {
		p.evict(now)
	}
	s := &suspect{expires: now.Add(Hold)}
	p.suspects[fingerprint] = s
	return s
}

// evict removes the entries that have expired, or else the one that expires first, suspects before blocked ones.
func (p *part) evict(now time.Time) {
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

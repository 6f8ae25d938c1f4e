package cataloguer

import "time"

// Unexpired returns all leaves whose announcements have not expired, in any state.
func (t *Table) Unexpired(now time.Time) []*Leaf {
	var out []*Leaf
	for i := range t.shards {
		s := &t.shards[i]
		s.RLock()
		for _, leaves := range s.services {
			for _, l := range leaves {
				if now.Sub(l.AnnouncedAt) < Lease {
					out = append(out, l)
				}
			}
		}
		s.RUnlock()
	}
	return out
}

// LastAnnounced returns a leaf as last announced to this host, whether or not it may receive work.
func (t *Table) LastAnnounced(service, leaf string) (*Leaf, bool) {
	s := t.shard(service)
	s.RLock()
	defer s.RUnlock()
	l, ok := s.services[service][leaf]
	return l, ok
}

package cataloguer

import (
	"slices"
	"strings"
	"time"
)

// published holds the leaves that their owners publish, by service and by leaf.
type published struct {
	services map[string]map[string]*Leaf
	leaves   map[string]*Leaf
}

// SetPublished replaces the published leaves. The map is keyed by leaf name.
func (t *Table) SetPublished(leaves map[string]*Leaf) {
	p := &published{services: make(map[string]map[string]*Leaf), leaves: leaves}
	for _, l := range leaves {
		if p.services[l.Service] == nil {
			p.services[l.Service] = make(map[string]*Leaf)
		}
		p.services[l.Service][l.Name] = l
	}
	t.published.Store(p)
}

// Exclude sets which data centres are excluded: their leaves receive no new work.
func (t *Table) Exclude(excluded func(center string) bool) {
	t.excluded.Store(&excluded)
}

// Owner returns the host that publishes a leaf.
func (t *Table) Owner(leaf string) (string, bool) {
	l, ok := t.published.Load().leaves[leaf]
	if !ok {
		return "", false
	}
	return l.Owner, true
}

// merge combines an announcement to this host and a published record, either of which may be nil. A live announcement takes
// precedence over a record of the same or an older incarnation, so that draining or leaving takes effect. The result
// contains the owner of the leaf if it is known.
func merge(announced, record *Leaf, now time.Time) *Leaf {
	if announced == nil || now.Sub(announced.AnnouncedAt) >= Lease {
		return record
	}
	if record == nil {
		return announced
	}
	if record.Incarnation > announced.Incarnation {
		return record
	}
	out := *announced
	out.Owner, out.Epoch = record.Owner, record.Epoch
	return &out
}

// live returns the merged leaf if it may receive work, or nil.
func (t *Table) live(announced, record *Leaf, now time.Time) *Leaf {
	l := merge(announced, record, now)
	if l == nil || !l.Live(now) || (*t.excluded.Load())(l.Center) {
		return nil
	}
	return l
}

// Leaves returns the leaves of a service that may receive work, sorted by name.
func (t *Table) Leaves(service string, now time.Time) []*Leaf {
	records := t.published.Load().services[service]
	s := t.shard(service)
	s.RLock()
	defer s.RUnlock()
	announced := s.services[service]
	out := make([]*Leaf, 0, max(len(announced), len(records)))
	for name, l := range announced {
		if l = t.live(l, records[name], now); l != nil {
			out = append(out, l)
		}
	}
	for name, l := range records {
		if _, ok := announced[name]; ok {
			continue
		}
		if l = t.live(nil, l, now); l != nil {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *Leaf) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Find returns a leaf that may receive work.
func (t *Table) Find(service, leaf string, now time.Time) (*Leaf, bool) {
	record := t.published.Load().services[service][leaf]
	s := t.shard(service)
	s.RLock()
	defer s.RUnlock()
	l := t.live(s.services[service][leaf], record, now)
	return l, l != nil
}

// Announced returns the leaves that have announced themselves to this host within one lease and may receive work. A host
// publishes a subset of them.
func (t *Table) Announced(now time.Time) []*Leaf {
	var out []*Leaf
	for i := range t.shards {
		s := &t.shards[i]
		s.RLock()
		for _, leaves := range s.services {
			for _, l := range leaves {
				if t.live(l, nil, now) != nil {
					out = append(out, l)
				}
			}
		}
		s.RUnlock()
	}
	return out
}

// Expire removes announcements older than age to free the memory of departed leaves.
func (t *Table) Expire(age time.Duration, now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.Lock()
		for service, leaves := range s.services {
			for name, l := range leaves {
				if now.Sub(l.AnnouncedAt) >= age {
					delete(leaves, name)
				}
			}
			if len(leaves) == 0 {
				delete(s.services, service)
			}
		}
		s.Unlock()
	}
}

// All returns the leaves of all services that may receive work, sorted by name.
func (t *Table) All(now time.Time) []*Leaf {
	services := make(map[string]bool)
	for name := range t.published.Load().services {
		services[name] = true
	}
	for i := range t.shards {
		s := &t.shards[i]
		s.RLock()
		for name := range s.services {
			services[name] = true
		}
		s.RUnlock()
	}
	var out []*Leaf
	for name := range services {
		out = append(out, t.Leaves(name, now)...)
	}
	slices.SortFunc(out, func(a, b *Leaf) int { return strings.Compare(a.Name, b.Name) })
	return out
}

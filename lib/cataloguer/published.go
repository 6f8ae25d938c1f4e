package cataloguer

import (
	"slices"
	"strings"
	"time"
)

// published is what owners publish, by service and by leaf.
type published struct {
	services map[string]map[string]*Leaf
	leaves   map[string]*Leaf
}

// SetPublished replaces what owners publish. The leaves are by name.
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

// Exclude sets which data centres are out: their leaves receive no new work.
func (t *Table) Exclude(out func(center string) bool) {
	t.out.Store(&out)
}

// Owner returns the host that publishes a leaf.
func (t *Table) Owner(leaf string) (string, bool) {
	l, ok := t.published.Load().leaves[leaf]
	if !ok {
		return "", false
	}
	return l.Owner, true
}

// merge chooses between an announcement to this host and a published record, either of which may be nil. A live
// announcement is newer than any record; an announcement of draining or leaving overrides a record of the same
// incarnation. The result says who owns the leaf when that is known.
func merge(own, record *Leaf, now time.Time) *Leaf {
	if own == nil || now.Sub(own.Heard) >= Lease {
		return record
	}
	if record == nil {
		return own
	}
	if record.Incarnation > own.Incarnation {
		return record
	}
	out := *own
	out.Owner, out.Epoch = record.Owner, record.Epoch
	return &out
}

// live returns the leaf that may receive work, or nil.
func (t *Table) live(own, record *Leaf, now time.Time) *Leaf {
	l := merge(own, record, now)
	if l == nil || !l.Live(now) || (*t.out.Load())(l.Center) {
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
	own := s.services[service]
	out := make([]*Leaf, 0, max(len(own), len(records)))
	for name, l := range own {
		if l = t.live(l, records[name], now); l != nil {
			out = append(out, l)
		}
	}
	for name, l := range records {
		if _, ok := own[name]; ok {
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

// Announced returns the leaves whose announcements this host has heard within one lease and that may receive work.
// A host publishes from these.
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

// Expire drops announcements older than age, so that leaves that are gone for good take no memory.
func (t *Table) Expire(age time.Duration, now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.Lock()
		for service, leaves := range s.services {
			for name, l := range leaves {
				if now.Sub(l.Heard) >= age {
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

// All returns every leaf that this host knows as live, whatever its service, sorted by name.
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

package cataloguer

import (
	"sync"
	"time"
)

// cacheTime bounds how old a cached list of snapshots may be. Owners refuse calls to leaves that have left, so a
// list that is this old costs a retry and nothing else.
const cacheTime = 50 * time.Millisecond

// Cache keeps the snapshots of each service for a short time: to build them anew for each query would cost a pass
// over all leaves of the service. It is safe for concurrent use.
type Cache struct {
	table *Table

	mu       sync.RWMutex
	services map[string]*cached
}

// cached is the list of one service.
type cached struct {
	mu        sync.Mutex
	built     time.Time
	label     uint64
	snapshots []*Snapshot
}

// NewCache returns a cache of a table.
func NewCache(table *Table) *Cache {
	return &Cache{table: table, services: make(map[string]*cached)}
}

// Snapshots returns the snapshots of a service, the newest first, without the leaves of data centres that are out.
// The label identifies the configuration that out belongs to; a list made under another label is not used.
func (c *Cache) Snapshots(service string, label uint64, out func(center string) bool, now time.Time) []*Snapshot {
	entry := c.entry(service)
	if entry == nil {
		return Exclude(c.table.Snapshots(service, now), out)
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.snapshots == nil || entry.label != label || now.Sub(entry.built) > cacheTime {
		entry.snapshots = Exclude(c.table.Snapshots(service, now), out)
		entry.built, entry.label = now, label
	}
	return entry.snapshots
}

// maxCached bounds the services in the cache; callers may ask for names that do not exist.
const maxCached = 4096

func (c *Cache) entry(service string) *cached {
	c.mu.RLock()
	entry, ok := c.services[service]
	c.mu.RUnlock()
	if ok {
		return entry
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry, ok = c.services[service]; ok {
		return entry
	}
	if len(c.services) >= maxCached {
		return nil
	}
	entry = &cached{}
	c.services[service] = entry
	return entry
}

// Exclude removes the leaves of data centres that are out from freshly built snapshots. A snapshot that only such
// leaves hold is removed.
func Exclude(snapshots []*Snapshot, out func(center string) bool) []*Snapshot {
	kept := snapshots[:0]
	for _, s := range snapshots {
		for i, holders := range s.Holders {
			s.Holders[i] = in(holders, out)
		}
		if s.Held() > 0 {
			kept = append(kept, s)
		}
	}
	return kept
}

func in(holders []*Leaf, out func(center string) bool) []*Leaf {
	kept := holders[:0]
	for _, l := range holders {
		if !out(l.Center) {
			kept = append(kept, l)
		}
	}
	return kept
}

// Newest returns the newest complete snapshot above a number, else the one with most shards held, or nil.
func Newest(snapshots []*Snapshot, above uint64) *Snapshot {
	var best *Snapshot
	for _, s := range snapshots {
		if s.Number <= above {
			continue
		}
		if s.Complete() {
			return s
		}
		if best == nil || s.Held() > best.Held() {
			best = s
		}
	}
	return best
}

package cataloguer

import (
	"sync"
	"time"
)

// cacheTTL bounds the age of a cached list of snapshots. A stale list costs at most a retry, because owners refuse calls to
// leaves that have left.
const cacheTTL = 50 * time.Millisecond

// Cache caches the snapshots of each service for a short time, because building them requires a pass over all leaves of the
// service. It is safe for concurrent use.
type Cache struct {
	table *Table

	mu       sync.RWMutex
	services map[string]*cached
}

// cached is the cache entry of one service.
type cached struct {
	mu            sync.Mutex
	built         time.Time
	configuration uint64
	snapshots     []*Snapshot
}

// NewCache returns a cache of a table.
func NewCache(table *Table) *Cache {
	return &Cache{table: table, services: make(map[string]*cached)}
}

// Snapshots returns the snapshots of a service, newest first, without the leaves of excluded data centres. configuration
// identifies the configuration to which excluded belongs; a list cached for another configuration is not used.
func (c *Cache) Snapshots(service string, configuration uint64, excluded func(center string) bool, now time.Time) []*Snapshot {
	entry := c.entry(service)
	if entry == nil {
		return Exclude(c.table.Snapshots(service, now), excluded)
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.snapshots == nil || entry.configuration != configuration || now.Sub(entry.built) > cacheTTL {
		entry.snapshots = Exclude(c.table.Snapshots(service, now), excluded)
		entry.built, entry.configuration = now, configuration
	}
	return entry.snapshots
}

// maxServices bounds the services in the cache, because callers may send names of services that do not exist.
const maxServices = 4096

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
	if len(c.services) >= maxServices {
		return nil
	}
	entry = &cached{}
	c.services[service] = entry
	return entry
}

// Exclude removes the leaves of excluded data centres from the snapshots, which it modifies. A snapshot without remaining
// holders is removed.
func Exclude(snapshots []*Snapshot, excluded func(center string) bool) []*Snapshot {
	remaining := snapshots[:0]
	for _, s := range snapshots {
		for i, holders := range s.Holders {
			s.Holders[i] = filterHolders(holders, excluded)
		}
		if s.Held() > 0 {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

func filterHolders(holders []*Leaf, excluded func(center string) bool) []*Leaf {
	remaining := holders[:0]
	for _, l := range holders {
		if !excluded(l.Center) {
			remaining = append(remaining, l)
		}
	}
	return remaining
}

// Newest returns the newest complete snapshot with a number above the given one. If there is none, it returns the one with
// the most held shards, or nil if there are no snapshots above the number.
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

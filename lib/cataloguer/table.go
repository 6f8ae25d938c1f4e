// Package cataloguer tracks which leaf holds which shard of which snapshot, as soft state with leases.
package cataloguer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the announced state of a backend server.
type State int

// States of a backend server.
const (
	Cold State = iota + 1
	Warm
	Draining
	Leaving
)

// Lease is the time for which an announcement is valid.
const Lease = 2 * time.Second

// Interval is the time between announcements of a backend server.
const Interval = 500 * time.Millisecond

// Holding is a shard of a snapshot that a leaf serves.
type Holding struct {
	Snapshot uint64
	Shard    uint32
	// Shards is the number of shards of the snapshot.
	Shards uint32
}

// Leaf is a backend server as last announced.
type Leaf struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Address     netip.AddrPort
	Center      string
	Service     string
	// Program is the version of the leaf's program; empty if it does not say.
	Program     string
	State       State
	Slots       int
	Connections int
	Holdings    []Holding
	// AnnouncedAt is when the last announcement was received.
	AnnouncedAt time.Time
	// ColdUntil is when the leaf will be warm by its own announcement; zero if it announces no time.
	ColdUntil time.Time
	// Published is true if the leaf comes from the record of its owner instead of an announcement to this host.
	Published bool
	// Owner is the host that publishes the leaf, and Epoch the epoch of that host's lease on the leaf.
	Owner string
	Epoch uint64
}

// Live reports whether the leaf may receive new work.
func (l *Leaf) Live(now time.Time) bool {
	return l.State <= Warm && (l.Published || now.Sub(l.AnnouncedAt) < Lease)
}

// shardCount is the number of shards of the table, by service, so that lookups of different services rarely share a lock.
const shardCount = 16

// Table holds leaves by service. It is safe for concurrent use.
type Table struct {
	shards  [shardCount]shard
	started time.Time
	// published is replaced atomically, so that queries read it without a lock.
	published atomic.Pointer[published]
	complete  atomic.Bool
	excluded  atomic.Pointer[func(center string) bool]
}

type shard struct {
	sync.RWMutex
	services map[string]map[string]*Leaf
}

// New returns an empty table with the start time now.
func New(now time.Time) *Table {
	t := &Table{started: now}
	t.published.Store(&published{})
	t.Exclude(func(string) bool { return false })
	for i := range t.shards {
		t.shards[i].services = make(map[string]map[string]*Leaf)
	}
	return t
}

// Starting reports whether the table may not contain every leaf yet, because less than one lease has passed since the start
// and the records of some cells have not arrived.
func (t *Table) Starting(now time.Time) bool {
	return now.Sub(t.started) < Lease && !t.complete.Load()
}

// EndStart ends the start phase early, once the records of every reachable cell have arrived.
func (t *Table) EndStart() {
	t.complete.Store(true)
}

func (t *Table) shard(service string) *shard {
	return &t.shards[xxhash.Sum64String(service)%shardCount]
}

// Put stores an announcement unless a newer one of the same leaf is known. It reports whether it was stored.
func (t *Table) Put(leaf *Leaf) bool {
	s := t.shard(leaf.Service)
	s.Lock()
	defer s.Unlock()
	leaves, ok := s.services[leaf.Service]
	if !ok {
		leaves = make(map[string]*Leaf)
		s.services[leaf.Service] = leaves
	}
	old, ok := leaves[leaf.Name]
	if ok && !newer(leaf, old) {
		return false
	}
	leaves[leaf.Name] = leaf
	return true
}

func newer(a, b *Leaf) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

package cataloguer

import (
	"slices"
	"time"
)

// Snapshot is one version of a service's index and the leaves that hold it.
type Snapshot struct {
	Number uint64
	// Shards is the total number of shards of the snapshot.
	Shards uint32
	// Holders lists the live leaves of each shard.
	Holders [][]*Leaf
}

// Held returns the number of shards with at least one live holder.
func (s *Snapshot) Held() int {
	n := 0
	for _, h := range s.Holders {
		if len(h) > 0 {
			n++
		}
	}
	return n
}

// Complete reports whether every shard has a live holder.
func (s *Snapshot) Complete() bool {
	return s.Held() == int(s.Shards)
}

// Snapshots returns the snapshots of a service that live leaves hold, newest first.
func (t *Table) Snapshots(service string, now time.Time) []*Snapshot {
	byNumber := make(map[uint64]*Snapshot)
	for _, l := range t.Leaves(service, now) {
		for _, h := range l.Holdings {
			add(byNumber, l, h)
		}
	}
	out := make([]*Snapshot, 0, len(byNumber))
	for _, s := range byNumber {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *Snapshot) int {
		if a.Number > b.Number {
			return -1
		}
		return 1
	})
	return out
}

// add adds a leaf as the holder of a shard. It ignores a holding whose number of shards differs from that of the first
// holding seen, because the two cannot belong to the same snapshot.
func add(byNumber map[uint64]*Snapshot, l *Leaf, h Holding) {
	s, ok := byNumber[h.Snapshot]
	if !ok {
		s = &Snapshot{Number: h.Snapshot, Shards: h.Shards, Holders: make([][]*Leaf, h.Shards)}
		byNumber[h.Snapshot] = s
	}
	if h.Shards != s.Shards || h.Shard >= s.Shards {
		return
	}
	s.Holders[h.Shard] = append(s.Holders[h.Shard], l)
}

// Pin returns the snapshot to which a query is pinned, as chosen by Newest among the snapshots that live leaves hold, or
// nil.
func (t *Table) Pin(service string, above uint64, now time.Time) *Snapshot {
	return Newest(t.Snapshots(service, now), above)
}

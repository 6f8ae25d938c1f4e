package cataloguer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/cataloguer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func put(t *cataloguer.Table, name, center string, snapshot uint64, shard, shards uint32) {
	t.Put(&cataloguer.Leaf{
		Name: name, Center: center, Service: "desk", State: cataloguer.Warm, AnnouncedAt: start,
		Holdings: []cataloguer.Holding{{Snapshot: snapshot, Shard: shard, Shards: shards}},
	})
}

// Guards against calls to a data centre that a newer configuration excludes, and against a list that is never refreshed.
func TestCacheFollowsConfigurationAndTime(t *testing.T) {
	table := cataloguer.New(start)
	put(table, "a", "north", 1, 0, 1)
	put(table, "b", "south", 1, 0, 1)
	cache := cataloguer.NewCache(table)
	none := func(string) bool { return false }
	north := func(center string) bool { return center == "north" }
	qt.Assert(t, cache.Snapshots("desk", 1, none, start)[0].Holders[0], qt.HasLen, 2)
	qt.Assert(t, cache.Snapshots("desk", 2, north, start)[0].Holders[0], qt.HasLen, 1)
	qt.Assert(t, cache.Snapshots("desk", 3, none, start)[0].Holders[0], qt.HasLen, 2)
	put(table, "c", "south", 1, 0, 1)
	qt.Assert(t, cache.Snapshots("desk", 3, none, start.Add(time.Second))[0].Holders[0], qt.HasLen, 3)
	qt.Assert(t, cache.Snapshots("desk", 3, none, start.Add(cataloguer.Lease)), qt.HasLen, 0)
	qt.Assert(t, cache.Snapshots("desk", 4, func(string) bool { return true }, start.Add(time.Second)), qt.HasLen, 0)
}

// Guards against preferring a newer incomplete snapshot to a complete one.
func TestNewestCompleteSnapshotIsPinned(t *testing.T) {
	table := cataloguer.New(start)
	put(table, "a", "north", 1, 0, 2)
	put(table, "b", "north", 1, 1, 2)
	put(table, "c", "north", 2, 0, 3)
	put(table, "d", "north", 2, 1, 3)
	qt.Assert(t, table.Pin("desk", 0, start).Number, qt.Equals, uint64(1))
	qt.Assert(t, table.Pin("desk", 1, start).Held(), qt.Equals, 2)
	put(table, "e", "north", 2, 2, 3)
	qt.Assert(t, table.Pin("desk", 0, start).Number, qt.Equals, uint64(2))
	qt.Assert(t, table.Pin("desk", 2, start), qt.IsNil)
}

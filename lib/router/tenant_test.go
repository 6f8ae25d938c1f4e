package router_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/router"
)

// Guards against keys that are found by another tenant, miscounted, or identified by another position.
func TestKeysOfTables(t *testing.T) {
	digests := func(keys ...string) []router.Digest {
		out := make([]router.Digest, 0, len(keys))
		for _, key := range keys {
			out = append(out, router.NewDigest(key))
		}
		return out
	}
	private := []router.Route{{Name: "open", Public: true}, {Name: "one"}}
	earlier := router.NewTable(&router.Document{Authenticated: true, Tenants: []router.Tenant{{Name: "a", Keys: digests("1", "2")}, {Name: "b", Keys: digests("3")}}, Routes: private})
	later := router.NewTable(&router.Document{Authenticated: true, Tenants: []router.Tenant{{Name: "a", Keys: digests("2", "4", "5")}}, Routes: private[:1]})
	added, removed := later.KeyChanges(earlier)
	qt.Assert(t, []int{added, removed}, qt.DeepEquals, []int{2, 2})
	added, removed = earlier.KeyChanges(nil)
	qt.Assert(t, []int{added, removed, earlier.KeyCount()}, qt.DeepEquals, []int{3, 0, 3})
	qt.Assert(t, earlier.NeedsKeys(), qt.IsTrue)
	qt.Assert(t, later.NeedsKeys(), qt.IsFalse)
	a, ok := earlier.Tenant("2")
	qt.Assert(t, ok, qt.IsTrue)
	named, _ := earlier.Named("a")
	qt.Assert(t, a, qt.Equals, named)
	qt.Assert(t, a.Ordinal(router.NewDigest("2")), qt.Equals, 2)
	qt.Assert(t, a.Ordinal(router.NewDigest("3")), qt.Equals, 0)
	d, ok := a.Key(2)
	qt.Assert(t, ok && d == router.NewDigest("2"), qt.IsTrue)
	for _, ordinal := range []int{-1, 0, 3} {
		_, ok = a.Key(ordinal)
		qt.Assert(t, ok, qt.IsFalse)
	}
}

package keeper

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

var begin = time.Unix(1000, 0)

func newKeeper() *Keeper {
	return New("core-1", "a", netip.MustParseAddrPort("10.0.0.1:80"), "10.0.0.1:7000", nil, nil, func() time.Time { return begin })
}

// messageFrom returns a message of a control host in a data centre.
func messageFrom(center string) *peerv1.FollowResponse {
	return &peerv1.FollowResponse{Center: center}
}

// A data centre is partitioned from the others. Guards against a control host that does not detect that it is isolated,
// and against one that considers itself isolated because it has just started or because some of the others are silent.
func TestControlHostKnowsThatItIsAlone(t *testing.T) {
	k := newKeeper()
	qt.Assert(t, k.isolated(begin.Add(time.Hour)), qt.IsFalse)
	k.receive("10.0.0.2:7000", messageFrom("b"), begin)
	k.receive("10.0.0.3:7000", messageFrom("c"), begin.Add(500*time.Millisecond))
	qt.Assert(t, k.isolated(begin.Add(1400*time.Millisecond)), qt.IsFalse)
	qt.Assert(t, k.isolated(begin.Add(1500*time.Millisecond)), qt.IsTrue)
	k.receive("10.0.0.2:7000", messageFrom("b"), begin.Add(2*time.Second))
	qt.Assert(t, k.isolated(begin.Add(2*time.Second)), qt.IsFalse)
}

// A data centre with two control hosts is partitioned from the others. Guards against control hosts that reach each other
// and therefore miss that they are isolated, and against isolation being reported when there is only one data centre.
func TestControlHostsOfACutCenterKnowThatTheyAreAlone(t *testing.T) {
	k := newKeeper()
	k.receive("10.0.0.4:7000", messageFrom("a"), begin)
	qt.Assert(t, k.isolated(begin.Add(time.Hour)), qt.IsFalse)
	k.receive("10.0.0.2:7000", messageFrom("b"), begin)
	k.receive("10.0.0.4:7000", messageFrom("a"), begin.Add(time.Second))
	qt.Assert(t, k.isolated(begin.Add(time.Second)), qt.IsTrue)
}

// All control hosts but one lose power. Guards against the remaining one reporting its data centre as isolated while
// leaves and entry hosts of other data centres contact it.
func TestControlHostThatOthersTurnToIsNotAlone(t *testing.T) {
	for name, contact := range map[string]func(k *Keeper, now time.Time){
		"a leaf":        func(k *Keeper, now time.Time) { k.noteContact("b", now) },
		"an entry host": func(k *Keeper, now time.Time) { k.noteContact("c", now) },
	} {
		k := newKeeper()
		k.receive("10.0.0.2:7000", messageFrom("b"), begin)
		now := begin.Add(1200 * time.Millisecond)
		qt.Check(t, k.isolated(now), qt.IsTrue, qt.Commentf(name))
		k.noteContact("a", now)
		qt.Check(t, k.isolated(now), qt.IsTrue, qt.Commentf(name))
		contact(k, now)
		qt.Check(t, k.isolated(now), qt.IsFalse, qt.Commentf(name))
		qt.Check(t, k.isolated(now.Add(time.Second)), qt.IsTrue, qt.Commentf(name))
	}
}

// A data centre is partitioned from the others, and its entry hosts keep following its control host. Guards against hosts
// of other data centres that keep sending them portions of queries, and against hosts that stay unlisted after they
// follow another control host.
func TestHostsBehindASilentControlHostAreNotListed(t *testing.T) {
	k := newKeeper()
	hosts := &peerv1.EntryHosts{Hosts: []*peerv1.EntryHost{{Address: "10.2.0.1:1", Center: "b"}}, Whole: true}
	k.receive("10.0.0.2:7000", &peerv1.FollowResponse{Hosts: hosts}, begin)
	qt.Assert(t, k.reachableEntries(begin), qt.HasLen, 1)
	k.markUnreachable("10.0.0.2:7000")
	qt.Assert(t, k.reachableEntries(begin), qt.HasLen, 0)
	k.receive("10.0.0.3:7000", &peerv1.FollowResponse{Hosts: hosts}, begin)
	qt.Assert(t, k.reachableEntries(begin), qt.HasLen, 1)
	qt.Assert(t, k.reachableEntries(begin.Add(899*time.Millisecond)), qt.HasLen, 1)
	qt.Assert(t, k.reachableEntries(begin.Add(900*time.Millisecond)), qt.HasLen, 0)
	k.receive("10.0.0.3:7000", &peerv1.FollowResponse{}, begin.Add(time.Second))
	qt.Assert(t, k.reachableEntries(begin.Add(time.Second)), qt.HasLen, 1)
}

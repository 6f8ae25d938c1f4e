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

// said is a message of a control host in a data centre.
func said(center string) *peerv1.FollowResponse {
	return &peerv1.FollowResponse{Center: center}
}

// Load: a data centre is cut off. Guards against a control host that does not know that it is alone, and against one that
// takes itself for alone because it has just started or because some of the others are silent.
func TestControlHostKnowsThatItIsAlone(t *testing.T) {
	k := newKeeper()
	qt.Assert(t, k.alone(begin.Add(time.Hour)), qt.IsFalse)
	k.take("10.0.0.2:7000", said("b"), begin)
	k.take("10.0.0.3:7000", said("c"), begin.Add(500*time.Millisecond))
	qt.Assert(t, k.alone(begin.Add(1400*time.Millisecond)), qt.IsFalse)
	qt.Assert(t, k.alone(begin.Add(1500*time.Millisecond)), qt.IsTrue)
	k.take("10.0.0.2:7000", said("b"), begin.Add(2*time.Second))
	qt.Assert(t, k.alone(begin.Add(2*time.Second)), qt.IsFalse)
}

// Load: a data centre with two control hosts is cut off. Guards against control hosts that hear each other and do not
// know that they hear nobody else, and against the only data centre taking itself for cut off.
func TestControlHostsOfACutCenterKnowThatTheyAreAlone(t *testing.T) {
	k := newKeeper()
	k.take("10.0.0.4:7000", said("a"), begin)
	qt.Assert(t, k.alone(begin.Add(time.Hour)), qt.IsFalse)
	k.take("10.0.0.2:7000", said("b"), begin)
	k.take("10.0.0.4:7000", said("a"), begin.Add(time.Second))
	qt.Assert(t, k.alone(begin.Add(time.Second)), qt.IsTrue)
}

// Load: all control hosts but one lose power. Guards against the one that is left telling its followers that their data
// centre is cut off, while leaves and entry hosts of other data centres turn to it.
func TestControlHostThatOthersTurnToIsNotAlone(t *testing.T) {
	for name, turn := range map[string]func(k *Keeper, now time.Time){
		"a leaf":        func(k *Keeper, now time.Time) { k.hear("b", now) },
		"an entry host": func(k *Keeper, now time.Time) { k.hear("c", now) },
	} {
		k := newKeeper()
		k.take("10.0.0.2:7000", said("b"), begin)
		now := begin.Add(1200 * time.Millisecond)
		qt.Check(t, k.alone(now), qt.IsTrue, qt.Commentf(name))
		k.hear("a", now)
		qt.Check(t, k.alone(now), qt.IsTrue, qt.Commentf(name))
		turn(k, now)
		qt.Check(t, k.alone(now), qt.IsFalse, qt.Commentf(name))
		qt.Check(t, k.alone(now.Add(time.Second)), qt.IsTrue, qt.Commentf(name))
	}
}

// Load: a data centre is cut off, and its entry hosts follow its control host on. Guards against hosts elsewhere that go on
// to ask them for portions, and against hosts that stay forgotten when they follow another control host.
func TestHostsBehindASilentControlHostAreNotListed(t *testing.T) {
	k := newKeeper()
	hosts := &peerv1.EntryHosts{Hosts: []*peerv1.EntryHost{{Address: "10.2.0.1:1", Center: "b"}}, Whole: true}
	k.take("10.0.0.2:7000", &peerv1.FollowResponse{Hosts: hosts}, begin)
	qt.Assert(t, k.allHosts(begin), qt.HasLen, 1)
	k.unheard("10.0.0.2:7000")
	qt.Assert(t, k.allHosts(begin), qt.HasLen, 0)
	k.take("10.0.0.3:7000", &peerv1.FollowResponse{Hosts: hosts}, begin)
	qt.Assert(t, k.allHosts(begin), qt.HasLen, 1)
	qt.Assert(t, k.allHosts(begin.Add(899*time.Millisecond)), qt.HasLen, 1)
	qt.Assert(t, k.allHosts(begin.Add(900*time.Millisecond)), qt.HasLen, 0)
	k.take("10.0.0.3:7000", &peerv1.FollowResponse{}, begin.Add(time.Second))
	qt.Assert(t, k.allHosts(begin.Add(time.Second)), qt.HasLen, 1)
}

package follower_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/follower"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var start = time.Unix(1000, 0)

// decode reads the version from the body.
func decode(body []byte) (*router.Document, error) {
	d := &router.Document{}
	if _, err := fmt.Sscanf(string(body), "version %d", &d.Version); err != nil {
		return nil, errors.New("unreadable")
	}
	return d, nil
}

func document(version uint64) *statev1.Document {
	return &statev1.Document{Version: version, Body: fmt.Appendf(nil, "version %d", version)}
}

func leaf(name string, born uint64, center, address string) *peerv1.RosterLeaf {
	return &peerv1.RosterLeaf{Leaf: name, Born: born, Sequence: 1, Service: "desk", Address: address, Center: center, Slots: 2}
}

func names(f *follower.Follower) []string {
	var out []string
	for _, l := range f.View().Holders["desk"] {
		out = append(out, l.Name)
	}
	return out
}

// Guards against a host that returns to an older configuration or evacuation because it switched to a control host that
// lags behind.
func TestNothingNewerIsTakenBack(t *testing.T) {
	f := follower.New(decode, start)
	f.Apply(&peerv1.FollowResponse{Index: 20, Document: document(7), Evacuated: &peerv1.Evacuated{Centers: []string{"a"}}, Settled: true}, start)
	qt.Assert(t, f.View().Version(), qt.Equals, uint64(7))
	later := start.Add(time.Second)
	f.Apply(&peerv1.FollowResponse{Index: 10, Document: document(5), Evacuated: &peerv1.Evacuated{}}, later)
	qt.Assert(t, f.View().Version(), qt.Equals, uint64(7))
	qt.Assert(t, f.View().Evacuated["a"], qt.IsTrue)
	qt.Assert(t, f.View().Index, qt.Equals, uint64(20))
	qt.Assert(t, f.View().Age(later), qt.Equals, time.Second)
	f.Apply(&peerv1.FollowResponse{Index: 21, Evacuated: &peerv1.Evacuated{}, Settled: true}, later)
	qt.Assert(t, f.View().Evacuated, qt.HasLen, 0)
	qt.Assert(t, f.View().Age(later), qt.Equals, time.Duration(0))
}

// Guards against an unreadable document that replaces a readable one.
func TestUnreadableDocumentChangesNothing(t *testing.T) {
	f := follower.New(decode, start)
	f.Apply(&peerv1.FollowResponse{Document: document(7)}, start)
	f.Apply(&peerv1.FollowResponse{Document: &statev1.Document{Version: 8, Body: []byte("?")}}, start)
	qt.Assert(t, f.View().Version(), qt.Equals, uint64(7))
}

// Guards against requests to a leaf that is leaving or evacuated, and against a departed leaf that an older record adds
// again.
func TestLeavingAndEvacuatedLeavesAreNotCalled(t *testing.T) {
	f := follower.New(decode, start)
	f.Apply(&peerv1.FollowResponse{Leaves: []*peerv1.RosterLeaf{leaf("x", 1, "a", "10.0.0.1:80"), leaf("y", 1, "b", "10.0.0.2:80")}}, start)
	qt.Assert(t, names(f), qt.ContentEquals, []string{"x", "y"})
	f.Apply(&peerv1.FollowResponse{Leaves: []*peerv1.RosterLeaf{{Leaf: "x", Born: 1, Leaving: true}}}, start)
	qt.Assert(t, names(f), qt.DeepEquals, []string{"y"})
	newer := leaf("x", 1, "a", "10.0.0.1:80")
	newer.Sequence = 9
	f.Apply(&peerv1.FollowResponse{Leaves: []*peerv1.RosterLeaf{newer}}, start)
	qt.Assert(t, names(f), qt.DeepEquals, []string{"y"})
	f.Apply(&peerv1.FollowResponse{Leaves: []*peerv1.RosterLeaf{leaf("x", 2, "a", "10.0.0.1:80")}}, start)
	qt.Assert(t, names(f), qt.ContentEquals, []string{"x", "y"})
	f.Apply(&peerv1.FollowResponse{Index: 5, Evacuated: &peerv1.Evacuated{Centers: []string{"b"}}}, start)
	qt.Assert(t, names(f), qt.DeepEquals, []string{"x"})
	f.Apply(&peerv1.FollowResponse{Index: 6, Evacuated: &peerv1.Evacuated{}}, start)
	qt.Assert(t, names(f), qt.ContentEquals, []string{"x", "y"})
}

// Guards against losing a departure that arrives before the first record of the leaf.
func TestDepartureBeforeTheRecordHolds(t *testing.T) {
	f := follower.New(decode, start)
	f.Apply(&peerv1.FollowResponse{Leaves: []*peerv1.RosterLeaf{{Leaf: "x", Born: 5, Leaving: true}}}, start)
	f.Apply(&peerv1.FollowResponse{Leaves: []*peerv1.RosterLeaf{leaf("x", 5, "a", "10.0.0.1:80")}}, start)
	qt.Assert(t, names(f), qt.HasLen, 0)
}

// A data centre is partitioned from the others. Guards against a host that considers itself isolated at the first message
// of a control host that was frozen, and against one that does not notice the end of the partition.
func TestControlHostThatStaysAlone(t *testing.T) {
	f := follower.New(decode, start)
	const minDuration = 300 * time.Millisecond
	f.Apply(&peerv1.FollowResponse{Alone: true}, start)
	qt.Assert(t, f.View().IsIsolated(minDuration, start), qt.IsFalse)
	later := start.Add(minDuration)
	f.Apply(&peerv1.FollowResponse{Alone: true}, later)
	qt.Assert(t, f.View().IsIsolated(minDuration, later), qt.IsTrue)
	f.Apply(&peerv1.FollowResponse{}, later)
	qt.Assert(t, f.View().IsIsolated(minDuration, later.Add(time.Hour)), qt.IsFalse)
}

// Another writer announces the address of a sound leaf for a service that no configuration names. Guards against a sound leaf
// that is no longer called, whether the configuration arrives before the claim or after it.
func TestUnknownServiceTakesNoAddress(t *testing.T) {
	named := func(body []byte) (*router.Document, error) {
		d, err := decode(body)
		if err == nil {
			d.Services = []router.Service{{Name: "desk"}}
		}
		return d, err
	}
	configuration := &peerv1.FollowResponse{Document: document(7)}
	foreign := leaf("odd", 9, "a", "10.0.0.1:80")
	foreign.Service = "nobody"
	claim := &peerv1.FollowResponse{Leaves: []*peerv1.RosterLeaf{leaf("x", 1, "a", "10.0.0.1:80"), foreign}}
	for _, messages := range [][]*peerv1.FollowResponse{{configuration, claim}, {claim, configuration}} {
		f := follower.New(named, start)
		for _, m := range messages {
			f.Apply(m, start)
		}
		qt.Check(t, names(f), qt.DeepEquals, []string{"x"})
	}
}

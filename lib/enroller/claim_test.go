package enroller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/enroller"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Another writer sends one heartbeat with the address of a sound leaf. Guards against a sound leaf that stays out of use on a
// control host or on the hosts that follow it although only its own heartbeats continue.
func TestClaimThatIsNotRenewedGivesTheAddressBack(t *testing.T) {
	near, far := enroller.New(), enroller.New()
	var revision uint64
	pass := func(now time.Time) {
		batch := near.Since(revision, false)
		revision = batch.Revision
		records := make([]*peerv1.RosterLeaf, 0, len(batch.Leaves))
		for _, l := range batch.Leaves {
			records = append(records, enroller.Encode(l, now))
		}
		far.Receive(records, nobody{}, now)
	}
	near.Put(leaf("sound", 10, 1, "10.0.0.1:80"), start)
	pass(start)
	near.Put(leaf("odd", 20, 1, "10.0.0.1:80"), start)
	pass(start)
	qt.Assert(t, known(t, near, "sound").Leaving, qt.IsTrue)
	qt.Assert(t, known(t, far, "sound").Leaving, qt.IsTrue)
	now := start
	for second := range uint64(20) {
		now = now.Add(time.Second)
		near.Put(leaf("sound", 10, second+2, "10.0.0.1:80"), now)
		pass(now)
	}
	for _, r := range []*enroller.Roster{near, far} {
		qt.Assert(t, known(t, r, "sound").Leaving, qt.IsFalse)
		qt.Assert(t, known(t, r, "odd").Leaving, qt.IsTrue)
	}
	qt.Assert(t, near.Put(leaf("odd", 20, 2, "10.0.0.1:80"), now), qt.Equals, enroller.Stale)
}

// Guards against a late heartbeat of a leaf that has ended, or a few of them, that take the address from its successor.
func TestClaimThatIsRenewedHolds(t *testing.T) {
	r := enroller.New()
	r.Put(leaf("old", 10, 1, "10.0.0.1:80"), start)
	now := start
	for second := range uint64(60) {
		now = now.Add(time.Second)
		r.Put(leaf("new", 20, second+1, "10.0.0.1:80"), now)
		r.Put(leaf("old", 10, second+2, "10.0.0.1:80"), now)
		qt.Assert(t, known(t, r, "old").Leaving, qt.IsTrue)
		qt.Assert(t, known(t, r, "new").Leaving, qt.IsFalse)
	}
	now = now.Add(25 * time.Second) // The control host was frozen.
	r.Put(leaf("old", 10, 100, "10.0.0.1:80"), now)
	qt.Assert(t, known(t, r, "old").Leaving, qt.IsTrue)
}

// nobody is a listener without departures.
type nobody struct{}

func (nobody) IsDeparted(string, uint64) bool { return false }

func (nobody) OnDeparture(string, uint64, time.Time) {}

func (nobody) OnChange(*enroller.Leaf, time.Time) {}

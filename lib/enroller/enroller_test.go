package enroller_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/journaler"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var start = time.Unix(1000, 0)

func leaf(name string, born, sequence uint64, address string) *enroller.Leaf {
	return &enroller.Leaf{
		Name: name, Born: born, Sequence: sequence, Service: "desk", Address: netip.MustParseAddrPort(address),
		Center: "a", Slots: 2, ColdUntil: start,
	}
}

func known(t *testing.T, r *enroller.Roster, name string) *enroller.Leaf {
	t.Helper()
	l, ok := r.Find(name)
	qt.Assert(t, ok, qt.IsTrue)
	return l
}

// Guards against a late heartbeat that restores a leaving leaf or an older incarnation.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	r := enroller.New()
	qt.Assert(t, r.Put(leaf("x", 10, 1, "10.0.0.1:80"), start), qt.Equals, enroller.Changed)
	qt.Assert(t, r.Put(leaf("x", 10, 2, "10.0.0.1:80"), start), qt.Equals, enroller.Same)
	r.Leave("x", 10, start)
	qt.Assert(t, r.Put(leaf("x", 10, 3, "10.0.0.1:80"), start), qt.Equals, enroller.Stale)
	qt.Assert(t, known(t, r, "x").Leaving, qt.IsTrue)
	qt.Assert(t, r.Put(leaf("x", 20, 1, "10.0.0.1:80"), start), qt.Equals, enroller.Changed)
	qt.Assert(t, known(t, r, "x").Leaving, qt.IsFalse)
	qt.Assert(t, r.Put(leaf("x", 10, 9, "10.0.0.1:80"), start), qt.Equals, enroller.Stale)
	r.Leave("x", 10, start)
	qt.Assert(t, known(t, r, "x").Leaving, qt.IsFalse)
}

// Guards against requests for a departed leaf that are sent to an address now used by another leaf.
func TestAddressBelongsToTheNewestIncarnation(t *testing.T) {
	r := enroller.New()
	r.Put(leaf("old", 10, 5, "10.0.0.1:80"), start)
	next := leaf("new", 20, 1, "10.0.0.1:80")
	next.Service = "files"
	qt.Assert(t, r.Put(next, start), qt.Equals, enroller.Changed)
	qt.Assert(t, known(t, r, "old").Leaving, qt.IsTrue)
	qt.Assert(t, r.Put(leaf("old", 10, 6, "10.0.0.1:80"), start), qt.Equals, enroller.Stale)
	qt.Assert(t, r.Put(leaf("older", 5, 6, "10.0.0.1:80"), start), qt.Equals, enroller.Stale)
	qt.Assert(t, known(t, r, "new").Leaving, qt.IsFalse)
}

// Guards against a heartbeat from another sender that moves a leaf to another service or address.
func TestContradictionIsIgnored(t *testing.T) {
	r := enroller.New()
	r.Put(leaf("x", 10, 1, "10.0.0.1:80"), start)
	forged := leaf("x", 10, 99, "10.0.0.1:80")
	forged.Service = "other"
	qt.Assert(t, r.Put(forged, start), qt.Equals, enroller.Conflicting)
	qt.Assert(t, r.Put(leaf("x", 10, 99, "10.0.0.2:80"), start), qt.Equals, enroller.Conflicting)
	qt.Assert(t, known(t, r, "x").Service, qt.Equals, "desk")
	qt.Assert(t, r.Put(leaf("x", 10, 2, "10.0.0.1:80"), start), qt.Equals, enroller.Same)
}

// Guards against a stream that forwards every heartbeat, and against one that misses a change.
func TestFollowersGetChangesAndPeersAlsoRefreshes(t *testing.T) {
	r := enroller.New()
	r.Put(leaf("x", 10, 1, "10.0.0.1:80"), start)
	first := r.Since(0, false)
	qt.Assert(t, first.Complete, qt.IsTrue)
	qt.Assert(t, first.Leaves, qt.HasLen, 1)
	r.Put(leaf("x", 10, 2, "10.0.0.1:80"), start.Add(time.Second))
	qt.Assert(t, r.Since(first.Revision, true).Leaves, qt.HasLen, 0)
	r.Put(leaf("x", 10, 3, "10.0.0.1:80"), start.Add(enroller.RefreshInterval))
	qt.Assert(t, r.Since(first.Revision, false).Leaves, qt.HasLen, 0)
	qt.Assert(t, r.Since(first.Revision, true).Leaves, qt.HasLen, 1)
	select {
	case <-first.Changed:
		t.Fatal("a refresh notified the followers")
	default:
	}
	r.Leave("x", 10, start)
	<-first.Changed
	qt.Assert(t, r.Since(first.Revision, false).Leaves, qt.HasLen, 1)
}

// Guards against crashed leaves that remain in the roster, and against removing a leaf that still sends heartbeats.
func TestSilentLeavesAreDropped(t *testing.T) {
	r := enroller.New()
	r.Put(leaf("silent", 10, 1, "10.0.0.1:80"), start)
	r.Put(leaf("heard", 10, 1, "10.0.0.2:80"), start)
	r.Put(leaf("heard", 10, 2, "10.0.0.2:80"), start.Add(10*time.Second))
	dropped := r.Expire(start.Add(enroller.HeartbeatTimeout))
	qt.Assert(t, dropped, qt.HasLen, 1)
	qt.Assert(t, dropped[0].Name, qt.Equals, "silent")
	known(t, r, "heard")
	qt.Assert(t, r.Put(leaf("silent", 10, 2, "10.0.0.1:80"), start.Add(enroller.HeartbeatTimeout)), qt.Equals, enroller.Changed)
}

// All hosts are killed at the same time. Guards against a control host that after its restart has to wait for a
// heartbeat from each leaf, and against one that does not start because the file is damaged.
func TestRosterSurvivesARestart(t *testing.T) {
	folder, err := journaler.OpenFolder(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	r := enroller.New()
	r.Put(leaf("x", 10, 7, "10.0.0.1:80"), start)
	r.Put(leaf("y", 11, 1, "10.0.0.2:80"), start)
	r.Leave("y", 11, start)
	qt.Assert(t, r.Save(folder), qt.IsNil)

	other := enroller.New()
	count, err := other.Load(folder, start)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, count, qt.Equals, 2)
	qt.Assert(t, known(t, other, "x").Leaving, qt.IsFalse)
	qt.Assert(t, known(t, other, "y").Leaving, qt.IsTrue)
	qt.Assert(t, other.Put(leaf("x", 10, 8, "10.0.0.1:80"), start), qt.Equals, enroller.Same)

	file, err := folder.Create("roster")
	qt.Assert(t, err, qt.IsNil)
	_, err = file.Write([]byte("damaged"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, file.Close(), qt.IsNil)
	count, err = enroller.New().Load(folder, start)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, count, qt.Equals, 0)
}

// syncs records what is made durable in a folder.
type syncs struct {
	*journaler.Folder
	seen []string
}

func (s *syncs) Persist(name string) error {
	s.seen = append(s.seen, name)
	return s.Folder.Persist(name)
}

func (s *syncs) Sync() error {
	s.seen = append(s.seen, "folder")
	return s.Folder.Sync()
}

// A control host is killed before its last rename is durable. Guards against a roster that counts after the restart and is
// taken back by a loss of power.
func TestLoadedRosterIsDurable(t *testing.T) {
	folder, err := journaler.OpenFolder(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	r := enroller.New()
	r.Put(leaf("x", 10, 7, "10.0.0.1:80"), start)
	qt.Assert(t, r.Save(folder), qt.IsNil)
	s := &syncs{Folder: folder}
	_, err = enroller.New().Load(s, start)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.seen, qt.DeepEquals, []string{"roster", "folder"})
}

// Guards against a departure that is lost when all control hosts restart.
func TestDeparturesSurviveASnapshot(t *testing.T) {
	d := enroller.NewDepartures()
	d.Apply("x", 10, start)
	state := &statev1.State{}
	d.Save(state)
	other := enroller.NewDepartures()
	other.Load(state)
	qt.Assert(t, other.Departed("x", 10), qt.IsTrue)
	qt.Assert(t, other.Departed("x", 9), qt.IsTrue)
	qt.Assert(t, other.Departed("x", 11), qt.IsFalse)
	other.Apply("y", 1, start.Add(time.Hour))
	qt.Assert(t, other.Departed("x", 10), qt.IsFalse)
}

// noDepartures is a listener without departures that ignores all notifications.
type noDepartures struct{}

func (noDepartures) IsDeparted(string, uint64) bool        { return false }
func (noDepartures) OnDeparture(string, uint64, time.Time) {}
func (noDepartures) OnChange(*enroller.Leaf, time.Time)    {}

// Hundreds of leaves send heartbeats to several control hosts, which follow each other; two of the control hosts can
// reach each other only through a third. Guards against control hosts that forward every heartbeat although the others
// have received it too, and against a leaf that is removed where its heartbeats arrive through a third host.
func TestRefreshesOfOthersArePassedOnSeldom(t *testing.T) {
	near, middle, far := enroller.New(), enroller.New(), enroller.New()
	var toMiddle, toFar uint64
	sent, relayed := 0, 0
	pass := func(from, to *enroller.Roster, revision uint64, now time.Time) (uint64, int) {
		batch := from.Since(revision, true)
		var records []*peerv1.RosterLeaf
		for _, l := range batch.Leaves {
			records = append(records, enroller.Encode(l, now))
		}
		to.Receive(records, noDepartures{}, now)
		return batch.Revision, len(records)
	}
	for second := range uint64(120) {
		now := start.Add(time.Duration(second) * time.Second)
		near.Put(leaf("x", 10, second+1, "10.0.0.1:80"), now)
		var n int
		toMiddle, n = pass(near, middle, toMiddle, now)
		sent += n
		toFar, n = pass(middle, far, toFar, now)
		relayed += n
		for _, r := range []*enroller.Roster{near, middle, far} {
			qt.Assert(t, r.Expire(now), qt.HasLen, 0)
			known(t, r, "x")
		}
	}
	qt.Assert(t, sent >= 20 && sent <= 24, qt.IsTrue, qt.Commentf("%d", sent)) // One every 5 s.
	qt.Assert(t, relayed <= sent/2, qt.IsTrue, qt.Commentf("%d of %d", relayed, sent))
}

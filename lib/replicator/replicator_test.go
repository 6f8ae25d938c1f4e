package replicator_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/replicator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var soak = flag.Bool("soak", false, "run every randomised test with many seeds")

// seeds returns the number of seeds of a randomised test.
func seeds(few, many int) int {
	if *soak {
		return many
	}
	return few
}

// Guards against lost, changed or doubled records, two leaders in a term, stale reads and a group that does not
// recover, under loss, duplication, reordering, one-way cuts, long isolation, stopped processes, crashes at a sync,
// lost disks, compaction and changes of members.
func TestRandomFaults(t *testing.T) {
	for seed := range seeds(30, 1000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, uint64(seed), 3+2*(seed%2))
			s.run(time.Second)
			for range 40 {
				s.fault()
				for range 1 + s.random.IntN(6) {
					s.propose()
					s.run(time.Duration(s.random.Int64N(int64(60 * time.Millisecond))))
				}
			}
			s.settle()
		})
	}
}

// fault changes one thing for the worse or the better.
func (s *sim) fault() {
	n := s.nodes[s.names[s.random.IntN(len(s.names))]]
	other := s.names[s.random.IntN(len(s.names))]
	switch s.random.IntN(12) {
	case 0:
		n.core = nil
	case 1, 2:
		if n.core == nil {
			s.start(n)
		}
	case 3:
		s.cut[[2]string{n.name, other}] = true
	case 4:
		for _, x := range s.names {
			s.cut[[2]string{n.name, x}], s.cut[[2]string{x, n.name}] = true, true
		}
	case 5, 6:
		s.cut = map[[2]string]bool{}
	case 7:
		n.resumeAt = s.now.Add(time.Duration(s.random.Int64N(int64(2 * time.Second))))
	case 8:
		s.loss, s.crash = s.random.Float64()/3, s.random.Float64()/200
	case 9:
		s.heal()
	case 10:
		s.rebuild(n)
	case 11:
		s.reshape(n)
	}
}

// rebuild gives a host a blank disk, as long as no other member of the committed set lacks its disk or vote: Raft
// can lose no more than a minority of the disks at a time.
func (s *sim) rebuild(n *node) {
	if s.whole() {
		n.core = nil
		s.wipe(n)
		s.start(n)
	}
}

func (s *sim) reshape(n *node) {
	for _, name := range s.names {
		if x := s.nodes[name]; x.core != nil && x.applied > 0 {
			s.compact(x)
		}
	}
	leader := s.leader()
	if leader == nil || !s.whole() {
		return
	}
	switch {
	case s.nodes["f"] == nil:
		s.addNode("f")
		_ = leader.core.Add(s.now, "f", "f", "")
	case len(s.members.GetReplicas()) > 3:
		_ = leader.core.Remove(s.now, n.name)
	default:
		_ = leader.core.Add(s.now, n.name, n.name, "")
	}
	s.drain(leader)
}

// removing makes a group remove hosts that are absent, down to a number of voters.
func removing(least int) func(*sim) {
	return func(s *sim) { s.absence, s.least = 5*election, least }
}

// Guards against what TestRandomFaults guards against when absent hosts are removed and seek the group when they are
// back.
func TestRandomFaultsWithRemovals(t *testing.T) {
	for seed := range seeds(30, 1000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, uint64(seed), 3+seed%3, removing(3))
			s.run(time.Second)
			for range 40 {
				s.fault()
				for range 1 + s.random.IntN(6) {
					s.propose()
					s.run(time.Duration(s.random.Int64N(int64(200 * time.Millisecond))))
					s.seek()
				}
			}
			s.settle()
		})
	}
}

// Guards against hosts that are gone for good and count as voters for ever: after three replacements one by one, the
// group must still bear the loss of a host.
func TestHostsGoneForGoodAreReplaced(t *testing.T) {
	s := newSim(t, 1, 4, removing(3))
	s.run(time.Second)
	for i, gone := range []string{"a", "b", "c"} {
		s.nodes[gone].core = nil
		s.addNode(string(rune('k' + i)))
		for range 100 {
			s.run(10 * heartbeat)
			s.seek()
		}
		qt.Assert(t, s.whole(), qt.IsTrue)
		qt.Assert(t, s.members.GetReplicas(), qt.HasLen, 4)
	}
	s.nodes["d"].core = nil
	s.run(20 * election)
	before := s.ackedTop
	s.propose()
	s.run(time.Second)
	qt.Assert(t, s.ackedTop > before, qt.IsTrue)
}

// Guards against a group that shrinks so far that the loss of the disks that it has to bear takes an acknowledged
// record with it.
func TestAbsentHostsAreKeptBelowTheLeastNumber(t *testing.T) {
	s := newSim(t, 1, 5, removing(5))
	s.run(time.Second)
	s.nodes["a"].core, s.nodes["b"].core = nil, nil
	s.run(50 * election)
	qt.Assert(t, s.members.GetReplicas(), qt.HasLen, 5)
}

// Load: every host is killed at one moment or loses power. Guards against a group that waits for a whole election
// time, although no leader can exist, and against a host that shows nothing of what it knows to be committed until
// there is a leader.
func TestGroupThatLostAllHostsIsBackSoon(t *testing.T) {
	soon, count := 0, seeds(20, 1000)
	for seed := range count {
		s := newSim(t, uint64(seed), 4)
		s.run(time.Second)
		for range 20 {
			s.propose()
			s.run(5 * time.Millisecond)
		}
		for _, name := range s.names {
			s.nodes[name].core = nil
		}
		s.network = nil
		for _, name := range s.names {
			s.start(s.nodes[name])
			s.drain(s.nodes[name])
			qt.Assert(t, len(s.nodes[name].state) >= 10, qt.IsTrue, qt.Commentf("%s knows %v", name, s.nodes[name].state))
		}
		s.run(election)
		if s.leader() != nil {
			soon++
		}
		s.run(2 * election)
		qt.Assert(t, s.leader(), qt.IsNotNil, qt.Commentf("seed %d", seed))
	}
	// Candidates that begin at the same moment split the votes now and then.
	qt.Assert(t, soon*10 >= count*9, qt.IsTrue, qt.Commentf("%d of %d", soon, count))
}

// Guards against data loss when a second host loses its disk right after the repair of the first, and against
// a vote of the first before it was promoted.
func TestSecondDiskLostAfterRepair(t *testing.T) {
	for seed := range seeds(10, 1000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, uint64(seed), 3)
			s.run(time.Second)
			for round := range 6 {
				for range 10 {
					s.propose()
					s.run(5 * time.Millisecond)
				}
				s.rebuild(s.nodes[s.names[(seed+round)%3]])
				for i := 0; i < 3000 && !s.whole(); i++ {
					s.run(step)
				}
				qt.Assert(t, s.whole(), qt.IsTrue)
			}
			s.settle()
		})
	}
}

// Guards against a vote or an acknowledgement in the name of a lost disk.
func TestBlankHostRefusesItsOldIdentity(t *testing.T) {
	now := time.Unix(1, 0)
	c := replicator.Config{Host: "b", Election: election, Heartbeat: heartbeat}
	r := replicator.New(c, replicator.Durable{State: &statev1.HardState{Incarnation: 9}}, now)
	for _, kind := range []replicator.Kind{replicator.VoteRequest, replicator.AppendRequest, replicator.InstallRequest} {
		r.Step(now, replicator.Message{Kind: kind, From: "a", To: "b", Incarnation: 1, Target: 5, Term: 3, Done: true})
		ready, _ := r.Ready()
		qt.Assert(t, ready.Messages, qt.HasLen, 1)
		qt.Assert(t, ready.Messages[0].Granted || ready.Messages[0].Done, qt.IsFalse)
		qt.Assert(t, ready.Messages[0].Incarnation, qt.Equals, uint64(9))
		qt.Assert(t, ready.State, qt.IsNil)
	}
	// Another host at the address of "b" must not become a member in its name.
	r.Step(now, replicator.Message{Kind: replicator.VoteRequest, From: "a", To: "c", Incarnation: 1, Target: 9, Term: 3})
	_, some := r.Ready()
	qt.Assert(t, some, qt.IsFalse)
	// A disk lost after the clock went back: the identity must still grow.
	r.Step(now, replicator.Message{Kind: replicator.AppendRequest, From: "a", To: "b", Incarnation: 1, Target: 20, Term: 3})
	ready, _ := r.Ready()
	qt.Assert(t, ready.State.GetIncarnation(), qt.Equals, uint64(21))
}

// Guards against a host that deposes the leader when it returns from a long isolation.
func TestReturnAfterIsolationKeepsTheLeader(t *testing.T) {
	s := newSim(t, 1, 3)
	s.run(time.Second)
	leader := s.leader()
	term := leader.core.Status().Term
	for _, name := range s.names {
		if name != leader.name {
			for _, x := range s.names {
				s.cut[[2]string{name, x}], s.cut[[2]string{x, name}] = true, true
			}
			break
		}
	}
	for range 100 {
		s.propose()
		s.run(100 * time.Millisecond)
		s.compact(leader)
	}
	s.settle()
	qt.Assert(t, s.leader().name, qt.Equals, leader.name)
	qt.Assert(t, s.leader().core.Status().Term, qt.Equals, term)
}

// Guards against a leader that goes on without a majority.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s := newSim(t, 2, 3)
	s.run(time.Second)
	leader := s.leader()
	for _, x := range s.names {
		s.cut[[2]string{x, leader.name}] = true
	}
	s.run(2 * election)
	qt.Assert(t, leader.core.Status().Role, qt.Not(qt.Equals), replicator.Leader)
	s.settle()
}

// Guards against an election wait on a graceful stop.
func TestHandOver(t *testing.T) {
	s := newSim(t, 3, 3)
	s.run(time.Second)
	old := s.leader()
	s.propose()
	old.core.HandOver(s.now)
	s.drain(old)
	s.run(election / 2)
	qt.Assert(t, s.leader(), qt.Not(qt.IsNil))
	qt.Assert(t, s.leader().name, qt.Not(qt.Equals), old.name)
	s.settle()
}

// Guards against command times that go back when a leader with a slower clock takes over.
func TestTimeNeverGoesBack(t *testing.T) {
	now := time.Unix(100, 0)
	r := replicator.New(replicator.Config{Host: "a", Election: election, Heartbeat: heartbeat}, replicator.Durable{State: &statev1.HardState{Incarnation: 1}}, now)
	r.Found(now, &statev1.Members{Replicas: []*statev1.Replica{{Host: "a", Incarnation: 1}}})
	r.Tick(now)
	_, _, err := r.Propose(now.Add(-time.Hour), &statev1.Command{})
	qt.Assert(t, err, qt.IsNil)
	ready, _ := r.Ready()
	for _, record := range ready.Records {
		qt.Assert(t, record.GetCommand().GetTime().AsTime().Before(now.UTC()), qt.IsFalse)
	}
}

// Guards against invariants that are stated but not checked.
func TestInvariantPanics(t *testing.T) {
	s := newSim(t, 4, 3)
	s.run(time.Second)
	follower := s.nodes[s.names[0]]
	if follower == s.leader() {
		follower = s.nodes[s.names[1]]
	}
	st := follower.core.Status()
	m := replicator.Message{
		Kind: replicator.AppendRequest, From: "impostor", To: follower.name, Target: st.Incarnation, Term: st.Term,
	}
	qt.Assert(t, func() { follower.core.Step(s.now, m) }, qt.PanicMatches, ".* both lead")
	m.From, m.Term = s.leader().name, st.Term+1
	m.Records = []*statev1.Record{{Index: 1, Term: 99}}
	qt.Assert(t, func() { follower.core.Step(s.now, m) }, qt.PanicMatches, ".*committed record 1 .*")
}

// Guards against the loss of acknowledged records behind a snapshot that arrives late.
func TestLateSnapshotKeepsAcknowledgedRecords(t *testing.T) {
	now := time.Unix(1, 0)
	r := replicator.New(replicator.Config{Host: "b", Election: election, Heartbeat: heartbeat}, replicator.Durable{State: &statev1.HardState{Incarnation: 1, Term: 3}}, now)
	m := replicator.Message{Kind: replicator.AppendRequest, From: "a", To: "b", Target: 1, Term: 3}
	for index := range uint64(5) {
		m.Records = append(m.Records, &statev1.Record{Index: index + 1, Term: 3})
	}
	r.Step(now, m)
	data, err := proto.Marshal(&statev1.Snapshot{Index: 2, Term: 3})
	qt.Assert(t, err, qt.IsNil)
	r.Step(now, replicator.Message{Kind: replicator.InstallRequest, From: "a", To: "b", Target: 1, Term: 3, Previous: 2, Tail: 3, Data: data, Done: true})
	qt.Assert(t, r.Status().Last, qt.Equals, uint64(5))
	qt.Assert(t, r.Status().Commit, qt.Equals, uint64(2))
}

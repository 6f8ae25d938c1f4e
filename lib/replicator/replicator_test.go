package replicator_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/replicator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var soak = flag.Bool("soak", false, "run every randomised test with many seeds")

// seeds returns the number of seeds for a randomised test.
func seeds(few, many int) int {
	if *soak {
		return many
	}
	return few
}

// Guards against lost, changed or duplicated records, two leaders in one term, stale reads and a group that does not
// recover. The faults are message loss, duplication, reordering, one-way partitions, long isolation, paused processes,
// crashes at a sync, lost disks, compaction and membership changes.
func TestRandomFaults(t *testing.T) {
	for seed := range seeds(30, 1000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, uint64(seed), 3+2*(seed%2))
			s.run(time.Second)
			for range 40 {
				s.injectFault()
				for range 1 + s.random.IntN(6) {
					s.propose()
					s.run(time.Duration(s.random.Int64N(int64(60 * time.Millisecond))))
				}
			}
			s.checkRecovery()
		})
	}
}

// injectFault injects or repairs a random fault.
func (s *sim) injectFault() {
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
		s.partitioned[[2]string{n.name, other}] = true
	case 4:
		for _, x := range s.names {
			s.partitioned[[2]string{n.name, x}], s.partitioned[[2]string{x, n.name}] = true, true
		}
	case 5, 6:
		s.partitioned = map[[2]string]bool{}
	case 7:
		n.resumeAt = s.now.Add(time.Duration(s.random.Int64N(int64(2 * time.Second))))
	case 8:
		s.loss, s.crash = s.random.Float64()/3, s.random.Float64()/200
	case 9:
		s.heal()
	case 10:
		s.replaceDisk(n)
	case 11:
		s.changeMembers(n)
	}
}

// replaceDisk replaces the disk of a host by a blank one, unless another member of the committed set lacks its disk or
// vote: Raft can lose no more than a minority of the disks at a time.
func (s *sim) replaceDisk(n *node) {
	if s.healthy() {
		n.core = nil
		s.wipe(n)
		s.start(n)
	}
}

func (s *sim) changeMembers(n *node) {
	for _, name := range s.names {
		if x := s.nodes[name]; x.core != nil && x.applied > 0 {
			s.compact(x)
		}
	}
	leader := s.leader()
	if leader == nil || !s.healthy() {
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

// withRemoval makes a group remove unreachable hosts, down to a number of voters.
func withRemoval(minVoters int) func(*sim) {
	return func(s *sim) { s.removeAfter, s.minVoters = 5*election, minVoters }
}

// Guards against the failures of TestRandomFaults in a group that removes unreachable hosts, which ask to be added
// again when they return.
func TestRandomFaultsWithRemovals(t *testing.T) {
	for seed := range seeds(30, 1000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, uint64(seed), 3+seed%3, withRemoval(3))
			s.run(time.Second)
			for range 40 {
				s.injectFault()
				for range 1 + s.random.IntN(6) {
					s.propose()
					s.run(time.Duration(s.random.Int64N(int64(200 * time.Millisecond))))
					s.requestMembership()
				}
			}
			s.checkRecovery()
		})
	}
}

// Guards against permanently lost hosts that remain voters. After three hosts have been replaced one by one, the
// group must still tolerate the loss of a host.
func TestHostsGoneForGoodAreReplaced(t *testing.T) {
	s := newSim(t, 1, 4, withRemoval(3))
	s.run(time.Second)
	for i, lost := range []string{"a", "b", "c"} {
		s.nodes[lost].core = nil
		s.addNode(string(rune('k' + i)))
		for range 100 {
			s.run(10 * heartbeat)
			s.requestMembership()
		}
		qt.Assert(t, s.healthy(), qt.IsTrue)
		qt.Assert(t, s.members.GetReplicas(), qt.HasLen, 4)
	}
	s.nodes["d"].core = nil
	s.run(20 * election)
	before := s.ackedTop
	s.propose()
	s.run(time.Second)
	qt.Assert(t, s.ackedTop > before, qt.IsTrue)
}

// Guards against a group that shrinks so far that it loses acknowledged records when it loses the number of disks that
// it has to tolerate.
func TestAbsentHostsAreKeptBelowTheLeastNumber(t *testing.T) {
	s := newSim(t, 1, 5, withRemoval(5))
	s.run(time.Second)
	s.nodes["a"].core, s.nodes["b"].core = nil, nil
	s.run(50 * election)
	qt.Assert(t, s.members.GetReplicas(), qt.HasLen, 5)
}

// All hosts are killed or lose power at the same time. Guards against a group that waits for a full election timeout
// although no leader can exist, and against a host that does not apply the records known to be committed until there
// is a leader.
func TestGroupThatLostAllHostsIsBackSoon(t *testing.T) {
	recovered, count := 0, seeds(20, 1000)
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
			qt.Assert(t, len(s.nodes[name].state) >= 10, qt.IsTrue, qt.Commentf("%s has applied %v", name, s.nodes[name].state))
		}
		s.run(election)
		if s.leader() != nil {
			recovered++
		}
		s.run(2 * election)
		qt.Assert(t, s.leader(), qt.IsNotNil, qt.Commentf("seed %d", seed))
	}
	// Candidates that start at the same time occasionally split the vote.
	qt.Assert(t, recovered*10 >= count*9, qt.IsTrue, qt.Commentf("%d of %d", recovered, count))
}

// Guards against data loss when a second host loses its disk right after the first has been repaired, and against a
// vote by the first host before it is promoted.
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
				s.replaceDisk(s.nodes[s.names[(seed+round)%3]])
				for i := 0; i < 3000 && !s.healthy(); i++ {
					s.run(step)
				}
				qt.Assert(t, s.healthy(), qt.IsTrue)
			}
			s.checkRecovery()
		})
	}
}

// Guards against a host that votes or acknowledges under the identity of its lost disk.
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
	// A message for another host that arrives here must be ignored, or "b" could act as a member in that host's name.
	r.Step(now, replicator.Message{Kind: replicator.VoteRequest, From: "a", To: "c", Incarnation: 1, Target: 9, Term: 3})
	_, pending := r.Ready()
	qt.Assert(t, pending, qt.IsFalse)
	// The disk was lost and the clock set back: the incarnation must still increase.
	r.Step(now, replicator.Message{Kind: replicator.AppendRequest, From: "a", To: "b", Incarnation: 1, Target: 20, Term: 3})
	ready, _ := r.Ready()
	qt.Assert(t, ready.State.GetIncarnation(), qt.Equals, uint64(21))
}

// Guards against a host that deposes the leader when it returns after long isolation.
func TestReturnAfterIsolationKeepsTheLeader(t *testing.T) {
	s := newSim(t, 1, 3)
	s.run(time.Second)
	leader := s.leader()
	term := leader.core.Status().Term
	for _, name := range s.names {
		if name != leader.name {
			for _, x := range s.names {
				s.partitioned[[2]string{name, x}], s.partitioned[[2]string{x, name}] = true, true
			}
			break
		}
	}
	for range 100 {
		s.propose()
		s.run(100 * time.Millisecond)
		s.compact(leader)
	}
	s.checkRecovery()
	qt.Assert(t, s.leader().name, qt.Equals, leader.name)
	qt.Assert(t, s.leader().core.Status().Term, qt.Equals, term)
}

// Guards against a leader that remains leader without a majority.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s := newSim(t, 2, 3)
	s.run(time.Second)
	leader := s.leader()
	for _, x := range s.names {
		s.partitioned[[2]string{x, leader.name}] = true
	}
	s.run(2 * election)
	qt.Assert(t, leader.core.Status().Role, qt.Not(qt.Equals), replicator.Leader)
	s.checkRecovery()
}

// A host with a slow disk is the last to acknowledge a record, and the leader may be busy when it does. Guards against a host
// that applies the record only at the next heartbeat, and against announcements that answer one another without end.
func TestLastMemberLearnsOfACommitAtOnce(t *testing.T) {
	s := newSim(t, 1, 3)
	s.run(time.Second)
	s.network = nil
	leader := s.leader()
	slow := s.nodes[s.names[0]]
	if slow == leader {
		slow = s.nodes[s.names[1]]
	}
	for round := range 10 {
		s.propose()
		held := s.deliver(slow.name)
		qt.Assert(t, leader.applied, qt.Equals, uint64(len(s.committed)))
		qt.Assert(t, slow.applied < leader.applied, qt.IsTrue)
		overtaken := round%2 == 1 // The records arrive after the announcement.
		if overtaken {
			slices.Reverse(held)
		}
		s.network = held
		toLeader := s.deliver(leader.name)
		qt.Assert(t, slow.applied == leader.applied, qt.Equals, !overtaken)
		s.network = toLeader
		s.deliver("")
		qt.Assert(t, slow.applied, qt.Equals, leader.applied)
	}
}

// Guards against a graceful stop after which the group waits for an election timeout.
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
	s.checkRecovery()
}

// Guards against command times that decrease when a leader whose clock is behind is elected.
func TestTimeNeverGoesBack(t *testing.T) {
	now := time.Unix(100, 0)
	r := replicator.New(replicator.Config{Host: "a", Election: election, Heartbeat: heartbeat}, replicator.Durable{State: &statev1.HardState{Incarnation: 1}}, now)
	r.Bootstrap(now, &statev1.Members{Replicas: []*statev1.Replica{{Host: "a", Incarnation: 1}}})
	r.Tick(now)
	_, _, err := r.Propose(now.Add(-time.Hour), &statev1.Command{})
	qt.Assert(t, err, qt.IsNil)
	ready, _ := r.Ready()
	for _, record := range ready.Records {
		qt.Assert(t, record.GetCommand().GetTime().AsTime().Before(now.UTC()), qt.IsFalse)
	}
}

// Guards against protocol violations that are not detected.
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

// Guards against the loss of acknowledged records after the end of a snapshot that arrives late.
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
	r.Step(now, replicator.Message{Kind: replicator.InstallRequest, From: "a", To: "b", Target: 1, Term: 3, Previous: 2, PreviousTerm: 3, Data: data, Done: true})
	qt.Assert(t, r.Status().Last, qt.Equals, uint64(5))
	qt.Assert(t, r.Status().Commit, qt.Equals, uint64(2))
}

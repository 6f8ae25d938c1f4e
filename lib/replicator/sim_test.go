package replicator_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/replicator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	election  = 100 * time.Millisecond
	heartbeat = 20 * time.Millisecond
	step      = time.Millisecond
)

// node is a simulated host: a replica, its disk and its state machine.
type node struct {
	name     string
	core     *replicator.Replicator // nil while the host is down
	disk     replicator.Durable     // synced state
	applied  uint64
	state    []string // IDs of the applied commands
	resumeAt time.Time
	acks     map[uint64]string // pending proposals by index
	terms    map[uint64]uint64
}

type envelope struct {
	at time.Time
	m  replicator.Message
}

// sim connects nodes by a network that loses, duplicates, delays and reorders messages, and checks Raft's guarantees.
type sim struct {
	t            *testing.T
	random       *rand.Rand
	now          time.Time
	nodes        map[string]*node
	names        []string
	network      []envelope
	partitioned  map[[2]string]bool // blocked directions, as sender and receiver
	loss         float64            // probability that a message is lost; half of it that one is duplicated
	crash        float64            // probability of a crash at a sync
	incarnations uint64
	// removeAfter and minVoters are the replicator's settings. With removeAfter set, running hosts that are not members ask to be
	// added.
	removeAfter time.Duration
	minVoters   int

	leaders   map[uint64]string
	elected   map[uint64]time.Time // by term
	committed []*statev1.Record
	members   *statev1.Members // newest committed
	acked     map[string]uint64
	ackedTop  uint64
	reads     map[uint64]uint64 // minimum index by read ID
	counter   int
}

func newSim(t *testing.T, seed uint64, count int, options ...func(*sim)) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), nodes: map[string]*node{}, partitioned: map[[2]string]bool{},
		leaders: map[uint64]string{}, elected: map[uint64]time.Time{}, acked: map[string]uint64{}, reads: map[uint64]uint64{},
	}
	for _, o := range options {
		o(s)
	}
	first := &statev1.Members{}
	for i := range count {
		n := s.addNode(string(rune('a' + i)))
		first.Replicas = append(first.Replicas, &statev1.Replica{Host: n.name, Address: n.name, Incarnation: n.disk.State.GetIncarnation()})
	}
	s.nodes["a"].core.Bootstrap(s.now, first)
	s.drain(s.nodes["a"])
	return s
}

func (s *sim) addNode(name string) *node {
	n := &node{name: name}
	s.nodes[name] = n
	s.names = append(s.names, name)
	s.wipe(n)
	s.start(n)
	return n
}

// wipe replaces the disk of a stopped host by a blank one.
func (s *sim) wipe(n *node) {
	s.incarnations++
	n.disk = replicator.Durable{State: &statev1.HardState{Incarnation: s.incarnations}}
}

func (s *sim) start(n *node) {
	n.core = replicator.New(replicator.Config{
		Host: n.name, Election: election, Heartbeat: heartbeat, RetainedRecords: 4, Chunk: 40, Seed: s.random.Uint64(),
		RemoveAfter: s.removeAfter, MinVoters: s.minVoters,
	}, n.disk, s.now)
	n.acks, n.terms = map[uint64]string{}, map[uint64]uint64{}
	n.restore(s, n.disk.Snapshot)
}

func (n *node) restore(s *sim, snapshot *statev1.Snapshot) {
	n.applied, n.state = snapshot.GetIndex(), nil
	if snapshot != nil {
		s.must(json.Unmarshal(snapshot.GetState(), &n.state))
	}
}

func (s *sim) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// drain does the pending work of a replica, with random crashes before and after the sync.
func (s *sim) drain(n *node) {
	for n.core != nil {
		ready, pending := n.core.Ready()
		if !pending {
			break
		}
		s.send(ready.Unsynced)
		if s.random.Float64() < s.crash {
			n.core = nil
			return
		}
		n.persist(ready)
		if s.random.Float64() < s.crash {
			n.core = nil
			return
		}
		n.core.Persisted(s.now)
		s.send(ready.Messages)
		if ready.Snapshot != nil {
			n.restore(s, ready.Snapshot)
		}
		for _, r := range ready.Committed {
			s.apply(n, r)
		}
		for _, r := range ready.Reads {
			if r.Index < s.reads[r.ID] {
				s.t.Fatalf("read at %d misses the command acknowledged at %d", r.Index, s.reads[r.ID])
			}
		}
	}
	s.checkLeaders(n)
}

func (n *node) persist(ready replicator.Ready) {
	if ready.State != nil {
		n.disk.State = ready.State
	}
	if ready.Snapshot != nil {
		n.disk.Snapshot, n.disk.Records = ready.Snapshot, nil
	}
	for _, r := range ready.Records {
		n.disk.Records = slices.DeleteFunc(n.disk.Records, func(x *statev1.Record) bool { return x.GetIndex() >= r.GetIndex() })
		n.disk.Records = append(n.disk.Records, r)
	}
	if len(ready.Records) > 0 {
		n.disk.Commit = ready.Commit
	}
}

// requestMembership makes the running hosts that are not members ask the leader to add them.
func (s *sim) requestMembership() {
	leader := s.leader()
	if s.removeAfter == 0 || leader == nil {
		return
	}
	for _, name := range s.names {
		member := slices.ContainsFunc(s.members.GetReplicas(), func(m *statev1.Replica) bool { return m.GetHost() == name })
		if !member && s.nodes[name].core != nil && !s.partitioned[[2]string{name, leader.name}] {
			_ = leader.core.Add(s.now, name, name, "")
			s.drain(leader)
		}
	}
}

// apply checks that every host applies the same record at each index, each index once and in order.
func (s *sim) apply(n *node, r *statev1.Record) {
	if r.GetIndex() != n.applied+1 {
		s.t.Fatalf("%s applies %d after %d", n.name, r.GetIndex(), n.applied)
	}
	n.applied++
	if int(r.GetIndex()) > len(s.committed) {
		s.committed = append(s.committed, proto.Clone(r).(*statev1.Record))
		if m := r.GetCommand().GetMembers(); m != nil {
			s.members = m
		}
	}
	if committed := s.committed[r.GetIndex()-1]; !proto.Equal(committed, r) {
		s.t.Fatalf("%s applies %v at %d, another host applied %v", n.name, r, r.GetIndex(), committed)
	}
	if p := r.GetCommand().GetPatch(); p != nil {
		n.state = append(n.state, p.GetId())
	}
	if id, ok := n.acks[r.GetIndex()]; ok && n.terms[r.GetIndex()] == r.GetTerm() {
		s.acked[id] = r.GetIndex()
		s.ackedTop = max(s.ackedTop, r.GetIndex())
	}
}

// checkLeaders checks that a term has only one leader.
func (s *sim) checkLeaders(n *node) {
	if n.core == nil {
		return
	}
	st := n.core.Status()
	if st.Role != replicator.Leader {
		n.acks, n.terms = map[uint64]string{}, map[uint64]uint64{}
		return
	}
	who := fmt.Sprint(n.name, st.Incarnation)
	if other, ok := s.leaders[st.Term]; ok && other != who {
		s.t.Fatalf("term %d has leaders %s and %s", st.Term, other, who)
	}
	if _, ok := s.leaders[st.Term]; !ok {
		s.elected[st.Term] = s.now
	}
	s.leaders[st.Term] = who
	for term, at := range s.elected {
		if term > st.Term && st.LastMajority.After(at) {
			s.t.Fatalf("%s claims a majority of term %d at %s, but term %d began at %s", n.name, st.Term, st.LastMajority, term, at)
		}
	}
}

func (s *sim) send(messages []replicator.Message) {
	for _, m := range messages {
		if s.partitioned[[2]string{m.From, m.To}] || s.random.Float64() < s.loss {
			continue
		}
		copies := 1
		if s.random.Float64() < s.loss/2 {
			copies = 2
		}
		for range copies {
			delay := time.Duration(s.random.Int64N(int64(3 * time.Millisecond)))
			if s.random.Float64() < s.loss {
				delay *= 100 // overtaken by many later messages
			}
			s.network = append(s.network, envelope{at: s.now.Add(delay), m: m})
		}
	}
}

// run advances the time in steps. In each step, due messages are delivered and hosts tick.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		var later []envelope
		due := s.network
		s.network = nil
		for _, e := range due {
			n := s.nodes[e.m.To]
			switch {
			case e.at.After(s.now) || n != nil && n.resumeAt.After(s.now):
				later = append(later, e)
			case n != nil && n.core != nil:
				n.core.Step(s.now, e.m)
				if s.random.IntN(2) == 0 { // Otherwise one sync serves several messages, as in the runtime.
					s.drain(n)
				}
			}
		}
		s.network = append(s.network, later...)
		for _, name := range s.names {
			if n := s.nodes[name]; n.core != nil && !n.resumeAt.After(s.now) {
				n.core.Tick(s.now)
				s.drain(n)
			}
		}
	}
}

// deliver delivers messages until none is left, while the time stands still. It returns those to one host undelivered.
func (s *sim) deliver(except string) []envelope {
	const maxMessages = 100
	var held []envelope
	for delivered := 0; len(s.network) > 0; delivered++ {
		if delivered == maxMessages {
			s.t.Fatalf("messages do not end: %+v", s.network)
		}
		e := s.network[0]
		s.network = s.network[1:]
		if e.m.To == except {
			held = append(held, e)
			continue
		}
		s.nodes[e.m.To].core.Step(s.now, e.m)
		s.drain(s.nodes[e.m.To])
	}
	return held
}

func (s *sim) leader() *node {
	var out *node
	for _, name := range s.names {
		n := s.nodes[name]
		if n.core == nil || n.core.Status().Role != replicator.Leader {
			continue
		}
		if out == nil || n.core.Status().Term > out.core.Status().Term {
			out = n
		}
	}
	return out
}

// propose sends a command to every host; only those that consider themselves the leader accept it.
func (s *sim) propose() {
	for _, name := range s.names {
		n := s.nodes[name]
		if n.core == nil || n.resumeAt.After(s.now) {
			continue
		}
		s.counter++
		id := fmt.Sprint(s.counter)
		index, term, err := n.core.Propose(s.now, &statev1.Command{Kind: &statev1.Command_Patch{Patch: &statev1.Patch{Id: id}}})
		if err == nil {
			n.acks[index], n.terms[index] = id, term
		}
		s.reads[uint64(s.counter)] = s.ackedTop
		_ = n.core.Read(s.now, uint64(s.counter))
		s.drain(n)
	}
}

func (s *sim) compact(n *node) {
	state, err := json.Marshal(n.state)
	s.must(err)
	if snapshot := n.core.Compact(n.applied, state); snapshot != nil {
		n.disk.Snapshot = snapshot
		n.disk.Records = slices.DeleteFunc(n.disk.Records, func(x *statev1.Record) bool { return x.GetIndex() <= snapshot.GetIndex() })
	}
}

// healthy reports whether the committed set has at least three members and each has a vote and an intact disk.
func (s *sim) healthy() bool {
	for _, m := range s.members.GetReplicas() {
		if m.GetLearner() || s.nodes[m.GetHost()].disk.State.GetIncarnation() != m.GetIncarnation() {
			return false
		}
	}
	return len(s.members.GetReplicas()) >= 3
}

func (s *sim) heal() {
	s.partitioned, s.loss, s.crash = map[[2]string]bool{}, 0, 0
	for _, name := range s.names {
		n := s.nodes[name]
		n.resumeAt = s.now
		if n.core == nil {
			s.start(n)
		}
	}
}

// checkRecovery repairs all faults and checks that the group recovers and has lost no acknowledged command.
func (s *sim) checkRecovery() {
	s.t.Helper()
	s.heal()
	for range 200 {
		s.run(10 * heartbeat)
		s.requestMembership()
		if s.leader() != nil && s.healthy() {
			break
		}
	}
	before := s.counter
	s.propose()
	s.run(2 * time.Second)
	leader := s.leader()
	if leader == nil || !s.healthy() {
		s.t.Fatalf("the group did not recover: leader %v, members %v", leader, s.members)
	}
	if s.counter == before || s.ackedTop == 0 {
		s.t.Fatal("nothing was committed after the group healed")
	}
	for _, m := range s.members.GetReplicas() {
		if n := s.nodes[m.GetHost()]; n.applied != leader.applied || !slices.Equal(n.state, leader.state) {
			s.t.Fatalf("%s has applied %d, the leader %d", n.name, n.applied, leader.applied)
		}
	}
	for id, index := range s.acked {
		if !slices.Contains(leader.state, id) {
			s.t.Fatalf("command %s, acknowledged at index %d, is lost", id, index)
		}
	}
}

package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// reception is a snapshot that arrives in chunks.
type reception struct {
	from        string
	term, index uint64
	data        []byte
}

// chunk sends the next part of the snapshot to a member whose next record is no longer in the log.
func (r *Replicator) chunk(now time.Time, host string, p *progress) {
	if p.sending == nil {
		data, err := proto.Marshal(r.snapshot)
		if !r.invariant(err == nil, "encode the snapshot: %v", err) {
			return
		}
		p.sending, p.snapshot, p.offset = data, r.snapshot, 0
	}
	end := min(p.offset+uint64(r.config.Chunk), uint64(len(p.sending))) //nolint:gosec // The size is positive.
	p.waiting, p.sentAt, p.pending = true, now, p.snapshot.GetIndex()
	r.early = append(r.early, Message{
		Kind: InstallRequest, From: r.config.Host, To: host, Incarnation: r.state.GetIncarnation(), Target: p.incarnation,
		Term: r.state.GetTerm(), Previous: p.snapshot.GetIndex(), Tail: p.snapshot.GetTerm(),
		Offset: p.offset, Data: p.sending[p.offset:end], Done: end == uint64(len(p.sending)),
	})
}

// receive takes one chunk of the leader's snapshot.
func (r *Replicator) receive(now time.Time, m Message) {
	if !r.invariant(r.role != Leader && (r.leader == "" || r.leader == m.From), "%s and %s both lead", r.leader, m.From) {
		return
	}
	r.follow(now, m.Term, m.From)
	out := r.reply(m)
	if m.Previous <= r.commit {
		out.Done = true
		r.send(out)
		return
	}
	in := r.install
	if in == nil || in.from != m.From || in.term != m.Term || in.index != m.Previous {
		in = &reception{from: m.From, term: m.Term, index: m.Previous}
		r.install = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
		out.Done = m.Done
	}
	if out.Done {
		r.install = nil
		s := &statev1.Snapshot{}
		if err := proto.Unmarshal(in.data, s); !r.invariant(err == nil, "decode the snapshot: %v", err) {
			return
		}
		r.load(s)
	}
	out.Offset = uint64(len(in.data))
	r.send(out)
}

// load puts a received snapshot in force.
func (r *Replicator) load(s *statev1.Snapshot) {
	index := s.GetIndex()
	if term, ok := r.log.term(index); ok && term == s.GetTerm() {
		// The log contains the snapshot, and possibly acknowledged records after it, which must stay.
		r.commit = max(r.commit, index)
		return
	}
	r.log.reset(index, s.GetTerm())
	r.snapshot, r.received = s, s
	r.configurations = []configuration{{index: index, members: s.GetMembers()}}
	r.commit, r.applied, r.handed, r.persisted = index, index, index, index
	if t := s.GetTime().AsTime(); t.After(r.newest) {
		r.newest = t
	}
}

// installed takes the answer to a chunk.
func (r *Replicator) installed(now time.Time, m Message) {
	p, ok := r.known(now, m)
	if !ok || p.sending == nil || m.Previous != p.snapshot.GetIndex() {
		return
	}
	p.waiting = false
	if m.Done {
		p.sending, p.snapshot = nil, nil
		p.reach(m.Previous)
	} else {
		p.offset = min(m.Offset, uint64(len(p.sending)))
	}
	r.replicate(now)
}

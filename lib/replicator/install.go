package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	from        string
	term, index uint64
	data        []byte
}

// sendChunk sends the next chunk of the snapshot to a member whose next record has been compacted.
func (r *Replicator) sendChunk(now time.Time, host string, p *progress) {
	if p.encoded == nil {
		data, err := proto.Marshal(r.snapshot)
		if !r.invariant(err == nil, "encode the snapshot: %v", err) {
			return
		}
		p.encoded, p.snapshot, p.offset = data, r.snapshot, 0
	}
	end := min(p.offset+uint64(r.config.Chunk), uint64(len(p.encoded))) //nolint:gosec // The size is positive.
	p.inFlight, p.sentAt, p.pending = true, now, p.snapshot.GetIndex()
	r.early = append(r.early, Message{
		Kind: InstallRequest, From: r.config.Host, To: host, Incarnation: r.state.GetIncarnation(), Target: p.incarnation,
		Term: r.state.GetTerm(), Previous: p.snapshot.GetIndex(), PreviousTerm: p.snapshot.GetTerm(),
		Offset: p.offset, Data: p.encoded[p.offset:end], Done: end == uint64(len(p.encoded)),
	})
}

// handleInstallRequest handles one chunk of the leader's snapshot.
func (r *Replicator) handleInstallRequest(now time.Time, m Message) {
	if !r.invariant(r.role != Leader && (r.leader == "" || r.leader == m.From), "%s and %s both lead", r.leader, m.From) {
		return
	}
	r.becomeFollower(now, m.Term, m.From)
	out := r.reply(m)
	if m.Previous <= r.commit {
		out.Done = true
		r.send(out)
		return
	}
	in := r.install
	if in == nil || in.from != m.From || in.term != m.Term || in.index != m.Previous {
		in = &incomingSnapshot{from: m.From, term: m.Term, index: m.Previous}
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
		r.installSnapshot(s)
	}
	out.Offset = uint64(len(in.data))
	r.send(out)
}

// installSnapshot replaces the log with a received snapshot, unless the log already contains it.
func (r *Replicator) installSnapshot(s *statev1.Snapshot) {
	index := s.GetIndex()
	if term, ok := r.log.term(index); ok && term == s.GetTerm() {
		// The log contains the snapshot's last record. Records after it may have been acknowledged and must be kept.
		r.commit = max(r.commit, index)
		return
	}
	r.log.reset(index, s.GetTerm())
	r.snapshot, r.installedSnapshot = s, s
	r.configurations = []configuration{{index: index, members: s.GetMembers()}}
	r.commit, r.applied, r.emitted, r.persisted = index, index, index, index
	if t := s.GetTime().AsTime(); t.After(r.lastTime) {
		r.lastTime = t
	}
}

// handleInstallResponse handles the response to a chunk.
func (r *Replicator) handleInstallResponse(now time.Time, m Message) {
	p, ok := r.responder(now, m)
	if !ok || p.encoded == nil || m.Previous != p.snapshot.GetIndex() {
		return
	}
	p.inFlight = false
	if m.Done {
		p.encoded, p.snapshot = nil, nil
		p.raiseMatch(m.Previous)
	} else {
		p.offset = min(m.Offset, uint64(len(p.encoded)))
	}
	r.replicate(now)
}

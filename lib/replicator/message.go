package replicator

import statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"

// Kind is the kind of a message between replicas.
type Kind int

// Kinds of messages.
const (
	VoteRequest Kind = iota + 1
	VoteResponse
	AppendRequest
	AppendResponse
	InstallRequest
	InstallResponse
	HandOver
)

// Message is a message between two replicas. Fields that its kind does not use are zero.
type Message struct {
	Kind     Kind
	From, To string
	// Incarnation is the sender's incarnation.
	Incarnation uint64
	// Target is the incarnation of the receiver for which the message is meant.
	Target uint64
	// RequestID correlates a response with its request. The transport sets it, and the response copies it.
	RequestID uint64
	Term      uint64
	// Previous and PreviousTerm are the index and term of the record before Records (append), of the newest record
	// (vote) or of the snapshot (install). Responses copy Previous.
	Previous, PreviousTerm uint64
	// Commit is the sender's commit index (append request).
	Commit  uint64
	Records []*statev1.Record
	// Round is the newest read-index round; a response copies it.
	Round uint64
	// Pre marks a pre-vote. Forced marks an election that the leader requested.
	Pre, Forced bool
	// Granted is set in a response that accepts the request.
	Granted bool
	// Match is the highest index that is known to match the leader's log, or the index to try next after a rejection.
	Match uint64
	// Offset is the position of Data in the snapshot, or in a response the next position expected.
	Offset uint64
	Data   []byte
	// Done marks the last chunk, or in a response that the snapshot is durable.
	Done bool
}

// request reports whether the message must be answered with a response.
func (m Message) request() bool {
	return m.Kind == VoteRequest || m.Kind == AppendRequest || m.Kind == InstallRequest
}

// reply returns a response to a request. It is a rejection unless the caller sets Granted or Done.
func (r *Replicator) reply(m Message) Message {
	kinds := map[Kind]Kind{VoteRequest: VoteResponse, AppendRequest: AppendResponse, InstallRequest: InstallResponse}
	return Message{
		Kind: kinds[m.Kind], From: r.config.Host, To: m.From, Incarnation: r.state.GetIncarnation(), Target: m.Incarnation,
		RequestID: m.RequestID, Term: r.state.GetTerm(), Previous: m.Previous, Round: m.Round, Pre: m.Pre,
	}
}

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

// Message is one message between two replicas. Fields that a kind does not name are zero.
type Message struct {
	Kind     Kind
	From, To string
	// Incarnation is the sender's own.
	Incarnation uint64
	// Target is the incarnation under which the receiver is addressed.
	Target uint64
	// Ticket ties a response to its request; the transport sets it and a response copies it.
	Ticket uint64
	Term   uint64
	// Previous and Tail are index and term of the record before Records (append), of the newest record
	// (vote) or of the snapshot (install). Responses copy Previous.
	Previous, Tail uint64
	// Commit is the sender's commit index (append request).
	Commit  uint64
	Records []*statev1.Record
	// Round is the newest read-index round; a response copies it.
	Round uint64
	// Pre marks a pre-vote, Forced an election that the leader asked for.
	Pre, Forced bool
	// Granted is the verdict of a response.
	Granted bool
	// Match is the highest index that agrees with the leader, or on refusal the index to try next.
	Match uint64
	// Offset is the position of Data in the snapshot, or on response the next position wanted.
	Offset uint64
	Data   []byte
	// Done marks the last chunk, and in the response that the snapshot is durable.
	Done bool
}

// request reports whether the message must be answered with a response.
func (m Message) request() bool {
	return m.Kind == VoteRequest || m.Kind == AppendRequest || m.Kind == InstallRequest
}

// reply returns the response to a request, refused until said otherwise.
func (r *Replicator) reply(m Message) Message {
	kinds := map[Kind]Kind{VoteRequest: VoteResponse, AppendRequest: AppendResponse, InstallRequest: InstallResponse}
	return Message{
		Kind: kinds[m.Kind], From: r.config.Host, To: m.From, Incarnation: r.state.GetIncarnation(), Target: m.Incarnation,
		Ticket: m.Ticket, Term: r.state.GetTerm(), Previous: m.Previous, Round: m.Round, Pre: m.Pre,
	}
}

package replica

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lycheelift.example/lib/replicator"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// address looks up a host in the published members, then in the initial members. It may be called from any goroutine.
func (r *Replica) address(host string) string {
	for _, m := range r.Status().Members.GetReplicas() {
		if m.GetHost() == host {
			return m.GetAddress()
		}
	}
	for _, p := range r.config.Members {
		if p.Host == host {
			return p.Address
		}
	}
	return ""
}

// send passes responses to the handlers that wait for them and sends each request in a new goroutine.
func (r *Replica) send(messages []replicator.Message) {
	for _, m := range messages {
		if response, ok := r.responses[m.RequestID]; ok && m.RequestID != 0 {
			response <- m
			delete(r.responses, m.RequestID)
			continue
		}
		address := r.peerAddress(m.To)
		if address == "" {
			continue
		}
		conn, err := r.dialer.dial(address)
		if err != nil {
			continue
		}
		select {
		case conn.inFlight <- struct{}{}:
			go r.sendRequest(conn, m)
		default: // The protocol resends lost messages.
		}
	}
}

// peerAddress is like address, but also finds members that are not published yet. Only the goroutine of Run may call it.
func (r *Replica) peerAddress(host string) string {
	for _, m := range r.core.Status().Members.GetReplicas() {
		if m.GetHost() == host {
			return m.GetAddress()
		}
	}
	return r.address(host)
}

// sendRequest sends a request and passes the response to the replicator.
func (r *Replica) sendRequest(conn *connection, m replicator.Message) {
	defer func() { <-conn.inFlight }()
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	out, err := call(ctx, peerv1.NewReplicaServiceClient(conn.client), m)
	if status.Code(err) == codes.DeadlineExceeded {
		r.dialer.drop(conn)
	}
	if err != nil || out.Kind == 0 {
		return
	}
	out.From, out.To, out.Target = m.To, m.From, m.Incarnation
	_ = r.submit(ctx, func() {
		if r.failure == nil {
			r.core.Step(r.config.Clock(), out)
		}
	})
}

// call sends a message as an RPC and decodes the response.
func call(ctx context.Context, client peerv1.ReplicaServiceClient, m replicator.Message) (replicator.Message, error) {
	switch m.Kind {
	case replicator.VoteRequest:
		out, err := client.Vote(ctx, &peerv1.VoteRequest{
			Candidate: m.From, Receiver: m.To, Incarnation: m.Incarnation, Target: m.Target, Term: m.Term, Index: m.Previous, Tail: m.PreviousTerm,
			Pre: m.Pre, Forced: m.Forced,
		})
		return replicator.Message{Kind: replicator.VoteResponse, Incarnation: out.GetIncarnation(), Term: out.GetTerm(), Granted: out.GetGranted(), Pre: m.Pre}, err
	case replicator.AppendRequest:
		out, err := client.Append(ctx, &peerv1.AppendRequest{
			Leader: m.From, Receiver: m.To, Incarnation: m.Incarnation, Target: m.Target, Term: m.Term, Previous: m.Previous, Tail: m.PreviousTerm,
			Commit: m.Commit, Records: m.Records, Round: m.Round,
		})
		return replicator.Message{
			Kind: replicator.AppendResponse, Incarnation: out.GetIncarnation(), Term: out.GetTerm(), Granted: out.GetSuccess(),
			Match: out.GetMatch(), Round: out.GetRound(), Previous: out.GetPrevious(),
		}, err
	case replicator.InstallRequest:
		out, err := client.Install(ctx, &peerv1.InstallRequest{
			Leader: m.From, Receiver: m.To, Incarnation: m.Incarnation, Target: m.Target, Term: m.Term, Index: m.Previous, Tail: m.PreviousTerm,
			Offset: m.Offset, Data: m.Data, Done: m.Done,
		})
		return replicator.Message{
			Kind: replicator.InstallResponse, Incarnation: out.GetIncarnation(), Term: out.GetTerm(), Previous: out.GetIndex(),
			Offset: out.GetNext(), Done: out.GetDone(),
		}, err
	default:
		_, err := client.HandOver(ctx, &peerv1.HandOverRequest{Leader: m.From, Receiver: m.To, Incarnation: m.Incarnation, Target: m.Target, Term: m.Term})
		return replicator.Message{}, err
	}
}

// leaderConnection returns the connection to the leader if another host is the leader and is reachable.
func (r *Replica) leaderConnection(ctx context.Context) (*connection, error) {
	s := r.Status()
	if s.Failure != nil {
		return nil, ErrFailed
	}
	if s.Leader == "" || s.Leader == r.config.Host {
		return nil, ErrNoLeader
	}
	conn, err := r.dialer.dial(r.address(s.Leader))
	if err != nil || !conn.waitConnected(ctx) {
		return nil, ErrNoLeader
	}
	return conn, nil
}

// proposeRemote forwards a command to the leader. Only an explicit refusal by the leader proves that the command was not
// recorded.
func (r *Replica) proposeRemote(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	conn, err := r.leaderConnection(ctx)
	if err != nil {
		return nil, err
	}
	out, err := peerv1.NewReplicaServiceClient(conn.client).Propose(ctx, &peerv1.ProposeRequest{Command: c})
	if status.Code(err) == codes.FailedPrecondition {
		return nil, ErrNoLeader
	}
	if err != nil {
		return nil, &UnknownError{err}
	}
	return out.GetResult(), nil
}

func (r *Replica) readRemote(ctx context.Context) (uint64, error) {
	conn, err := r.leaderConnection(ctx)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	out, err := peerv1.NewReplicaServiceClient(conn.client).Read(ctx, &peerv1.ReadRequest{})
	return out.GetIndex(), err
}

func (r *Replica) changeRemote(ctx context.Context, c change) error {
	conn, err := r.leaderConnection(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	_, err = peerv1.NewReplicaServiceClient(conn.client).Change(ctx, &peerv1.ChangeRequest{Add: c.add, Remove: c.remove})
	switch status.Code(err) {
	case codes.OK:
		return nil
	case codes.InvalidArgument:
		return replicator.ErrMembers
	default:
		return errors.Join(ErrNoLeader, err)
	}
}

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

// address finds a host among the members in force or the first members. It may be called from any goroutine.
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

// send passes responses to the calls that wait for them and sends requests, each in a goroutine of its own.
func (r *Replica) send(messages []replicator.Message) {
	for _, m := range messages {
		if waiting, ok := r.tickets[m.Ticket]; ok && m.Ticket != 0 {
			waiting <- m
			delete(r.tickets, m.Ticket)
			continue
		}
		address := r.target(m.To)
		if address == "" {
			continue
		}
		line, err := r.dialer.dial(address)
		if err != nil {
			continue
		}
		select {
		case line.slot <- struct{}{}:
			go r.exchange(line, m)
		default: // The protocol repeats what is lost.
		}
	}
}

// target is address for the goroutine, which knows members that are not published yet.
func (r *Replica) target(host string) string {
	for _, m := range r.core.Status().Members.GetReplicas() {
		if m.GetHost() == host {
			return m.GetAddress()
		}
	}
	return r.address(host)
}

// exchange sends a request and hands the response to the replicator.
func (r *Replica) exchange(l *line, m replicator.Message) {
	defer func() { <-l.slot }()
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	out, err := call(ctx, peerv1.NewReplicaServiceClient(l.conn), m)
	if status.Code(err) == codes.DeadlineExceeded {
		r.dialer.drop(l)
	}
	if err != nil || out.Kind == 0 {
		return
	}
	out.From, out.To, out.Target = m.To, m.From, m.Incarnation
	_ = r.do(ctx, func() {
		if r.failed == nil {
			r.core.Step(r.config.Clock(), out)
		}
	})
}

// call makes the call that belongs to a message and decodes the answer.
func call(ctx context.Context, client peerv1.ReplicaServiceClient, m replicator.Message) (replicator.Message, error) {
	switch m.Kind {
	case replicator.VoteRequest:
		out, err := client.Vote(ctx, &peerv1.VoteRequest{
			Candidate: m.From, Receiver: m.To, Incarnation: m.Incarnation, Target: m.Target, Term: m.Term, Index: m.Previous, Tail: m.Tail,
			Pre: m.Pre, Forced: m.Forced,
		})
		return replicator.Message{Kind: replicator.VoteResponse, Incarnation: out.GetIncarnation(), Term: out.GetTerm(), Granted: out.GetGranted(), Pre: m.Pre}, err
	case replicator.AppendRequest:
		out, err := client.Append(ctx, &peerv1.AppendRequest{
			Leader: m.From, Receiver: m.To, Incarnation: m.Incarnation, Target: m.Target, Term: m.Term, Previous: m.Previous, Tail: m.Tail,
			Commit: m.Commit, Records: m.Records, Round: m.Round,
		})
		return replicator.Message{
			Kind: replicator.AppendResponse, Incarnation: out.GetIncarnation(), Term: out.GetTerm(), Granted: out.GetSuccess(),
			Match: out.GetMatch(), Round: out.GetRound(), Previous: out.GetPrevious(),
		}, err
	case replicator.InstallRequest:
		out, err := client.Install(ctx, &peerv1.InstallRequest{
			Leader: m.From, Receiver: m.To, Incarnation: m.Incarnation, Target: m.Target, Term: m.Term, Index: m.Previous, Tail: m.Tail,
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

// leaderLine returns the connection to the leader if another host leads and can be reached.
func (r *Replica) leaderLine(ctx context.Context) (*line, error) {
	s := r.Status()
	if s.Failure != nil {
		return nil, ErrFailed
	}
	if s.Leader == "" || s.Leader == r.config.Host {
		return nil, ErrNoLeader
	}
	l, err := r.dialer.dial(r.address(s.Leader))
	if err != nil || !l.connected(ctx) {
		return nil, ErrNoLeader
	}
	return l, nil
}

// proposeRemote passes a command to the leader. Only the leader's explicit refusal proves that the command was
// not recorded.
func (r *Replica) proposeRemote(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	l, err := r.leaderLine(ctx)
	if err != nil {
		return nil, err
	}
	out, err := peerv1.NewReplicaServiceClient(l.conn).Propose(ctx, &peerv1.ProposeRequest{Command: c})
	if status.Code(err) == codes.FailedPrecondition {
		return nil, ErrNoLeader
	}
	if err != nil {
		return nil, &UnknownError{err}
	}
	return out.GetResult(), nil
}

func (r *Replica) readRemote(ctx context.Context) (uint64, error) {
	l, err := r.leaderLine(ctx)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	out, err := peerv1.NewReplicaServiceClient(l.conn).Read(ctx, &peerv1.ReadRequest{})
	return out.GetIndex(), err
}

func (r *Replica) changeRemote(ctx context.Context, c change) error {
	l, err := r.leaderLine(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	_, err = peerv1.NewReplicaServiceClient(l.conn).Change(ctx, &peerv1.ChangeRequest{Add: c.add, Remove: c.remove})
	switch status.Code(err) {
	case codes.OK:
		return nil
	case codes.InvalidArgument:
		return replicator.ErrMembers
	default:
		return errors.Join(ErrNoLeader, err)
	}
}

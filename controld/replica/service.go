package replica

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lycheelift.example/lib/replicator"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Service is the gRPC service that other control hosts call.
type Service struct {
	peerv1.UnimplementedReplicaServiceServer

	replica *Replica
}

// Service returns the gRPC service.
func (r *Replica) Service() *Service {
	return &Service{replica: r}
}

// deliver passes a request to the replicator and waits until the response may be sent.
func (r *Replica) deliver(ctx context.Context, m replicator.Message) (replicator.Message, error) {
	if m.To != r.config.Host {
		// The address of another member resolves to this host. A response would give one disk two votes.
		return replicator.Message{}, status.Errorf(codes.FailedPrecondition, "this is %s, not %s", r.config.Host, m.To)
	}
	response := make(chan replicator.Message, 1)
	step := func() {
		if r.failure != nil {
			close(response)
			return
		}
		r.lastRequestID++
		m.RequestID = r.lastRequestID
		r.responses[m.RequestID] = response
		r.core.Step(r.config.Clock(), m)
	}
	if err := r.submit(ctx, step); err != nil {
		return replicator.Message{}, status.Error(codes.Unavailable, err.Error())
	}
	select {
	case out, ok := <-response:
		if !ok {
			return out, status.Error(codes.Unavailable, ErrFailed.Error())
		}
		return out, nil
	case <-r.stopped:
		return replicator.Message{}, status.Error(codes.Unavailable, ErrStopped.Error())
	case <-ctx.Done():
		_ = r.submit(context.WithoutCancel(ctx), func() { delete(r.responses, m.RequestID) })
		return replicator.Message{}, status.FromContextError(ctx.Err()).Err()
	}
}

// Vote handles a vote or pre-vote request.
func (s *Service) Vote(ctx context.Context, in *peerv1.VoteRequest) (*peerv1.VoteResponse, error) {
	out, err := s.replica.deliver(ctx, replicator.Message{
		Kind: replicator.VoteRequest, From: in.GetCandidate(), To: in.GetReceiver(), Incarnation: in.GetIncarnation(), Target: in.GetTarget(), Term: in.GetTerm(),
		Previous: in.GetIndex(), PreviousTerm: in.GetTail(), Pre: in.GetPre(), Forced: in.GetForced(),
	})
	if err != nil {
		return nil, err
	}
	return &peerv1.VoteResponse{Term: out.Term, Granted: out.Granted, Incarnation: out.Incarnation}, nil
}

// Append handles new records or a heartbeat.
func (s *Service) Append(ctx context.Context, in *peerv1.AppendRequest) (*peerv1.AppendResponse, error) {
	out, err := s.replica.deliver(ctx, replicator.Message{
		Kind: replicator.AppendRequest, From: in.GetLeader(), To: in.GetReceiver(), Incarnation: in.GetIncarnation(), Target: in.GetTarget(), Term: in.GetTerm(),
		Previous: in.GetPrevious(), PreviousTerm: in.GetTail(), Commit: in.GetCommit(), Records: in.GetRecords(), Round: in.GetRound(),
	})
	if err != nil {
		return nil, err
	}
	return &peerv1.AppendResponse{
		Term: out.Term, Success: out.Granted, Match: out.Match, Round: out.Round, Incarnation: out.Incarnation, Previous: out.Previous,
	}, nil
}

// Install handles one chunk of a snapshot.
func (s *Service) Install(ctx context.Context, in *peerv1.InstallRequest) (*peerv1.InstallResponse, error) {
	out, err := s.replica.deliver(ctx, replicator.Message{
		Kind: replicator.InstallRequest, From: in.GetLeader(), To: in.GetReceiver(), Incarnation: in.GetIncarnation(), Target: in.GetTarget(), Term: in.GetTerm(),
		Previous: in.GetIndex(), PreviousTerm: in.GetTail(), Offset: in.GetOffset(), Data: in.GetData(), Done: in.GetDone(),
	})
	if err != nil {
		return nil, err
	}
	return &peerv1.InstallResponse{Term: out.Term, Next: out.Offset, Incarnation: out.Incarnation, Index: out.Previous, Done: out.Done}, nil
}

// HandOver starts an election at the request of the leader, which gives up leadership to this host.
func (s *Service) HandOver(ctx context.Context, in *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	r := s.replica
	err := r.submit(ctx, func() {
		if r.failure == nil {
			r.core.Step(r.config.Clock(), replicator.Message{
				Kind: replicator.HandOver, From: in.GetLeader(), To: in.GetReceiver(), Incarnation: in.GetIncarnation(),
				Target: in.GetTarget(), Term: in.GetTerm(),
			})
		}
	})
	return &peerv1.HandOverResponse{}, err
}

// Propose records a command if this host is the leader. FailedPrecondition means that nothing was recorded.
func (s *Service) Propose(ctx context.Context, in *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	result, err := s.replica.proposeLocal(ctx, in.GetCommand())
	var unknown *UnknownError
	switch {
	case errors.As(err, &unknown):
		return nil, status.Error(codes.Unknown, err.Error())
	case err != nil:
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerv1.ProposeResponse{Result: result, Leader: s.replica.config.Host}, nil
}

// Read returns the index for a linearizable read if this host is the leader.
func (s *Service) Read(ctx context.Context, _ *peerv1.ReadRequest) (*peerv1.ReadResponse, error) {
	index, err := s.replica.readIndex(ctx)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerv1.ReadResponse{Index: index}, nil
}

// Change changes the members if this host is the leader.
func (s *Service) Change(ctx context.Context, in *peerv1.ChangeRequest) (*peerv1.ChangeResponse, error) {
	err := s.replica.changeLocal(ctx, change{add: in.GetAdd(), remove: in.GetRemove()})
	switch {
	case errors.Is(err, replicator.ErrMembers):
		return nil, status.Error(codes.InvalidArgument, err.Error())
	case err != nil:
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerv1.ChangeResponse{}, nil
}

// Report returns the state of this replica, read by the goroutine that owns it.
func (s *Service) Report(ctx context.Context, _ *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
	r := s.replica
	out := make(chan *peerv1.ReportResponse, 1)
	if err := r.submit(ctx, func() { out <- r.report() }); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	select {
	case report := <-out:
		return report, nil
	case <-r.stopped:
		return nil, status.Error(codes.Unavailable, ErrStopped.Error())
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

func (r *Replica) report() *peerv1.ReportResponse {
	s := r.core.Status()
	out := &peerv1.ReportResponse{
		Host: r.config.Host, Incarnation: s.Incarnation, Leader: s.Leader, Term: s.Term, Commit: s.Commit, Applied: r.applied,
		Last: s.Last, Members: s.Members, Blank: r.core.Blank(), Founding: !r.config.Join, Center: r.config.Center,
	}
	if r.failure != nil {
		out.Failure = r.failure.Error()
	}
	return out
}

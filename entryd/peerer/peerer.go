// Package peerer implements the gRPC service through which entry hosts call each other.
package peerer

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Executor executes calls to leaves that this host owns.
type Executor interface {
	Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult
}

// unimplemented embeds the generated stub one level deeper than the other parts of a Peerer, so that their methods are
// promoted instead of the stub's.
type unimplemented struct {
	peerv1.UnimplementedPeerServiceServer
}

// Peerer implements peerv1.PeerServiceServer.
type Peerer struct {
	unimplemented

	Membership
	Catalogue
	Granter

	execute Executor
	table   *cataloguer.Table
	follow  *follower.Follower
	clock   func() time.Time
}

// Membership answers probes.
type Membership interface {
	Probe(ctx context.Context, in *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error)
	ProbeVia(ctx context.Context, in *peerv1.ProbeViaRequest) (*peerv1.ProbeViaResponse, error)
}

// Granter answers lease requests.
type Granter interface {
	Lease(ctx context.Context, in *peerv1.LeaseRequest) (*peerv1.LeaseResponse, error)
}

// Catalogue answers requests for catalogue records and configuration versions.
type Catalogue interface {
	Sync(ctx context.Context, in *peerv1.SyncRequest) (*peerv1.SyncResponse, error)
}

// New returns the peer service.
func New(execute Executor, membership Membership, catalogue Catalogue, grant Granter, table *cataloguer.Table, follow *follower.Follower,
	clock func() time.Time,
) *Peerer {
	return &Peerer{Membership: membership, Catalogue: catalogue, Granter: grant, execute: execute, table: table, follow: follow, clock: clock}
}

// Apply applies a pushed configuration version and relays it.
func (p *Peerer) Apply(ctx context.Context, in *peerv1.ApplyRequest) (*peerv1.ApplyResponse, error) {
	return p.follow.Relay(ctx, in), nil
}

// Channel executes the calls that arrive on a stream and sends each result when its call ends.
func (p *Peerer) Channel(channel grpc.BidiStreamingServer[peerv1.ChannelRequest, peerv1.ChannelResponse]) error {
	ctx, stop := context.WithCancel(channel.Context())
	defer stop()
	s := &callStream{execute: p.execute, follow: p.follow, results: make(chan *peerv1.CallResult, resultQueue), cancels: make(map[string]context.CancelFunc)}
	go s.write(ctx, channel, stop)
	for {
		message, err := channel.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return oops.In("peerer").Wrap(err)
		}
		for _, call := range message.GetCalls() {
			s.start(ctx, call)
		}
		for _, attempt := range message.GetCancels() {
			s.cancel(attempt)
		}
	}
}

// Forward stores announcements that another host received and forwarded.
func (p *Peerer) Forward(_ context.Context, in *peerv1.ForwardRequest) (*peerv1.ForwardResponse, error) {
	for _, a := range in.GetAnnouncements() {
		p.store(a)
	}
	return &peerv1.ForwardResponse{}, nil
}

func (p *Peerer) store(a *backendv1.AnnounceRequest) {
	leaf, err := cataloguer.ParseAnnouncement(a, p.clock())
	if err == nil {
		p.table.Put(leaf)
	}
}

const (
	// resultQueue is the maximum number of results queued for the stream's writer.
	resultQueue = 8192
	// resultBatch is the maximum number of results in one message.
	resultBatch = 256
)

// callStream is one stream of calls.
type callStream struct {
	execute Executor
	follow  *follower.Follower
	results chan *peerv1.CallResult

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

func (s *callStream) start(ctx context.Context, call *peerv1.Call) {
	sender, _, _ := strings.Cut(call.GetAttempt(), "/")
	s.follow.FetchIfNewer(sender, call.GetVersion())
	ctx, cancel := context.WithTimeout(ctx, call.GetTimeout().AsDuration())
	s.mu.Lock()
	s.cancels[call.GetAttempt()] = cancel
	s.mu.Unlock()
	go func() {
		result := s.execute.Execute(ctx, call)
		result.Version = s.follow.View().Number
		s.cancel(call.GetAttempt())
		s.results <- result
	}()
}

func (s *callStream) cancel(attempt string) {
	s.mu.Lock()
	cancel, ok := s.cancels[attempt]
	delete(s.cancels, attempt)
	s.mu.Unlock()
	if ok {
		cancel()
	}
}

// write sends queued results in as few messages as possible. After the stream has ended it drains the queue, so that
// running calls do not block.
func (s *callStream) write(ctx context.Context, channel grpc.BidiStreamingServer[peerv1.ChannelRequest, peerv1.ChannelResponse], stop func()) {
	for {
		select {
		case <-ctx.Done():
			s.drain()
			return
		case first := <-s.results:
			if err := channel.Send(s.batch(first)); err != nil {
				stop()
			}
		}
	}
}

func (s *callStream) batch(first *peerv1.CallResult) *peerv1.ChannelResponse {
	message := &peerv1.ChannelResponse{Results: []*peerv1.CallResult{first}}
	for len(message.GetResults()) < resultBatch {
		select {
		case r := <-s.results:
			message.Results = append(message.Results, r)
		default:
			return message
		}
	}
	return message
}

func (s *callStream) drain() {
	for {
		s.mu.Lock()
		running := len(s.cancels)
		s.mu.Unlock()
		if running == 0 && len(s.results) == 0 {
			return
		}
		<-s.results
	}
}

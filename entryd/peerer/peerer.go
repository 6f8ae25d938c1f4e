// Package peerer serves the gRPC service that entry hosts offer each other.
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

// Executor runs calls whose leaf this host owns.
type Executor interface {
	Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult
}

// unimplemented is one level deeper than the parts that a Peerer embeds, so that their methods are the ones promoted.
type unimplemented struct {
	peerv1.UnimplementedPeerServiceServer
}

// Peerer serves calls of other hosts.
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

// Granter answers requests for leases.
type Granter interface {
	Lease(ctx context.Context, in *peerv1.LeaseRequest) (*peerv1.LeaseResponse, error)
}

// Catalogue answers requests for records and versions.
type Catalogue interface {
	Sync(ctx context.Context, in *peerv1.SyncRequest) (*peerv1.SyncResponse, error)
}

// New returns the service.
func New(execute Executor, membership Membership, catalogue Catalogue, grant Granter, table *cataloguer.Table, follow *follower.Follower,
	clock func() time.Time,
) *Peerer {
	return &Peerer{Membership: membership, Catalogue: catalogue, Granter: grant, execute: execute, table: table, follow: follow, clock: clock}
}

// Apply takes a pushed version and passes it on.
func (p *Peerer) Apply(ctx context.Context, in *peerv1.ApplyRequest) (*peerv1.ApplyResponse, error) {
	return p.follow.Relay(ctx, in), nil
}

// Channel runs the calls that arrive on a stream and sends back their results as they end.
func (p *Peerer) Channel(channel grpc.BidiStreamingServer[peerv1.ChannelRequest, peerv1.ChannelResponse]) error {
	ctx, stop := context.WithCancel(channel.Context())
	defer stop()
	s := &session{execute: p.execute, follow: p.follow, results: make(chan *peerv1.CallResult, resultQueue), cancels: make(map[string]context.CancelFunc)}
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

// Forward stores announcements that another host received.
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
	// resultQueue bounds the results that wait for the stream's writer.
	resultQueue = 8192
	// resultBatch bounds the results in one message.
	resultBatch = 256
)

// session is one stream of calls.
type session struct {
	execute Executor
	follow  *follower.Follower
	results chan *peerv1.CallResult

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

func (s *session) start(ctx context.Context, call *peerv1.Call) {
	sender, _, _ := strings.Cut(call.GetAttempt(), "/")
	s.follow.Noticed(sender, call.GetVersion())
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

func (s *session) cancel(attempt string) {
	s.mu.Lock()
	cancel, ok := s.cancels[attempt]
	delete(s.cancels, attempt)
	s.mu.Unlock()
	if ok {
		cancel()
	}
}

// write sends the results that have queued up in as few messages as possible. After the stream broke it drains
// the queue, so that calls still running can end.
func (s *session) write(ctx context.Context, channel grpc.BidiStreamingServer[peerv1.ChannelRequest, peerv1.ChannelResponse], stop func()) {
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

func (s *session) batch(first *peerv1.CallResult) *peerv1.ChannelResponse {
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

func (s *session) drain() {
	for {
		s.mu.Lock()
		left := len(s.cancels)
		s.mu.Unlock()
		if left == 0 && len(s.results) == 0 {
			return
		}
		<-s.results
	}
}

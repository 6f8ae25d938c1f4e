// Package server starts the parts of an entry host and stops them gracefully.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"lycheelift.example/entryd/acceptor"
	"lycheelift.example/entryd/announcer"
	"lycheelift.example/entryd/dispatcher"
	"lycheelift.example/entryd/executor"
	"lycheelift.example/entryd/follower"
	"lycheelift.example/entryd/holder"
	"lycheelift.example/entryd/peerer"
	"lycheelift.example/entryd/submitter"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/exporter"
	"lycheelift.example/lib/transporter"
	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
	"lycheelift.example/schema/gen/lycheelift/caller/v1/callerv1connect"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	settings "lycheelift.example/schema/gen/settings/entryd"
)

// stopTimeout bounds the wait for in-flight queries on a graceful stop.
const stopTimeout = 30 * time.Second

// Server is one entry host.
type Server struct {
	settings settings.Entry
	clock    func() time.Time
	ready    atomic.Bool

	export   *exporter.Exporter
	follow   *follower.Follower
	dial     *peerer.Dialer
	dispatch *dispatcher.Dispatcher
	execute  *executor.Executor
	hold     *holder.Holder
	submit   *submitter.Submitter
	callers  *http.Server
	peers    *grpc.Server
}

// New builds the parts of an entry host from checked settings.
func New(s settings.Entry, clock func() time.Time) (*Server, error) {
	timeout, err := time.ParseDuration(s.Timeout)
	if err != nil {
		return nil, oops.In("server").Wrapf(err, "timeout")
	}
	out := &Server{settings: s, clock: clock, export: exporter.New("lycheelift_entry"), follow: follower.New(clock())}
	table := cataloguer.New(clock())
	out.dial = peerer.NewDialer(s.Name, out.follow)
	execute := executor.New(s.Name, s.Center, table, out.follow, clock, executor.WithScope(out.export.Scope.SubScope("owner")))
	out.execute = execute
	out.hold = holder.New(s.Name, out.dial, table, out.follow, clock, holder.WithActive(execute.Active), holder.WithChanged(execute.Changed))
	execute.Bind(out.hold)
	mismatched := out.export.Scope.Counter("replies_mismatched")
	out.dispatch = dispatcher.New(s.Name, execute, out.dial, dispatcher.WithMismatch(func(r *peerv1.CallResult) {
		mismatched.Inc(1)
		eventer.ReplyMismatched.Log(clock(), "attempt", r.GetAttempt(), "leaf", r.GetLeaf())
	}))
	out.submit = submitter.New(s.Name, clock().UnixNano(), submitter.Clients(s.Control, out.dial), clock)
	accept := acceptor.New(s.Name, s.Center, table, out.follow, out.dispatch, clock,
		acceptor.WithBody(s.Body), acceptor.WithTimeout(timeout), acceptor.WithQueries(s.Queries), acceptor.WithOwners(owners{out.hold}), acceptor.WithSubmitter(out.submit), acceptor.WithScope(out.export.Scope.SubScope("query")))
	announce := announcer.New(table, out.dial, clock)
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewQueryServiceHandler(accept))
	mux.Handle(backendv1connect.NewAnnounceServiceHandler(announce))
	mux.Handle("GET /metrics", out.export.Handler)
	mux.HandleFunc("GET /ready", out.serveReady)
	out.callers = transporter.Server(mux)
	out.peers = grpc.NewServer()
	peerv1.RegisterPeerServiceServer(out.peers, peerer.New(execute, out.hold, table, out.follow, clock))
	return out, nil
}

// serveReady tells the platform's balancer whether this host takes queries.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Run serves until ctx ends, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	callers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.settings.Listen.Callers)
	if err != nil {
		return oops.In("server").Wrapf(err, "listen for callers")
	}
	peers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.settings.Listen.Peers)
	if err != nil {
		return oops.In("server").Wrapf(err, "listen for peers")
	}
	failed := make(chan error, 2)
	go func() { failed <- s.callers.Serve(callers) }()
	go func() { failed <- s.peers.Serve(peers) }()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go s.follow.Poll(background, s.settings.Control, s.dial, s.clock)
	go s.hold.Run(background)
	go s.execute.Run(background)
	s.ready.Store(true)
	eventer.Started.Log(s.clock(), "host", s.settings.Name, "callers", callers.Addr().String(), "peers", peers.Addr().String())
	select {
	case <-ctx.Done():
		return s.drain()
	case err := <-failed:
		eventer.ServeFailed.Log(s.clock(), "error", err.Error())
		return oops.In("server").Wrapf(err, "serve")
	}
}

// drain fails readiness first, gives the balancer time, and then lets in-flight work end.
func (s *Server) drain() error {
	eventer.Draining.Log(s.clock(), "host", s.settings.Name)
	s.ready.Store(false)
	grace, err := time.ParseDuration(s.settings.Grace)
	if err != nil {
		return oops.In("server").Wrapf(err, "grace")
	}
	time.Sleep(grace)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err = s.callers.Shutdown(ctx)
	s.submit.Close(ctx)
	if err := s.hold.Release(ctx); err != nil {
		eventer.LeaseUnheld.Log(s.clock(), "error", err.Error())
	}
	s.dispatch.Close()
	s.execute.Close()
	s.dial.Close()
	s.peers.Stop()
	if err := s.export.Close(); err != nil {
		return oops.In("server").Wrapf(err, "close metrics")
	}
	eventer.Stopped.Log(s.clock(), "host", s.settings.Name)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return oops.In("server").Wrapf(err, "stop")
	}
	return nil
}

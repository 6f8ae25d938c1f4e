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
	"lycheelift.example/entryd/isolator"
	"lycheelift.example/entryd/peerer"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/exporter"
	"lycheelift.example/lib/ranker"
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
	execute := executor.New(table, clock)
	out.dial = peerer.NewDialer(s.Name, out.follow)
	mismatched := out.export.Scope.Counter("replies_mismatched")
	out.dispatch = dispatcher.New(s.Name, execute, out.dial, dispatcher.WithMismatch(func(r *peerv1.CallResult) {
		mismatched.Inc(1)
		eventer.ReplyMismatched.Log(clock(), "attempt", r.GetAttempt(), "leaf", r.GetLeaf())
	}))
	isolate := isolator.New(s.Name, func() []ranker.Cell { return out.follow.View().Cells }, out.dial, clock)
	accept := acceptor.New(s.Name, s.Center, table, out.follow, out.dispatch, clock,
		acceptor.WithBody(s.Body), acceptor.WithTimeout(timeout), acceptor.WithQueries(s.Queries), acceptor.WithScope(out.export.Scope),
		acceptor.WithIsolator(isolate), acceptor.WithTraces(s.Traces))
	announce := announcer.New(table, out.dial, clock)
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewQueryServiceHandler(accept))
	mux.Handle(backendv1connect.NewAnnounceServiceHandler(announce))
	mux.Handle("GET /metrics", out.export.Handler)
	mux.HandleFunc("GET /ready", out.serveReady)
	out.callers = transporter.Server(mux)
	out.peers = grpc.NewServer()
	peerv1.RegisterPeerServiceServer(out.peers, peers{peerer.New(execute, table, out.follow, clock), isolate})
	return out, nil
}

// peers is the service for other hosts: the isolator takes the reports of suspects, the peerer all other calls.
type peers struct {
	*peerer.Peerer
	*isolator.Isolator
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
	s.dispatch.Close()
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

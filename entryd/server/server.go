// Package server starts the parts of an entry host and stops them gracefully.
package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"
	"google.golang.org/grpc"

	"lycheelift.example/entryd/acceptor"
	"lycheelift.example/entryd/announcer"
	"lycheelift.example/entryd/dispatcher"
	"lycheelift.example/entryd/executor"
	"lycheelift.example/entryd/follower"
	"lycheelift.example/entryd/inspector"
	"lycheelift.example/entryd/peerer"
	"lycheelift.example/entryd/prober"
	"lycheelift.example/entryd/syncer"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/exporter"
	"lycheelift.example/lib/transporter"
	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
	"lycheelift.example/schema/gen/lycheelift/caller/v1/callerv1connect"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	settings "lycheelift.example/schema/gen/settings/entryd"
)

// Server is one entry host.
type Server struct {
	settings settings.Entry
	clock    func() time.Time
	serving  atomic.Bool
	stopping atomic.Bool

	export     *exporter.Exporter
	table      *cataloguer.Table
	follow     *follower.Follower
	probe      *prober.Prober
	sync       *syncer.Syncer
	meter      *meter
	gate       gate
	dial       *peerer.Dialer
	wire       *peerer.Wire
	dispatch   *dispatcher.Dispatcher
	callers    *http.Server
	peers      *grpc.Server
	background context.CancelFunc
}

// New builds the parts of an entry host from checked settings.
func New(s settings.Entry, clock func() time.Time) (*Server, error) {
	timeout, err := time.ParseDuration(s.Timeout)
	if err != nil {
		return nil, oops.In("server").Wrapf(err, "timeout")
	}
	now := clock()
	table := cataloguer.New(now)
	out := &Server{
		settings: s, clock: clock, export: exporter.New("lycheelift_entry"), table: table,
		follow: follower.New(now, follower.WithHost(s.Name, s.Center), follower.WithClock(clock)),
		meter:  &meter{next: executor.New(table, clock), clock: clock},
	}
	counter := peerer.NewCounter(out.export.Scope)
	out.wire = peerer.NewWire(out.export.Scope)
	out.dial = peerer.NewDialer(out.follow, counter, out.wire)
	out.member(uint64(now.UnixNano()))
	mismatched := out.export.Scope.Counter("replies_mismatched")
	out.dispatch = dispatcher.New(s.Name, out.meter, out.dial, dispatcher.WithMismatch(func(r *peerv1.CallResult) {
		mismatched.Inc(1)
		eventer.ReplyMismatched.Log(clock(), "attempt", r.GetAttempt(), "leaf", r.GetLeaf())
	}))
	accept := acceptor.New(s.Name, s.Center, table, out.follow, out.dispatch, clock, acceptor.WithBody(s.Body), acceptor.WithTimeout(timeout))
	announce := announcer.New(table, peerer.NewForwarder(s.Name, out.dial, table.Owner, clock), clock)
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewQueryServiceHandler(accept, connect.WithInterceptors(out.gate.intercept())))
	mux.Handle(backendv1connect.NewAnnounceServiceHandler(announce))
	mux.Handle(operatorv1connect.NewHostServiceHandler(inspector.New(s.Name, s.Center, out.follow, table, out.probe, out.sync,
		out.stopping.Load, out.meter.calls.Load, clock)))
	mux.Handle("GET /metrics", out.export.Handler)
	mux.HandleFunc("GET /ready", out.serveReady)
	out.callers = transporter.Server(mux)
	out.peers = grpc.NewServer(grpc.StatsHandler(counter), grpc.InitialWindowSize(peerer.Window), grpc.InitialConnWindowSize(peerer.ConnWindow))
	peerv1.RegisterPeerServiceServer(out.peers, peerer.New(out.meter, out.probe, out.sync, table, out.follow, clock))
	return out, nil
}

// member builds what this host knows of other hosts.
func (s *Server) member(incarnation uint64) {
	name, center := s.settings.Name, s.settings.Center
	s.probe = prober.New(name, incarnation, s.follow, s.dial, s.clock)
	s.follow.Connect(s.dial, s.probe.Live)
	hold := syncer.NewFirst(name, center, s.follow, s.table.Owner, s.probe.Live, s.probe.Settled)
	s.sync = syncer.New(name, center, incarnation, s.table, s.follow, s.dial, hold, s.probe.Serves, s.clock)
	s.probe.Connect(s.sync)
	s.follow.OnChange(s.probe.Reconfigure)
	s.follow.OnChange(s.sync.Reconfigure)
}

// ready reports whether this host takes queries: it has a configuration, knows the leaves, is not stopping and its
// data centre is not out.
func (s *Server) ready() bool {
	view := s.follow.View()
	return s.serving.Load() && !s.stopping.Load() && view.Number > 0 && !s.table.Starting(s.clock()) && !s.out(view)
}

// out reports whether the host's data centre is out. Before the first configuration names it, it is not.
func (s *Server) out(view *follower.View) bool {
	_, known := view.Document.Centers[s.settings.Center]
	return known && view.Out(s.settings.Center)
}

// serveReady tells the platform's balancer whether this host takes queries.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
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
	go func() { failed <- s.peers.Serve(s.wire.Listener(peers)) }()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	s.background = stop
	go s.follow.Run(background, follower.Source{Self: s.settings.Listen.Peers, Control: s.settings.Control, Seeds: s.settings.Seeds})
	go s.probe.Run(background)
	go s.sync.Run(background)
	s.serving.Store(true)
	eventer.Started.Log(s.clock(), "host", s.settings.Name, "callers", callers.Addr().String(), "peers", peers.Addr().String())
	select {
	case <-ctx.Done():
		return s.drain()
	case err := <-failed:
		eventer.ServeFailed.Log(s.clock(), "error", err.Error())
		return oops.In("server").Wrapf(err, "serve")
	}
}

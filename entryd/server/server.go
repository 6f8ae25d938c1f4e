// Package server starts the parts of an entry host and stops them gracefully.
package server

import (
	"context"
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
	"lycheelift.example/entryd/holder"
	"lycheelift.example/entryd/inspector"
	"lycheelift.example/entryd/isolator"
	"lycheelift.example/entryd/peerer"
	"lycheelift.example/entryd/prober"
	"lycheelift.example/entryd/shipper"
	"lycheelift.example/entryd/submitter"
	"lycheelift.example/entryd/syncer"
	"lycheelift.example/lib/authorizer"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/exporter"
	"lycheelift.example/lib/ranker"
	"lycheelift.example/lib/recorder"
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
	security *transporter.Security
	serving  atomic.Bool
	stopping atomic.Bool

	export     *exporter.Exporter
	table      *cataloguer.Table
	follow     *follower.Follower
	execute    *executor.Executor
	hold       *holder.Holder
	submit     *submitter.Submitter
	ship       *shipper.Shipper
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
	security, err := secure(s, clock)
	if err != nil {
		return nil, err
	}
	now := clock()
	table := cataloguer.New(now)
	out := &Server{
		settings: s, clock: clock, security: security, export: exporter.New("lycheelift_entry"), table: table,
		follow: follower.New(now, follower.WithHost(s.Name, s.Center), follower.WithClock(clock)),
	}
	counter := peerer.NewCounter(out.export.Scope)
	out.wire = peerer.NewWire(out.export.Scope)
	out.dial = peerer.NewDialer(out.follow, security.Conns(grpc.WithStatsHandler(counter), grpc.WithContextDialer(out.wire.Dial)))
	incarnation := uint64(now.UnixNano())
	out.execute = executor.New(s.Name, s.Center, table, out.follow, clock, executor.WithScope(out.export.Scope.SubScope("owner")))
	out.meter = &meter{next: out.execute, clock: clock}
	out.member(incarnation)
	out.submit = submitter.New(s.Name, now.UnixNano(), submitter.Clients(s.Control, out.dial), clock)
	buffer := recorder.NewBuffer(s.Name, incarnation, recorder.DefaultLimit)
	out.ship = shipper.New(s.Name, buffer, s.Control, out.dial, clock)
	mismatched := out.export.Scope.Counter("replies_mismatched")
	out.dispatch = dispatcher.New(s.Name, out.meter, out.dial, dispatcher.WithMismatch(func(r *peerv1.CallResult) {
		mismatched.Inc(1)
		eventer.ReplyMismatched.Log(clock(), "attempt", r.GetAttempt(), "leaf", r.GetLeaf())
	}))
	isolate := isolator.New(s.Name, func() []ranker.Cell { return out.follow.View().Cells }, out.dial, clock)
	accept := acceptor.New(s.Name, s.Center, table, out.follow, out.dispatch, clock,
		acceptor.WithBody(s.Body), acceptor.WithTimeout(timeout), acceptor.WithQueries(s.Queries),
		acceptor.WithOwners(owners{out.hold}), acceptor.WithSubmitter(out.submit), acceptor.WithRecorder(buffer), acceptor.WithIsolator(isolate), acceptor.WithTraces(s.Traces),
		acceptor.WithScope(out.export.Scope.SubScope("query")))
	announce := announcer.New(table, peerer.NewForwarder(s.Name, out.dial, table.Owner, clock), clock, announcer.WithRedirect(out.sync.Redirect))
	allowed := connect.WithInterceptors(authorizer.Interceptor(access), tenancy(), out.gate.intercept())
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewQueryServiceHandler(accept, allowed, connect.WithReadMaxBytes(s.Body+maxEnvelope)))
	mux.Handle(backendv1connect.NewAnnounceServiceHandler(announce, allowed, connect.WithReadMaxBytes(maxSmall)))
	mux.Handle(operatorv1connect.NewHostServiceHandler(inspector.New(s.Name, s.Center, out.follow, table, out.probe, out.sync,
		out.stopping.Load, out.meter.calls.Load, clock), allowed, connect.WithReadMaxBytes(maxSmall)))
	mux.Handle("GET /metrics", out.export.Handler)
	mux.HandleFunc("GET /ready", out.serveReady)
	out.callers = transporter.Server(authorizer.Handler(mux, security.Open()))
	out.peers = security.GRPCServer(grpc.StatsHandler(counter))
	peerv1.RegisterPeerServiceServer(out.peers, peers{
		peerer.New(out.meter, out.probe, out.sync, out.hold, table, out.follow, clock), isolate,
	})
	return out, nil
}

// peers is the service for other hosts: the isolator takes the reports of suspects, the peerer all other calls.
type peers struct {
	*peerer.Peerer
	*isolator.Isolator
}

// member builds what this host knows of other hosts.
func (s *Server) member(incarnation uint64) {
	name, center := s.settings.Name, s.settings.Center
	s.probe = prober.New(name, incarnation, s.follow, s.dial, s.clock)
	s.follow.Connect(s.dial, s.probe.Live)
	s.hold = holder.New(name, s.dial, s.table, s.follow, s.clock, holder.WithActive(s.execute.Active), holder.WithChanged(s.execute.Changed),
		holder.WithLiveness(liveness{self: name, probe: s.probe, follow: s.follow}))
	s.execute.Bind(s.hold)
	s.sync = syncer.New(name, center, incarnation, s.table, s.follow, s.dial, leases{s.hold}, s.probe.Serves, s.clock)
	s.sync.SetCallers(s.settings.Listen.Callers)
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
	callers, err := transporter.Listen(ctx, s.settings.Listen.Callers)
	if err != nil {
		return err
	}
	peers, err := transporter.Listen(ctx, s.settings.Listen.Peers)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	go func() { failed <- s.security.Serve(s.callers, callers) }()
	go func() { failed <- s.peers.Serve(s.wire.Listener(peers)) }()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	s.background = stop
	go s.follow.Run(background, follower.Source{Self: s.settings.Listen.Peers, Control: s.settings.Control, Seeds: s.settings.Seeds})
	go s.probe.Run(background)
	go s.sync.Run(background)
	go s.hold.Run(background)
	go s.execute.Run(background)
	go s.ship.Run(background)
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

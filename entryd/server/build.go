package server

import (
	"net/http"
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
	"lycheelift.example/lib/drainer"
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

// New builds the parts of an entry host from checked settings, those that others need first.
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
	incarnation := uint64(now.UnixNano())
	out := &Server{
		settings: s, clock: clock, security: security, export: exporter.New("lycheelift_entry"), table: cataloguer.New(now),
		follow: follower.New(now, follower.WithHost(s.Name, s.Center), follower.WithClock(clock)),
	}
	out.connect()
	out.own()
	out.member(incarnation)
	out.keep(incarnation)
	out.send()
	out.serve(out.accept(timeout))
	return out, nil
}

// connect builds the connections to other hosts.
func (s *Server) connect() {
	s.counter = peerer.NewCounter(s.export.Scope)
	s.wire = peerer.NewWire(s.export.Scope)
	s.dial = peerer.NewDialer(s.follow, s.security.Conns(grpc.WithStatsHandler(s.counter), grpc.WithContextDialer(s.wire.Dial)))
}

// own builds what calls the leaves that this host owns.
func (s *Server) own() {
	s.execute = executor.New(s.settings.Name, s.settings.Center, s.table, s.follow, s.clock,
		executor.WithScope(s.export.Scope.SubScope("owner")))
	s.meter = &meter{next: s.execute, clock: s.clock}
}

// member builds what this host knows of other hosts, and its leases.
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

// keep builds what goes to control: requests with a key, and the record of answers.
func (s *Server) keep(incarnation uint64) {
	name := s.settings.Name
	s.submit = submitter.New(name, int64(incarnation), submitter.Clients(s.settings.Control, s.dial), s.clock) //nolint:gosec // From a positive int64.
	s.buffer = recorder.NewBuffer(name, incarnation, recorder.DefaultLimit)
	s.ship = shipper.New(name, s.buffer, s.settings.Control, s.dial, s.clock)
}

// send builds what sends calls to owners.
func (s *Server) send() {
	mismatched := s.export.Scope.Counter("replies_mismatched")
	s.dispatch = dispatcher.New(s.settings.Name, s.meter, s.dial, dispatcher.WithMismatch(func(r *peerv1.CallResult) {
		mismatched.Inc(1)
		eventer.ReplyMismatched.Log(s.clock(), "attempt", r.GetAttempt(), "leaf", r.GetLeaf())
	}))
	s.isolate = isolator.New(s.settings.Name, func() []ranker.Cell { return s.follow.View().Cells }, s.dial, s.clock)
}

// accept builds what answers callers.
func (s *Server) accept(timeout time.Duration) *acceptor.Acceptor {
	return acceptor.New(s.settings.Name, s.settings.Center, s.table, s.follow, s.dispatch, s.clock,
		acceptor.WithBody(s.settings.Body), acceptor.WithTimeout(timeout), acceptor.WithQueries(s.settings.Queries),
		acceptor.WithOwners(owners{s.hold}), acceptor.WithSubmitter(s.submit), acceptor.WithRecorder(s.buffer),
		acceptor.WithIsolator(s.isolate), acceptor.WithTraces(s.settings.Traces),
		acceptor.WithScope(s.export.Scope.SubScope("query")))
}

// serve builds the servers towards callers, backend servers, the platform, operators and other hosts.
func (s *Server) serve(accept *acceptor.Acceptor) {
	announce := announcer.New(s.table, peerer.NewForwarder(s.settings.Name, s.dial, s.table.Owner, s.clock), s.clock,
		announcer.WithRedirect(s.sync.Redirect))
	inspect := inspector.New(s.settings.Name, s.settings.Center, s.follow, s.table, s.probe, s.sync, s.stopping.Load, s.meter.calls.Load, s.clock)
	// The gate refuses queries only: a draining host still takes announcements and can be inspected.
	queries := connect.WithInterceptors(authorizer.Interceptor(access), tenancy(), s.gate.intercept())
	allowed := connect.WithInterceptors(authorizer.Interceptor(access))
	small := connect.WithReadMaxBytes(maxSmall)
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewQueryServiceHandler(accept, queries, connect.WithReadMaxBytes(s.settings.Body+maxEnvelope)))
	mux.Handle(backendv1connect.NewAnnounceServiceHandler(announce, allowed, small))
	mux.Handle(operatorv1connect.NewHostServiceHandler(inspect, allowed, small))
	mux.Handle("GET /metrics", s.export.Handler)
	mux.HandleFunc("GET /ready", s.serveReady)
	s.callers = transporter.Server(s.gate.farewell(authorizer.Handler(mux, s.security.Open())))
	s.conns = drainer.New(s.clock)
	s.peers = s.security.GRPCServer(grpc.StatsHandler(s.counter))
	peerv1.RegisterPeerServiceServer(s.peers, peers{
		peerer.New(s.meter, s.probe, s.sync, s.hold, s.table, s.follow, s.clock), s.isolate,
	})
}

// peers is the service for other hosts: the isolator takes the reports of suspects, the peerer all other calls.
type peers struct {
	*peerer.Peerer
	*isolator.Isolator
}

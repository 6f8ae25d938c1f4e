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

// New builds the components of an entry host from validated settings, in the order of their dependencies.
func New(s settings.Entry, clock func() time.Time) (*Server, error) {
	timeout, err := time.ParseDuration(s.Timeout)
	if err != nil {
		return nil, oops.In("server").Wrapf(err, "timeout")
	}
	security, err := newSecurity(s, clock)
	if err != nil {
		return nil, err
	}
	now := clock()
	incarnation := uint64(now.UnixNano())
	out := &Server{
		settings: s, clock: clock, security: security, exporter: exporter.New("lycheelift_entry"), table: cataloguer.New(now),
		follower: follower.New(now, follower.WithHost(s.Name, s.Center), follower.WithClock(clock)),
	}
	out.buildConnections()
	out.buildExecutor()
	out.buildMembership(incarnation)
	out.buildControlClients(incarnation)
	out.buildDispatcher()
	out.buildServers(out.buildAcceptor(timeout))
	return out, nil
}

// buildConnections builds the dialer for connections to other hosts, with its traffic counters.
func (s *Server) buildConnections() {
	s.rpcCounter = peerer.NewRPCCounter(s.exporter.Scope)
	s.byteCounter = peerer.NewByteCounter(s.exporter.Scope)
	s.dialer = peerer.NewDialer(s.follower, s.security.Conns(grpc.WithStatsHandler(s.rpcCounter), grpc.WithContextDialer(s.byteCounter.Dial)))
}

// buildExecutor builds the executor, which calls the leaves that this host owns.
func (s *Server) buildExecutor() {
	s.executor = executor.New(s.settings.Name, s.settings.Center, s.table, s.follower, s.clock,
		executor.WithScope(s.exporter.Scope.SubScope("owner")))
	s.callMeter = &callMeter{next: s.executor, clock: s.clock}
}

// buildMembership builds the failure detector, the leases and the synchronisation of state between hosts.
func (s *Server) buildMembership(incarnation uint64) {
	name, center := s.settings.Name, s.settings.Center
	s.prober = prober.New(name, incarnation, s.follower, s.dialer, s.clock)
	s.follower.Connect(s.dialer, s.prober.Live)
	s.holder = holder.New(name, s.dialer, s.table, s.follower, s.clock, holder.WithActiveCalls(s.executor.Active), holder.WithLeaseListener(s.executor.LeaseChanged),
		holder.WithLiveness(liveness{self: name, prober: s.prober, follower: s.follower}))
	s.executor.SetLeases(s.holder)
	s.syncer = syncer.New(name, center, incarnation, s.table, s.follower, s.dialer, heldLeases{s.holder}, s.prober.AcceptsCalls, s.clock)
	s.syncer.SetCallers(s.settings.Listen.Callers)
	s.prober.Connect(s.syncer)
	s.follower.OnChange(s.prober.Reconfigure)
	s.follower.OnChange(s.syncer.Reconfigure)
}

// buildControlClients builds the clients of the control hosts: one for requests with an idempotency key, one for the
// record of answers.
func (s *Server) buildControlClients(incarnation uint64) {
	name := s.settings.Name
	s.submitter = submitter.New(name, int64(incarnation), submitter.Clients(s.settings.Control, s.dialer), s.clock) //nolint:gosec // From a positive int64.
	s.answers = recorder.NewBuffer(name, incarnation, recorder.DefaultLimit)
	s.shipper = shipper.New(name, s.answers, s.settings.Control, s.dialer, s.clock)
}

// buildDispatcher builds the dispatcher, which sends calls to the owners of leaves, and the isolator.
func (s *Server) buildDispatcher() {
	mismatched := s.exporter.Scope.Counter("replies_mismatched")
	s.dispatcher = dispatcher.New(s.settings.Name, s.callMeter, s.dialer, dispatcher.WithMismatch(func(r *peerv1.CallResult) {
		mismatched.Inc(1)
		eventer.ReplyMismatched.Log(s.clock(), "attempt", r.GetAttempt(), "leaf", r.GetLeaf())
	}))
	s.isolator = isolator.New(s.settings.Name, func() []ranker.Cell { return s.follower.View().Cells }, s.dialer, s.clock)
}

// buildAcceptor builds the query service for callers.
func (s *Server) buildAcceptor(timeout time.Duration) *acceptor.Acceptor {
	return acceptor.New(s.settings.Name, s.settings.Center, s.table, s.follower, s.dispatcher, s.clock,
		acceptor.WithMaxBody(s.settings.Body), acceptor.WithDefaultTimeout(timeout), acceptor.WithMaxConcurrentQueries(s.settings.Queries),
		acceptor.WithOwners(ownerResolver{s.holder}), acceptor.WithSubmitter(s.submitter), acceptor.WithRecorder(s.answers),
		acceptor.WithIsolator(s.isolator), acceptor.WithTraces(s.settings.Traces),
		acceptor.WithScope(s.exporter.Scope.SubScope("query")))
}

// buildServers builds the servers for callers, backend servers, the platform, operators and other hosts.
func (s *Server) buildServers(queryService *acceptor.Acceptor) {
	announceService := announcer.New(s.table, peerer.NewForwarder(s.settings.Name, s.dialer, s.table.Owner, s.clock), s.clock,
		announcer.WithOwnerAddress(s.syncer.OwnerAddress))
	hostService := inspector.New(s.settings.Name, s.settings.Center, s.follower, s.table, s.prober, s.syncer, s.stopping.Load, s.callMeter.calls.Load, s.clock)
	// The gate refuses only queries: a draining host still accepts announcements and inspection requests.
	queryOptions := connect.WithInterceptors(authorizer.Interceptor(rolesByProcedure), tenantInterceptor(), s.gate.interceptor())
	roleOptions := connect.WithInterceptors(authorizer.Interceptor(rolesByProcedure))
	sizeOption := connect.WithReadMaxBytes(maxSmallMessageBytes)
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewQueryServiceHandler(queryService, queryOptions, connect.WithReadMaxBytes(s.settings.Body+queryOverheadBytes)))
	mux.Handle(backendv1connect.NewAnnounceServiceHandler(announceService, roleOptions, sizeOption))
	mux.Handle(operatorv1connect.NewHostServiceHandler(hostService, roleOptions, sizeOption))
	mux.Handle("GET /metrics", s.exporter.Handler)
	mux.HandleFunc("GET /ready", s.serveReady)
	s.callerServer = transporter.NewServer(s.gate.closeWhenDraining(authorizer.Handler(mux, s.security.Open())))
	s.callerConns = drainer.New(s.clock)
	s.peerServer = s.security.GRPCServer(grpc.StatsHandler(s.rpcCounter))
	peerv1.RegisterPeerServiceServer(s.peerServer, peerService{
		peerer.New(s.callMeter, s.prober, s.syncer, s.holder, s.table, s.follower, s.clock), s.isolator,
	})
}

// peerService is the service for other hosts: the isolator handles reports of suspected requests, the peerer all other
// calls.
type peerService struct {
	*peerer.Peerer
	*isolator.Isolator
}

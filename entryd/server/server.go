// Package server starts the parts of an entry host and stops them gracefully.
package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"lycheelift.example/entryd/dispatcher"
	"lycheelift.example/entryd/executor"
	"lycheelift.example/entryd/follower"
	"lycheelift.example/entryd/holder"
	"lycheelift.example/entryd/isolator"
	"lycheelift.example/entryd/peerer"
	"lycheelift.example/entryd/prober"
	"lycheelift.example/entryd/shipper"
	"lycheelift.example/entryd/submitter"
	"lycheelift.example/entryd/syncer"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/exporter"
	"lycheelift.example/lib/recorder"
	"lycheelift.example/lib/transporter"
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
	isolate    *isolator.Isolator
	buffer     *recorder.Buffer
	counter    *peerer.Counter
	callers    *http.Server
	conns      *drainer.Drainer
	peers      *grpc.Server
	background context.CancelFunc
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
	callers = s.conns.Attach(s.callers, callers)
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

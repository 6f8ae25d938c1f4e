// Package server starts the components of an entry host and stops them gracefully.
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

	exporter       *exporter.Exporter
	table          *cataloguer.Table
	follower       *follower.Follower
	executor       *executor.Executor
	holder         *holder.Holder
	submitter      *submitter.Submitter
	shipper        *shipper.Shipper
	prober         *prober.Prober
	syncer         *syncer.Syncer
	callMeter      *callMeter
	gate           queryGate
	dialer         *peerer.Dialer
	byteCounter    *peerer.ByteCounter
	dispatcher     *dispatcher.Dispatcher
	isolator       *isolator.Isolator
	answers        *recorder.Buffer
	rpcCounter     *peerer.RPCCounter
	callerServer   *http.Server
	callerConns    *drainer.Drainer
	peerServer     *grpc.Server
	stopBackground context.CancelFunc
}

// ready reports whether this host accepts queries: it has a configuration, has had time to learn of the leaves, is not
// stopping, and its data centre is in service.
func (s *Server) ready() bool {
	view := s.follower.View()
	return s.serving.Load() && !s.stopping.Load() && view.Number > 0 && !s.table.Starting(s.clock()) && !s.centerRemoved(view)
}

// centerRemoved reports whether the host's data centre is taken out of service. A data centre that the configuration
// does not name yet counts as in service.
func (s *Server) centerRemoved(view *follower.View) bool {
	_, known := view.Document.Centers[s.settings.Center]
	return known && view.Excluded(s.settings.Center)
}

// serveReady answers the platform's load balancer whether this host accepts queries.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Run serves until ctx is cancelled, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	callers, err := transporter.Listen(ctx, s.settings.Listen.Callers)
	if err != nil {
		return err
	}
	callers = s.callerConns.Attach(s.callerServer, callers)
	peers, err := transporter.Listen(ctx, s.settings.Listen.Peers)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	go func() { failed <- s.security.Serve(s.callerServer, callers) }()
	go func() { failed <- s.peerServer.Serve(s.byteCounter.Listener(peers)) }()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	s.stopBackground = stop
	go s.follower.Run(background, follower.Source{Self: s.settings.Listen.Peers, Control: s.settings.Control, Seeds: s.settings.Seeds})
	go s.prober.Run(background)
	go s.syncer.Run(background)
	go s.holder.Run(background)
	go s.executor.Run(background)
	go s.shipper.Run(background)
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

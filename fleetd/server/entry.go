package server

import (
	"context"
	"net"
	"time"

	"github.com/samber/oops"
	tally "github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"lycheelift.example/fleetd/acquirer"
	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/fleetd/confirmer"
	"lycheelift.example/fleetd/exchanger"
	"lycheelift.example/fleetd/explainer"
	"lycheelift.example/fleetd/follower"
	"lycheelift.example/fleetd/helper"
	"lycheelift.example/fleetd/linker"
	"lycheelift.example/fleetd/receiver"
	"lycheelift.example/fleetd/suspector"
	"lycheelift.example/fleetd/tallier"
	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/exporter"
	"lycheelift.example/lib/roller"
	"lycheelift.example/lib/router"
	"lycheelift.example/platform"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// sweepInterval is the time between checks for connections that are no longer needed.
	sweepInterval = time.Second
	// startupInterval replaces sweepInterval before the first configuration, so that connections to helpers are open before
	// the first query.
	startupInterval = 20 * time.Millisecond
)

// Entry runs an entry host until ctx ends.
func Entry(ctx context.Context, s *Settings, clock func() time.Time) error {
	metrics := exporter.New("lycheelift")
	defer func() { _ = metrics.Close() }()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	var client *follower.Client
	suspects := suspector.New(suspector.WithArbiter(func(ctx context.Context, m *peerv1.TryRequest) (*peerv1.TryResponse, error) {
		return client.Arbitrate(ctx, m)
	}), suspector.WithFollowed(func() <-chan struct{} {
		_, next := client.Followed()
		return next
	}))
	tally := roller.NewTally(s.peers.String(), uint64(clock().UnixNano()))
	viewFollower := follower.New(platform.DecodeDocument, clock(), follower.WithLossHandler(suspects.Merge), follower.WithRolloutHandler(tally.Update))
	client = follower.NewClient(viewFollower, s.Name, s.Center, s.peers.String(), s.controls, clock)
	go client.Run(running)
	go suspects.Run(running, client.Report, clock)
	go tallier.Run(running, tally, func(now time.Time) bool { return viewFollower.View().Fresh(now) }, client, clock)
	limits := func() router.Limits {
		if t := viewFollower.View().Table; t != nil {
			return t.Document().Limits
		}
		return router.Limits{}
	}
	requestReceiver := receiver.New(limits, s.grace, clock)
	exchange := exchanger.New(platform.Leaf{}, clock, exchanger.WithQuota(s.quota()))
	quotas := acquirer.New(client.Control, newBootClock(), acquirer.WithScope(metrics.Scope), acquirer.WithOthers(client.Others))
	if s.quotaWindow > 0 {
		go quotas.Run(running) // Otherwise tokens are only obtained when they are needed.
	}
	helperClient := helper.NewClient(clock)
	confirmed, serves := confirmations(running, s, viewFollower, client, metrics.Scope, clock)
	queryAnswerer := answerer.New(s.Name, s.Center, viewFollower, exchange, answerer.Bounds{
		Ratio: s.Bounds.Ratio, Slack: s.Bounds.Slack, Window: s.window, Cold: s.Bounds.Cold, ColdSlack: s.Bounds.Coldslack,
	}, clock, answerer.WithScope(metrics.Scope), answerer.WithSuspects(suspects), answerer.WithStopSchedule(requestReceiver.Schedule),
		answerer.WithTally(tally), answerer.WithHelpers(s.peers.String(), s.Portion, s.Gatherers, helperClient), answerer.WithConfirmation(confirmed),
		answerer.WithQuotas(quotas), answerer.WithPreview(answerer.Preview{Quota: answerer.PreviewQuota(quotas)}),
		answerer.WithAdmission(s.Shed))
	go queryAnswerer.WatchProcessor(running)
	go sweep(running, clock, func() bool { return viewFollower.View().Table != nil },
		exchange.Sweep, queryAnswerer.Sweep, func(now time.Time) { helperClient.CloseUnlisted(viewFollower.View().EntryHosts(), now) })
	ready := func() bool {
		return !requestReceiver.Stopping() && viewFollower.View().Table != nil && !queryAnswerer.CutOff(clock()) && serves()
	}
	closing := func() bool { return requestReceiver.Stopping() || queryAnswerer.CutOff(clock()) || !serves() }
	go func() {
		if err := serve(running, s.Listen.Ready, platform.Ready(ready)); err != nil {
			eventer.ServeFailed.Log(clock(), "address", s.Listen.Ready, "error", err.Error())
		}
	}()
	go serveMetrics(running, s.Listen.Metrics, metrics, clock)
	explain, err := explainer.NewService(s.Name, queryAnswerer, clock)
	if err != nil {
		return err
	}
	peers := newPeers(helper.NewService(queryAnswerer, requestReceiver.Stopping, clock), explain)
	go func() {
		if err := servePeers(running, s, peers); err != nil {
			eventer.ServeFailed.Log(clock(), "address", s.bind, "error", err.Error())
		}
	}()
	eventer.Started.Log(clock(), "host", s.Name, "role", "entry", "center", s.Center, "callers", s.Listen.Callers, "seeds", s.Seeds)
	go func() {
		<-ctx.Done()
		eventer.Draining.Log(clock(), "host", s.Name)
	}()
	err = requestReceiver.Run(ctx, s.Listen.Callers, platform.NewIngress(queryAnswerer, limits, closing, clock))
	finishPortions(peers, requestReceiver.Schedule(), clock())
	eventer.Stopped.Log(clock(), "host", s.Name)
	return err
}

// confirmations keeps the state of this host confirmed if the settings require it. It returns functions that report whether
// the state may be relied on for keys, and whether this host can serve all routes.
func confirmations(ctx context.Context, s *Settings, f *follower.Follower, c *follower.Client, scope tally.Scope, clock func() time.Time) (confirmed, serves func() bool) {
	if s.revoke == 0 {
		always := func() bool { return true }
		return always, always
	}
	control := &linker.Confirmer{}
	hostConfirmer := confirmer.New(s.revoke, f, c, control, clock, confirmer.WithScope(scope))
	go func() {
		defer control.Close()
		hostConfirmer.Run(ctx)
	}()
	return hostConfirmer.Confirmed, hostConfirmer.Serves
}

// newPeers returns the server of the portions that this host gathers for other entry hosts, and of explanations.
func newPeers(service *helper.Service, explain *explainer.Service) *grpc.Server {
	_, options := linker.Options()
	peers := grpc.NewServer(options...)
	peerv1.RegisterGatherServiceServer(peers, service)
	peerv1.RegisterExplainServiceServer(peers, explain)
	return peers
}

// servePeers serves the other entry hosts until ctx ends.
func servePeers(ctx context.Context, s *Settings, peers *grpc.Server) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.bind)
	if err != nil {
		return oops.In("server").Wrapf(err, "listen on %s", s.bind)
	}
	stop := context.AfterFunc(ctx, peers.Stop)
	defer stop()
	return oops.In("server").Wrapf(peers.Serve(listener), "serve %s", s.bind)
}

// finishPortions waits until the portions in progress have ended, or until the end of the graceful stop.
func finishPortions(peers *grpc.Server, stop *drainer.Schedule, now time.Time) {
	if stop == nil {
		return
	}
	timer := time.AfterFunc(stop.End.Sub(now), peers.Stop)
	defer timer.Stop()
	peers.GracefulStop()
}

// sweep calls each function as soon as the host is configured, and then every sweepInterval until ctx ends.
func sweep(ctx context.Context, clock func() time.Time, configured func() bool, functions ...func(now time.Time)) {
	ticker := time.NewTicker(startupInterval)
	defer ticker.Stop()
	first := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if first && !configured() {
			continue
		}
		if first {
			first = false
			ticker.Reset(sweepInterval)
		}
		for _, f := range functions {
			f(clock())
		}
	}
}

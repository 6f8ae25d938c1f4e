package server

import (
	"context"
	"time"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/fleetd/exchanger"
	"lycheelift.example/fleetd/follower"
	"lycheelift.example/fleetd/receiver"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/exporter"
	"lycheelift.example/lib/router"
	"lycheelift.example/platform"
)

// sweepInterval is the time between two looks for connections to leaves that have expired.
const sweepInterval = time.Second

// Entry serves an entry host until ctx ends.
func Entry(ctx context.Context, s *Settings, clock func() time.Time) error {
	metrics := exporter.New("lycheelift")
	defer func() { _ = metrics.Close() }()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	follow := follower.New(platform.DecodeDocument, clock())
	client := follower.NewClient(follow, s.Name, s.Center, s.controls, clock)
	go client.Run(running)
	exchange := exchanger.New(platform.Leaf{}, clock)
	go sweep(running, exchange, clock)
	answer := answerer.New(s.Name, s.Center, follow, exchange, answerer.Bounds{
		Ratio: s.Bounds.Ratio, Slack: s.Bounds.Slack, Window: s.window, Cold: s.Bounds.Cold, ColdSlack: s.Bounds.Coldslack,
	}, clock, answerer.WithScope(metrics.Scope))
	limits := func() router.Limits {
		if t := follow.View().Table; t != nil {
			return t.Document().Limits
		}
		return router.Limits{}
	}
	receive := receiver.New(func() time.Duration { return limits().Idle }, s.grace, clock)
	ready := func() bool { return !receive.Stopping() && follow.View().Table != nil && !answer.CutOff(clock()) }
	closing := func() bool { return receive.Stopping() || answer.CutOff(clock()) }
	go func() {
		if err := serve(running, s.Listen.Ready, platform.Ready(ready)); err != nil {
			eventer.ServeFailed.Log(clock(), "address", s.Listen.Ready, "error", err.Error())
		}
	}()
	go serveMetrics(running, s.Listen.Metrics, metrics, clock)
	eventer.Started.Log(clock(), "host", s.Name, "role", "entry", "center", s.Center, "callers", s.Listen.Callers, "seeds", s.Seeds)
	go func() {
		<-ctx.Done()
		eventer.Draining.Log(clock(), "host", s.Name)
	}()
	err := receive.Run(ctx, s.Listen.Callers, platform.NewIngress(answer, limits, closing, clock))
	eventer.Stopped.Log(clock(), "host", s.Name)
	return err
}

func sweep(ctx context.Context, e *exchanger.Exchanger, clock func() time.Time) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.Sweep(clock())
		}
	}
}

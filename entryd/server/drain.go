package server

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"lycheelift.example/lib/eventer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

const (
	// stopTimeout bounds the whole graceful stop after the balancer's time.
	stopTimeout = 30 * time.Second
	// handover is the time in which other hosts of the cell take over this host's leaves and say so. They look at
	// their leaves every 200 ms and push a change at most once a second.
	handover = 1500 * time.Millisecond
	// quietTime is the time without a call after which no other host sends any more.
	quietTime = 500 * time.Millisecond
	// hangUpTimeout bounds the time in which callers' connections end; a caller that sends on without a pause is told
	// with each answer that its connection ends.
	hangUpTimeout = 5 * time.Second
	// checkInterval is the time between two looks at what still runs.
	checkInterval = 10 * time.Millisecond
)

// gate counts queries in progress and refuses new ones when it is closed.
type gate struct {
	closed atomic.Bool
	active atomic.Int64
}

// intercept refuses queries with "draining, not run" after the gate was closed. A query counts before the gate is
// looked at, so that none slips past the wait.
func (g *gate) intercept() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			g.active.Add(1)
			defer g.active.Add(-1)
			if g.closed.Load() {
				id := ""
				if q, ok := request.Any().(*callerv1.QueryRequest); ok {
					id = q.GetId()
				}
				return nil, draining(id)
			}
			return next(ctx, request)
		}
	}
}

// farewell tells callers of a draining host with each answer that their connection ends.
func (g *gate) farewell(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.closed.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func draining(id string) error {
	return refuse(connect.CodeUnavailable, &callerv1.Refusal{
		Id: id, Outcome: callerv1.Outcome_OUTCOME_REFUSED, Reason: callerv1.Reason_REASON_DRAINING, Text: "this host is draining",
	})
}

// drain fails readiness first, gives the balancer time, lets queries end, hands the leaves over, lets the calls of
// other hosts end, and stops. A second signal or the time limit cuts it short.
func (s *Server) drain() error {
	eventer.Draining.Log(s.clock(), "host", s.settings.Name)
	s.stopping.Store(true)
	grace, err := time.ParseDuration(s.settings.Grace)
	if err != nil {
		return oops.In("server").Wrapf(err, "grace")
	}
	signals, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signals, grace+stopTimeout)
	defer cancel()
	pause(ctx, grace)
	s.gate.closed.Store(true)
	s.until(ctx, func() bool { return s.gate.active.Load() == 0 })
	s.submit.Close(ctx)
	s.probe.Leave(ctx)
	if err := s.hold.Release(ctx); err != nil {
		eventer.LeaseUnheld.Log(s.clock(), "error", err.Error())
	}
	pause(ctx, handover)
	s.sync.Silence(ctx)
	s.until(ctx, func() bool { return s.meter.quiet(quietTime) })
	if ctx.Err() != nil {
		eventer.StopForced.Log(s.clock(), "queries", s.gate.active.Load(), "calls", s.meter.active.Load())
	}
	return s.close(ctx)
}

func (s *Server) until(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		pause(ctx, checkInterval)
	}
}

func (s *Server) close(ctx context.Context) error {
	if s.background != nil {
		s.background()
	}
	err := s.hangUp(ctx)
	s.ship.Close(ctx)
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

// hangUp closes the connections of callers, none of them on which a request has arrived.
func (s *Server) hangUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hangUpTimeout)
	defer cancel()
	return s.conns.Stop(ctx, s.callers)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

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
	// stopTimeout bounds the graceful stop, not counting the grace period for the load balancer.
	stopTimeout = 30 * time.Second
	// handoverTime is how long other hosts of the cell need to take over this host's leaves and publish the new owners:
	// they check their leaves every 200 ms and push changes at most once a second.
	handoverTime = 1500 * time.Millisecond
	// idleTime is the time without a new call after which other hosts are taken to have stopped sending calls.
	idleTime = 500 * time.Millisecond
	// disconnectTimeout bounds the wait for callers' connections to close. A caller that keeps sending requests gets
	// "Connection: close" with each response.
	disconnectTimeout = 5 * time.Second
	// pollInterval is the time between two checks for work in progress.
	pollInterval = 10 * time.Millisecond
)

// queryGate counts queries in progress and refuses new ones once it is closed.
type queryGate struct {
	closed atomic.Bool
	active atomic.Int64
}

// interceptor refuses queries with "draining, not run" once the gate is closed. A query is counted before the gate is
// checked; otherwise a query could pass the gate without being counted, and the drain would not wait for it.
func (g *queryGate) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			g.active.Add(1)
			defer g.active.Add(-1)
			if g.closed.Load() {
				id := ""
				if q, ok := request.Any().(*callerv1.QueryRequest); ok {
					id = q.GetId()
				}
				return nil, drainingError(id)
			}
			return next(ctx, request)
		}
	}
}

// closeWhenDraining adds "Connection: close" to each response once the gate is closed.
func (g *queryGate) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.closed.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func drainingError(id string) error {
	return refusalError(connect.CodeUnavailable, &callerv1.Refusal{
		Id: id, Outcome: callerv1.Outcome_OUTCOME_REFUSED, Reason: callerv1.Reason_REASON_DRAINING, Text: "this host is draining",
	})
}

// drain stops the host gracefully. It fails the readiness check, waits for the load balancer to react, waits for queries
// in progress, hands the leaves over to other hosts, waits for the calls of other hosts, and closes. A second signal or
// the time limit skips the remaining waits.
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
	sleep(ctx, grace)
	s.gate.closed.Store(true)
	s.waitUntil(ctx, func() bool { return s.gate.active.Load() == 0 })
	s.submitter.Close(ctx)
	s.prober.Leave(ctx)
	if err := s.holder.Release(ctx); err != nil {
		eventer.LeaseReleaseFailed.Log(s.clock(), "error", err.Error())
	}
	sleep(ctx, handoverTime)
	s.syncer.Withdraw(ctx)
	s.waitUntil(ctx, func() bool { return s.callMeter.idle(idleTime) })
	if ctx.Err() != nil {
		eventer.StopForced.Log(s.clock(), "queries", s.gate.active.Load(), "calls", s.callMeter.active.Load())
	}
	return s.close(ctx)
}

func (s *Server) waitUntil(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		sleep(ctx, pollInterval)
	}
}

func (s *Server) close(ctx context.Context) error {
	if s.stopBackground != nil {
		s.stopBackground()
	}
	err := s.disconnectCallers(ctx)
	s.shipper.Close(ctx)
	s.dispatcher.Close()
	s.executor.Close()
	s.dialer.Close()
	s.peerServer.Stop()
	if err := s.exporter.Close(); err != nil {
		return oops.In("server").Wrapf(err, "close metrics")
	}
	eventer.Stopped.Log(s.clock(), "host", s.settings.Name)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return oops.In("server").Wrapf(err, "stop")
	}
	return nil
}

// disconnectCallers closes the connections of callers without cutting off a request that has arrived.
func (s *Server) disconnectCallers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, disconnectTimeout)
	defer cancel()
	return s.callerConns.Stop(ctx, s.callerServer)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Package server starts the components of a control host and stops them gracefully.
package server

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"
	"google.golang.org/grpc"

	"lycheelift.example/controld/keeper"
	"lycheelift.example/controld/operator"
	"lycheelift.example/controld/pusher"
	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	"lycheelift.example/lib/authorizer"
	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/transporter"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	settings "lycheelift.example/schema/gen/settings/controld"
)

const (
	// stopTimeout bounds the wait for requests in progress on a graceful stop.
	stopTimeout = 10 * time.Second
	// operatorStopTimeout is the part of stopTimeout for the calls of operators.
	operatorStopTimeout = 5 * time.Second
	// handOverTimeout bounds the transfer of leadership to another host on a graceful stop.
	handOverTimeout = 3 * time.Second
	// maxMessage bounds a message between control hosts, in bytes. A batch or chunk has 1 MiB, but one record may be larger.
	maxMessage = 16 << 20
	// logFolder is the subfolder of the data folder for the replicated log.
	logFolder = "log"
)

// Run runs a control host until ctx ends.
func Run(ctx context.Context, s settings.Control, clock func() time.Time) error {
	security, err := loadSecurity(s, clock)
	if err != nil {
		return err
	}
	machine := store.NewMachine()
	config, err := configure(s, clock)
	if err != nil {
		return err
	}
	config.Dial = []grpc.DialOption{security.DialOption()}
	r, err := replica.Open(config, filepath.Join(s.Data, logFolder), machine)
	if err != nil {
		return err
	}
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan error, 1)
	go func() { logDone <- r.Run(logCtx) }()
	err = serve(ctx, s, clock, r, store.New(machine, replicaLog{r}, clock), security)
	stopLog()
	return errors.Join(err, <-logDone)
}

// configure converts the settings. The schema has already validated the format of the durations.
func configure(s settings.Control, clock func() time.Time) (replica.Config, error) {
	election, err := time.ParseDuration(s.Election)
	if err != nil {
		return replica.Config{}, oops.In("server").Wrapf(err, "election")
	}
	heartbeat, err := time.ParseDuration(s.Heartbeat)
	if err != nil {
		return replica.Config{}, oops.In("server").Wrapf(err, "heartbeat")
	}
	if heartbeat <= 0 || election < 2*heartbeat {
		return replica.Config{}, oops.In("server").Errorf("election must be at least twice the heartbeat, and the heartbeat above zero")
	}
	out := replica.Config{
		Host: s.Name, Join: s.Join, Election: election, Heartbeat: heartbeat, SnapshotInterval: uint64(s.Compact), //nolint:gosec // The schema demands at least 16.
		Clock: clock, Seed: seed(s.Name, clock()),
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, replica.Peer{Host: m.Name, Address: m.Address})
	}
	return out, nil
}

// seed differs between hosts and between starts, so that the election timeouts differ too.
func seed(host string, now time.Time) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	return h.Sum64() ^ uint64(now.UnixNano())
}

func serve(ctx context.Context, s settings.Control, clock func() time.Time, r *replica.Replica, state *store.Store, security *transporter.Security) error {
	record, closeRecord, err := openRecord(s)
	if err != nil {
		return err
	}
	defer closeRecord()
	conns := security.Conns()
	defer conns.Close()
	push := pusher.New(source{Store: state, replica: r}, conns, clock)
	go push.Run(ctx)
	pushStore := pushingStore{Store: state, push: push}
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(operator.New(pushStore, replicaGroup{r}, record, clock),
		connect.WithInterceptors(authorizer.Interceptor(access)), connect.WithReadMaxBytes(maxRequest)))
	operators := transporter.NewServer(authorizer.Handler(mux, security.Open()))
	peers := security.GRPCServer(grpc.MaxRecvMsgSize(maxMessage))
	peerv1.RegisterControlServiceServer(peers, keeper.New(pushStore, record, clock))
	peerv1.RegisterReplicaServiceServer(peers, r.Service())
	operatorListener, err := transporter.Listen(ctx, s.Listen.Operators)
	if err != nil {
		return err
	}
	peerListener, err := transporter.Listen(ctx, s.Listen.Peers)
	if err != nil {
		return err
	}
	operatorCalls := drainer.New(clock)
	operatorListener = operatorCalls.Attach(operators, operatorListener)
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- security.Serve(operators, operatorListener) }()
	go func() { serveErrors <- peers.Serve(peerListener) }()
	eventer.Started.Log(clock(), "host", s.Name, "operators", operatorListener.Addr().String(), "peers", peerListener.Addr().String())
	select {
	case err := <-serveErrors:
		return oops.In("server").Wrapf(err, "serve")
	case <-ctx.Done():
	}
	eventer.Draining.Log(clock(), "host", s.Name)
	err = stop(func(ctx context.Context) error { return operatorCalls.Stop(ctx, operators) }, peers, r)
	eventer.Stopped.Log(clock(), "host", s.Name)
	return oops.In("server").Wrapf(err, "stop")
}

// stop transfers leadership, so that the group does not have to wait for an election timeout, and finishes the requests in
// progress.
func stop(stopOperators func(context.Context) error, peers *grpc.Server, r *replica.Replica) error {
	handOverCtx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	// If no host takes over, the group elects a leader after the election timeout.
	_ = r.HandOver(handOverCtx)
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	operatorCtx, cancel := context.WithTimeout(stopCtx, operatorStopTimeout)
	defer cancel()
	err := stopOperators(operatorCtx)
	peersStopped := make(chan struct{})
	go func() {
		peers.GracefulStop()
		close(peersStopped)
	}()
	select {
	case <-peersStopped:
	case <-stopCtx.Done():
		peers.Stop()
	}
	return err
}

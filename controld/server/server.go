// Package server starts the parts of a control host and stops them gracefully.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"lycheelift.example/controld/operator"
	"lycheelift.example/controld/pusher"
	"lycheelift.example/lib/configurator"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/transporter"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	settings "lycheelift.example/schema/gen/settings/controld"
)

// stopTimeout bounds the wait for requests in progress on a graceful stop.
const stopTimeout = 10 * time.Second

// Run serves a control host until ctx ends.
func Run(ctx context.Context, s settings.Control, clock func() time.Time) error {
	st := &store{clock: clock, machine: configurator.New()}
	push := pusher.New(st, pusher.NewConns(), clock)
	st.push = push
	go push.Run(ctx)
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(operator.New(st)))
	operators := transporter.Server(mux)
	peers := grpc.NewServer()
	peerv1.RegisterControlServiceServer(peers, st)
	operatorListener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Listen.Operators)
	if err != nil {
		return oops.In("server").Wrapf(err, "listen for operators")
	}
	peerListener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Listen.Peers)
	if err != nil {
		return oops.In("server").Wrapf(err, "listen for peers")
	}
	failed := make(chan error, 2)
	go func() { failed <- operators.Serve(operatorListener) }()
	go func() { failed <- peers.Serve(peerListener) }()
	eventer.Started.Log(clock(), "host", s.Name, "operators", operatorListener.Addr().String(), "peers", peerListener.Addr().String())
	select {
	case err := <-failed:
		return oops.In("server").Wrapf(err, "serve")
	case <-ctx.Done():
	}
	eventer.Draining.Log(clock(), "host", s.Name)
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err = operators.Shutdown(stop)
	peers.GracefulStop()
	eventer.Stopped.Log(clock(), "host", s.Name)
	return oops.In("server").Wrapf(err, "stop")
}

// Package linker receives the state stream of a control host and detects when the stream goes silent.
package linker

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"lycheelift.example/lib/connector"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// KeepaliveInterval is the time without changes after which a control host sends a message anyway.
	KeepaliveInterval = 400 * time.Millisecond
	// SilenceTimeout is the time without a message after which a stream is closed: three keepalive messages may be late or lost.
	SilenceTimeout = 1500 * time.Millisecond
	// dialTimeout bounds the time to open a connection, and dialInterval is the time after which a further attempt is started.
	// Between regions a connection takes some 20 ms.
	dialTimeout  = 300 * time.Millisecond
	dialInterval = 60 * time.Millisecond
	// windowBytes is the flow control window of a stream and of its connection.
	windowBytes = 64 << 10
	// bufferBytes is the size of a connection's read buffer and of its write buffer.
	bufferBytes = 4 << 10
)

// MaxMessageBytes bounds a message between hosts: it holds a document of the largest size and a roster of some thousand leaves.
const MaxMessageBytes = 16 << 20

// Errors of a stream.
var (
	// ErrSilent means that no message arrived within SilenceTimeout.
	ErrSilent = errors.New("the control host is silent")
	// ErrDone is returned by a receive function that needs no further messages.
	ErrDone = errors.New("the stream is no longer needed")
)

// Options returns the gRPC options of clients and servers. They keep buffers small to save memory.
func Options() ([]grpc.DialOption, []grpc.ServerOption) {
	dial := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dialContext), grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	}
	serve := []grpc.ServerOption{
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes), grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
	}
	return dial, serve
}

const (
	// pingInterval is the time without activity after which the server sends a follower a keepalive ping, and pingTimeout
	// the time within which the follower must acknowledge it.
	pingInterval = time.Second
	pingTimeout  = 700 * time.Millisecond
)

// KeepaliveOption returns the server option that ends the streams of followers that are frozen or unreachable.
func KeepaliveOption() grpc.ServerOption {
	return grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout})
}

// tcpKeepalive closes a connection whose peer has lost power or its connection state before the connection is used again:
// a restarted host answers the first probe with a reset. A request sent on such a connection would be lost, and the sender
// could not tell whether it was processed.
var tcpKeepalive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// hosts opens connections to other hosts. A host without power does not answer, and TCP retransmits the first packet only
// after a second, so further attempts are started and all are given up soon.
var hosts = connector.New(func(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAliveConfig: tcpKeepalive}).DialContext(ctx, "tcp", address)
}, dialInterval, dialTimeout)

func dialContext(ctx context.Context, address string) (net.Conn, error) {
	conn, err := hosts.Dial(ctx, address)
	return conn, oops.In("linker").Wrapf(err, "connect to %s", address)
}

// connect returns a connection to a control host, which is opened when it is used first.
func connect(address string) (*grpc.ClientConn, error) {
	dial, _ := Options()
	conn, err := grpc.NewClient("passthrough:///"+address, dial...)
	return conn, oops.In("linker").Wrapf(err, "connect to %s", address)
}

// Follow opens a stream to a control host and passes each message to receive, until the stream ends, goes silent or
// receive returns an error. Messages with changes of the entry hosts are passed on with the complete list.
func Follow(ctx context.Context, address string, request *peerv1.FollowRequest, receive func(*peerv1.FollowResponse) error) error {
	conn, err := connect(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(SilenceTimeout, func() { cancel(ErrSilent) })
	defer watchdog.Stop()
	stream, err := peerv1.NewFollowServiceClient(conn).Follow(ctx, request)
	if err != nil {
		return cause(ctx, err)
	}
	var hosts []*peerv1.EntryHost
	for {
		message, err := stream.Recv()
		if err != nil {
			return cause(ctx, err)
		}
		watchdog.Reset(SilenceTimeout)
		if c := message.GetHosts(); c != nil {
			hosts = apply(hosts, c)
			message.Hosts = &peerv1.EntryHosts{Hosts: hosts, Whole: true}
		}
		if err := receive(message); err != nil {
			return err
		}
	}
}

// Report reports requests that are suspected of crashing the leaves that run them to a control host.
func Report(ctx context.Context, address string, losses []*peerv1.Loss) error {
	conn, err := connect(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = peerv1.NewFollowServiceClient(conn).ReportLosses(ctx, &peerv1.ReportLossesRequest{Losses: losses})
	return oops.In("linker").Wrapf(err, "report to %s", address)
}

// Try asks a control host whether a suspected request may run, or tells it that the request has ended.
func Try(ctx context.Context, address string, request *peerv1.TryRequest) (*peerv1.TryResponse, error) {
	conn, err := connect(address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	response, err := peerv1.NewTrialServiceClient(conn).Try(ctx, request)
	return response, oops.In("linker").Wrapf(err, "ask %s", address)
}

// cause returns the cause for which the stream was cancelled, if there is one, instead of the resulting stream error.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return oops.In("linker").Wrap(err)
}

// Package linker follows a control host over a stream and notices when the stream goes silent.
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

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// Interval is the time after which a control host sends a sign of life.
	Interval = 400 * time.Millisecond
	// Silence is the time without a message after which a stream is given up: three signs of life may be late or lost.
	Silence = 1500 * time.Millisecond
	// openTimeout bounds one attempt to open a connection.
	openTimeout = 300 * time.Millisecond
	// window is the flow control window of a stream and of its connection, in bytes.
	window = 64 << 10
	// buffer is the size of a connection's read buffer and of its write buffer, in bytes.
	buffer = 4 << 10
	// maxMessage bounds a message in bytes: a document of the largest size and a roster of some thousand leaves.
	maxMessage = 16 << 20
)

// Errors of a stream.
var (
	// ErrSilent means that no message came for the time Silence.
	ErrSilent = errors.New("the control host is silent")
	// ErrDone is returned by a receiver that wants no further message.
	ErrDone = errors.New("the stream is not wanted any more")
)

// Options returns the options of connections and of servers, which keep their buffers small: memory has a price.
func Options() ([]grpc.DialOption, []grpc.ServerOption) {
	dial := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(open), grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window),
		grpc.WithReadBufferSize(buffer), grpc.WithWriteBufferSize(buffer), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	}
	serve := []grpc.ServerOption{
		grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window), grpc.ReadBufferSize(buffer), grpc.WriteBufferSize(buffer),
		grpc.MaxRecvMsgSize(maxMessage),
	}
	return dial, serve
}

const (
	// watchInterval is the time without a message from a follower after which it is asked for a sign of life, and
	// watchTimeout the time in which the sign must come.
	watchInterval = time.Second
	watchTimeout  = 700 * time.Millisecond
)

// Watch returns the option of servers that end the streams of followers that are frozen or cut off.
func Watch() grpc.ServerOption {
	return grpc.KeepaliveParams(keepalive.ServerParameters{Time: watchInterval, Timeout: watchTimeout})
}

// probes ends a connection whose other side has lost power or its memory of the connection, before it is used again: a
// host that is back answers the first probe with a reset. What is sent on such a connection is lost, and it is not known
// whether it was taken.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// open opens a connection. A host without power answers nothing, and the first packet would be sent again only after a
// second.
func open(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: openTimeout, KeepAliveConfig: probes}).DialContext(ctx, "tcp", address)
}

// Follow opens a stream to a control host and gives each message to receive, until the stream ends, goes silent or
// receive returns an error. Receive gets the entry hosts whole, whatever the message itself says.
func Follow(ctx context.Context, address string, request *peerv1.FollowRequest, receive func(*peerv1.FollowResponse) error) error {
	dial, _ := Options()
	conn, err := grpc.NewClient("passthrough:///"+address, dial...)
	if err != nil {
		return oops.In("linker").Wrapf(err, "connect to %s", address)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(Silence, func() { cancel(ErrSilent) })
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
		watchdog.Reset(Silence)
		if c := message.GetHosts(); c != nil {
			hosts = apply(hosts, c)
			message.Hosts = &peerv1.EntryHosts{Hosts: hosts, Whole: true}
		}
		if err := receive(message); err != nil {
			return err
		}
	}
}

// Report tells a control host of a request that may end the leaves that run it.
func Report(ctx context.Context, address string, loss *peerv1.Loss) error {
	dial, _ := Options()
	conn, err := grpc.NewClient("passthrough:///"+address, dial...)
	if err != nil {
		return oops.In("linker").Wrapf(err, "connect to %s", address)
	}
	defer func() { _ = conn.Close() }()
	_, err = peerv1.NewFollowServiceClient(conn).ReportLosses(ctx, &peerv1.ReportLossesRequest{Losses: []*peerv1.Loss{loss}})
	return oops.In("linker").Wrapf(err, "report to %s", address)
}

// cause prefers the reason for which the stream was given up to the error that follows from it.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return oops.In("linker").Wrap(err)
}

package linker

import (
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"
)

const (
	// reconnectBase and reconnectMax bound the wait before a lost connection is opened again.
	reconnectBase = 50 * time.Millisecond
	reconnectMax  = 500 * time.Millisecond
	// idlePing is the time without an answer after which a connection with a call in progress is checked. gRPC permits no less.
	idlePing = 10 * time.Second
)

// Dial returns a connection that is kept and opened again when it is lost.
func Dial(address string) (*grpc.ClientConn, error) {
	dial, _ := Options()
	dial = append(
		dial,
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectMax}, //nolint:mnd // Doubled, with some jitter.
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: idlePing, Timeout: pingTimeout}),
		grpc.WithIdleTimeout(0),
	)
	conn, err := grpc.NewClient("passthrough:///"+address, dial...)
	if err != nil {
		return nil, oops.In("linker").Wrapf(err, "connect to %s", address)
	}
	conn.Connect()
	return conn, nil
}

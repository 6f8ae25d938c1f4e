package transporter

import (
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"
)

const (
	// keepaliveTime is the idle time after which a connection between hosts is probed with a ping.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is the time within which the ping must be answered.
	keepaliveTimeout = time.Second
	// reconnectBaseDelay and reconnectMaxDelay bound the backoff before a lost connection is reopened. With gRPC's
	// default of 1 s to 2 min, a restarted host could not be probed for longer than the failure detector takes to
	// declare a host dead.
	reconnectBaseDelay = 50 * time.Millisecond
	reconnectMaxDelay  = time.Second
	// streamWindowBytes is the flow control window of a stream. A fixed size disables gRPC's bandwidth estimation, which
	// sends a ping with every message.
	streamWindowBytes = 1 << 20
	// connWindowBytes is the flow control window of a connection.
	connWindowBytes = 4 << 20
)

// Conns caches one gRPC client connection per address. It is safe for concurrent use.
type Conns struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Conns returns an empty connection cache that uses the process's credentials.
func (s *Security) Conns(options ...grpc.DialOption) *Conns {
	base := []grpc.DialOption{
		s.DialOption(),
		grpc.WithInitialWindowSize(streamWindowBytes), grpc.WithInitialConnWindowSize(connWindowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBaseDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	return &Conns{options: append(base, options...), conns: make(map[string]*grpc.ClientConn)}
}

// DialAddress returns the connection to an address. The connection is established on first use.
func (c *Conns) DialAddress(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.options...)
	if err != nil {
		return nil, oops.In("transporter").Wrapf(err, "connect to %s", address)
	}
	c.conns[address] = conn
	return conn, nil
}

// Close closes every connection.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

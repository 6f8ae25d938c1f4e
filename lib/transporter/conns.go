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
	// keepaliveTime is the silence after which a connection between hosts is probed.
	keepaliveTime = 10 * time.Second
	// keepaliveAnswer is the time in which the probe must be answered.
	keepaliveAnswer = time.Second
	// reconnectFirst and reconnectMost bound the wait before a lost connection is opened again. The default of gRPC,
	// 1 s to 2 min, would keep a restarted host from being probed for longer than the detector takes.
	reconnectFirst = 50 * time.Millisecond
	reconnectMost  = time.Second
	// window is the flow control window of a stream, in bytes. A fixed size turns off the estimation of bandwidth,
	// which sends a ping with every message.
	window = 1 << 20
	// connWindow is the flow control window of a connection, in bytes.
	connWindow = 4 << 20
)

// Conns holds one gRPC connection per address. It is safe for concurrent use.
type Conns struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Conns returns an empty set of connections with the process's credentials.
func (s *Security) Conns(options ...grpc.DialOption) *Conns {
	base := []grpc.DialOption{
		s.DialOption(),
		grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(connWindow),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectFirst, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectMost},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveAnswer}),
	}
	return &Conns{options: append(base, options...), conns: make(map[string]*grpc.ClientConn)}
}

// DialAddress returns the connection to an address. It is opened when it is first used.
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

package peerer

import (
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"lycheelift.example/entryd/follower"
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
	// Window is the flow control window of a stream, in bytes. A fixed size turns
	// off the estimation of bandwidth, which sends a ping with every message.
	Window = 1 << 20
	// ConnWindow is the window of a connection.
	ConnWindow = 4 << 20
	// connectTimeout bounds one attempt.
	connectTimeout = time.Second
)

// Dialer holds one gRPC connection per host. It is safe for concurrent use.
type Dialer struct {
	follow *follower.Follower
	stats  stats.Handler
	wire   *Wire

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // by address
}

// NewDialer returns a dialer that finds addresses in the configuration in force.
func NewDialer(follow *follower.Follower, counter stats.Handler, wire *Wire) *Dialer {
	return &Dialer{follow: follow, stats: counter, wire: wire, conns: make(map[string]*grpc.ClientConn)}
}

// Dial returns the connection to a host by its name.
func (d *Dialer) Dial(host string) (*grpc.ClientConn, error) {
	address, ok := d.follow.View().Document.Address(host)
	if !ok {
		return nil, oops.In("peerer").Errorf("host %s is not in the configuration", host)
	}
	return d.DialAddress(address.String())
}

// DialAddress returns the connection to an address.
func (d *Dialer) DialAddress(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.conns[address]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectFirst, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectMost},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithStatsHandler(d.stats),
		grpc.WithContextDialer(d.wire.Dial),
		grpc.WithInitialWindowSize(Window), grpc.WithInitialConnWindowSize(ConnWindow),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveAnswer}))
	if err != nil {
		return nil, oops.In("peerer").Wrapf(err, "connect to %s", address)
	}
	d.conns[address] = c
	return c, nil
}

// Wake ends the wait before the next attempt to connect to a host: something was heard of it, so it runs again.
// Without this, calls to a host that came back would fail until the wait ends.
func (d *Dialer) Wake(host string) {
	conn, err := d.Dial(host)
	if err != nil {
		return
	}
	if conn.GetState() != connectivity.Ready {
		conn.ResetConnectBackoff()
		conn.Connect()
	}
}

// Close closes every connection.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
}

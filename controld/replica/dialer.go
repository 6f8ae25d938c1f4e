package replica

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// messageTimeout bounds one call between replicas. It is longer than a sync on a slow disk.
	messageTimeout = time.Second
	// connectTimeout bounds the wait for a connection on which to forward a command.
	connectTimeout = 200 * time.Millisecond
	// dialTimeout bounds one attempt to open a TCP connection. A host without power sends no reply, and the SYN packet is
	// retransmitted only after 1 s, when the host may long be up again.
	dialTimeout = 250 * time.Millisecond
	// maxInFlight bounds the outstanding requests to one host. Further ones are dropped; the protocol tolerates loss.
	maxInFlight = 32
	// keepaliveTime is the idle time after which a connection with calls in progress is probed.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout bounds the wait for the response to a probe.
	keepaliveTimeout = time.Second
)

// reconnectBackoff bounds the wait before a new attempt to connect. gRPC's default grows to two minutes, for which a
// restarted host would stay out of the group. A leader that waits longer than a heartbeat before it connects to a restarted
// host delays everything that needs the host, such as the entry hosts that know no other one.
var reconnectBackoff = backoff.Config{BaseDelay: 25 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 100 * time.Millisecond}

type connection struct {
	address  string
	client   *grpc.ClientConn
	inFlight chan struct{}
}

// dialer holds one connection per address. It is safe for concurrent use.
type dialer struct {
	options     []grpc.DialOption
	mu          sync.Mutex
	connections map[string]*connection
}

func newDialer(options []grpc.DialOption) *dialer {
	base := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: time.Second}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	return &dialer{options: append(base, options...), connections: make(map[string]*connection)}
}

func (d *dialer) dial(address string) (*connection, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.connections[address]; ok {
		return conn, nil
	}
	client, err := grpc.NewClient("passthrough:///"+address, d.options...)
	if err != nil {
		return nil, oops.In("replica").Wrapf(err, "connect to %s", address)
	}
	conn := &connection{address: address, client: client, inFlight: make(chan struct{}, maxInFlight)}
	d.connections[address] = conn
	return conn, nil
}

// drop closes a connection on which a call timed out. The network may have lost its state without a reset, which
// gRPC's keepalive would detect only after ten seconds; a new connection is cheap.
func (d *dialer) drop(conn *connection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connections[conn.address] == conn {
		delete(d.connections, conn.address)
		_ = conn.client.Close()
	}
}

// waitConnected waits up to connectTimeout for the connection to be ready. The error of a call on a connection that is
// not ready does not show whether the request was sent.
func (c *connection) waitConnected(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := c.client.GetState()
		if state == connectivity.Ready {
			return true
		}
		c.client.Connect()
		if !c.client.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

func (d *dialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.connections {
		_ = conn.client.Close()
	}
}

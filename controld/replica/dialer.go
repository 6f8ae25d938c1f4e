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
	// messageTimeout bounds one message between replicas. It is longer than a sync on a slow disk.
	messageTimeout = time.Second
	// connectTimeout bounds the wait for a connection on which to forward a command.
	connectTimeout = 200 * time.Millisecond
	// openTimeout bounds one attempt to open a connection. A host without power answers nothing, and the first packet
	// would be sent again only after a second, when the host may have been back for long.
	openTimeout = 250 * time.Millisecond
	// inTransit bounds the messages to one host that are not answered yet; more are dropped, as a network may.
	inTransit = 32
	// keepaliveTime is the silence after which a connection with calls in progress is probed.
	keepaliveTime = 10 * time.Second
	// keepaliveAnswer is the time in which the probe must be answered.
	keepaliveAnswer = time.Second
)

// redial bounds the wait before a new attempt to connect. gRPC's default grows to two minutes, in which a
// host that came back would stay out of the group.
var redial = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond}

type line struct {
	address string
	conn    *grpc.ClientConn
	slot    chan struct{}
}

// dialer holds one connection per address. It is safe for concurrent use.
type dialer struct {
	options []grpc.DialOption
	mu      sync.Mutex
	lines   map[string]*line
}

func newDialer(options []grpc.DialOption) *dialer {
	base := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: redial, MinConnectTimeout: time.Second}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: openTimeout}).DialContext(ctx, "tcp", address)
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveAnswer}),
	}
	return &dialer{options: append(base, options...), lines: make(map[string]*line)}
}

func (d *dialer) dial(address string) (*line, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.lines[address]; ok {
		return l, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, d.options...)
	if err != nil {
		return nil, oops.In("replica").Wrapf(err, "connect to %s", address)
	}
	l := &line{address: address, conn: conn, slot: make(chan struct{}, inTransit)}
	d.lines[address] = l
	return l, nil
}

// drop closes a connection on which a message was not answered in time. The network may have forgotten it in silence,
// and the probes of gRPC would take ten seconds to notice; a new connection costs little.
func (d *dialer) drop(l *line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lines[l.address] == l {
		delete(d.lines, l.address)
		_ = l.conn.Close()
	}
}

// connected waits a short time for the connection. A call on one that is not connected would fail in a way
// that does not tell whether it was sent.
func (l *line) connected(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := l.conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		l.conn.Connect()
		if !l.conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

func (d *dialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lines {
		_ = l.conn.Close()
	}
}

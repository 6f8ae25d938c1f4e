package peerer

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"lycheelift.example/entryd/follower"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// keepaliveTime is the silence after which a connection between hosts is probed.
	keepaliveTime = 10 * time.Second
	// keepaliveAnswer is the time in which the probe must be answered.
	keepaliveAnswer = time.Second
	// reconnectLeast and reconnectMost bound the wait before a lost connection is tried again; a host that is back
	// must be found within a lease term.
	reconnectLeast = 50 * time.Millisecond
	reconnectMost  = 500 * time.Millisecond
	// forwardTimeout bounds the passing on of an announcement.
	forwardTimeout = 300 * time.Millisecond
)

// Dialer holds one gRPC connection per host. It is safe for concurrent use.
type Dialer struct {
	self   string
	follow *follower.Follower

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // by address
}

// NewDialer returns a dialer that finds addresses in the configuration in force.
func NewDialer(self string, follow *follower.Follower) *Dialer {
	return &Dialer{self: self, follow: follow, conns: make(map[string]*grpc.ClientConn)}
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
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectLeast, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectMost},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveAnswer}))
	if err != nil {
		return nil, oops.In("peerer").Wrapf(err, "connect to %s", address)
	}
	d.conns[address] = c
	return c, nil
}

// Forward passes an announcement to every other host.
func (d *Dialer) Forward(ctx context.Context, a *backendv1.AnnounceRequest) {
	view := d.follow.View()
	for name := range view.Document.Hosts {
		if name == d.self {
			continue
		}
		conn, err := d.Dial(name)
		if err != nil {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
			defer cancel()
			_, _ = peerv1.NewPeerServiceClient(conn).Forward(ctx, &peerv1.ForwardRequest{Announcements: []*backendv1.AnnounceRequest{a}})
		}()
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

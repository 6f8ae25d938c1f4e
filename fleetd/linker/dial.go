package linker

import (
	"sync"
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

// Link keeps a connection to one host at a time. The zero value has none. It is safe for concurrent use.
type Link struct {
	mu      sync.Mutex
	address string
	conn    *grpc.ClientConn
}

// Dial returns the connection to an address. It replaces one to another address.
func (l *Link) Dial(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.address == address {
		return l.conn, nil
	}
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	l.close()
	l.conn, l.address = conn, address
	return conn, nil
}

// Address returns the address that was dialled last, empty before the first.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Close closes the connection. The next Dial opens a new one.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.close()
}

// close closes the connection. The caller must hold l.mu.
func (l *Link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// dial returns a connection that is kept and opened again when it is lost.
func dial(address string) (*grpc.ClientConn, error) {
	options, _ := Options()
	options = append(
		options,
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectMax}, //nolint:mnd // Doubled, with some jitter.
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: idlePing, Timeout: pingTimeout}),
		grpc.WithIdleTimeout(0),
	)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, oops.In("linker").Wrapf(err, "connect to %s", address)
	}
	conn.Connect()
	return conn, nil
}

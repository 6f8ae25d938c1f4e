package pusher

import (
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

// reconnectMost bounds the wait before a lost connection to an entry host is opened again.
const reconnectMost = 5 * time.Second

// Conns holds one connection per entry host that was pushed to. It is safe for concurrent use.
type Conns struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewConns returns a dialer without connections.
func NewConns() *Conns {
	return &Conns{conns: make(map[string]*grpc.ClientConn)}
}

// DialAddress returns the connection to an address.
func (c *Conns) DialAddress(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	config := backoff.DefaultConfig
	config.MaxDelay = reconnectMost
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithConnectParams(grpc.ConnectParams{Backoff: config}))
	if err != nil {
		return nil, oops.In("pusher").Wrapf(err, "connect to %s", address)
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

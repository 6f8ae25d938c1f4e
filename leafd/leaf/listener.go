package leaf

import (
	"net"
	"sync"
	"time"
)

// limitListener counts connections, refuses those above the limit and delays new ones.
type limitListener struct {
	net.Listener

	leaf *Leaf
}

// Accept closes connections above the limit at once.
func (g *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if out, ok := g.leaf.acceptConn(conn); ok {
			return out, nil
		}
		_ = conn.Close()
	}
}

func (l *Leaf) acceptConn(conn net.Conn) (net.Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.OpenedConnections++
	if l.record.OpenConnections >= int64(l.config.Connections) {
		l.record.RefusedConnections++
		return nil, false
	}
	l.record.OpenConnections++
	l.record.PeakConnections = max(l.record.PeakConnections, l.record.OpenConnections)
	return &faultyConn{Conn: conn, leaf: l, readyAt: time.Now().Add(l.behaviour.AcceptDelay), silenceGeneration: l.behaviour.SilenceGeneration}, true
}

// faultyConn is an accepted connection that can be delayed or made to stop carrying data.
type faultyConn struct {
	net.Conn

	leaf              *Leaf
	readyAt           time.Time
	silenceGeneration int
	once              sync.Once
}

func (c *faultyConn) silent() bool {
	c.leaf.mu.Lock()
	defer c.leaf.mu.Unlock()
	return c.leaf.behaviour.SilenceGeneration > c.silenceGeneration
}

// Read discards the data that arrives on a silent connection.
func (c *faultyConn) Read(b []byte) (int, error) {
	time.Sleep(time.Until(c.readyAt))
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write reports success but sends nothing on a silent connection.
func (c *faultyConn) Write(b []byte) (int, error) {
	time.Sleep(time.Until(c.readyAt))
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and counts this only once.
func (c *faultyConn) Close() error {
	c.once.Do(func() {
		c.leaf.mu.Lock()
		defer c.leaf.mu.Unlock()
		c.leaf.record.OpenConnections--
	})
	return c.Conn.Close()
}

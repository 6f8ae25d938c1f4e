package leaf

import (
	"net"
	"sync"
	"time"
)

// gate counts connections, refuses those above the limit, and makes a new one cost time.
type gate struct {
	net.Listener

	leaf *Leaf
}

// Accept closes connections above the limit at once.
func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if out, ok := g.leaf.connect(conn); ok {
			return out, nil
		}
		_ = conn.Close()
	}
}

func (l *Leaf) connect(conn net.Conn) (net.Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Opened++
	if l.record.Connections >= int64(l.config.Connections) {
		l.record.Refused++
		return nil, false
	}
	l.record.Connections++
	l.record.Most = max(l.record.Most, l.record.Connections)
	return &line{Conn: conn, leaf: l, ready: time.Now().Add(l.behave.Dial), hush: l.behave.Hush}, true
}

// line is one accepted connection.
type line struct {
	net.Conn

	leaf  *Leaf
	ready time.Time
	hush  int
	once  sync.Once
}

func (c *line) silent() bool {
	c.leaf.mu.Lock()
	defer c.leaf.mu.Unlock()
	return c.leaf.behave.Hush > c.hush
}

// Read drops what arrives on a silent connection.
func (c *line) Read(b []byte) (int, error) {
	time.Sleep(time.Until(c.ready))
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write sends nothing on a silent connection.
func (c *line) Write(b []byte) (int, error) {
	time.Sleep(time.Until(c.ready))
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close counts the end of the connection once.
func (c *line) Close() error {
	c.once.Do(func() {
		c.leaf.mu.Lock()
		defer c.leaf.mu.Unlock()
		c.leaf.record.Connections--
	})
	return c.Conn.Close()
}

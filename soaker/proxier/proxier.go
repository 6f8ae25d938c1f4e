// Package proxier is a TCP proxy on loopback that can delay, silence, cut and reset the connections through it.
package proxier

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Fault is what a proxy does to the bytes that it passes on.
type Fault struct {
	// Delay is added to each piece of bytes.
	Delay time.Duration
	// Inbound and Outbound drop what goes to the host and what comes from it; both leave connections open and silent.
	Inbound, Outbound bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy passes connections from one address on to another. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// New starts a proxy.
func New(address, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, oops.In("proxier").Wrapf(err, "listen")
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Set changes the fault for present and later connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Reset breaks all present connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) present() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.present().Refuse {
			_ = conn.Close()
			continue
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(conn net.Conn) {
	out, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(out, conn, func(f Fault) bool { return f.Inbound }) })
	both.Go(func() { p.pass(conn, out, func(f Fault) bool { return f.Outbound }) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, out)
	p.mu.Unlock()
}

// pass copies one direction until either end is closed.
func (p *Proxy) pass(to, from net.Conn, dropped func(Fault) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f := p.present()
		time.Sleep(f.Delay)
		if n > 0 && !dropped(f) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

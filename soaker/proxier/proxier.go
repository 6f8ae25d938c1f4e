// Package proxier is a TCP proxy on loopback that can delay, drop and refuse traffic and reset its connections.
package proxier

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Fault describes how a proxy impairs the connections that it forwards.
type Fault struct {
	// Delay is added before each chunk is forwarded.
	Delay time.Duration
	// DropInbound drops the bytes sent to the target, and DropOutbound those sent by it. The connections stay open.
	DropInbound, DropOutbound bool
	// Refuse closes new connections immediately.
	Refuse bool
}

// Proxy forwards connections from one address to another. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// New starts a proxy that listens on address and forwards to target.
func New(address, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, oops.In("proxier").Wrapf(err, "listen")
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// SetFault replaces the fault for existing and future connections.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Reset closes all open connections with a TCP reset.
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

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) currentFault() Fault {
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
		if p.currentFault().Refuse {
			_ = conn.Close()
			continue
		}
		go p.forward(conn)
	}
}

func (p *Proxy) forward(client net.Conn) {
	upstream, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyBytes(upstream, client, func(f Fault) bool { return f.DropInbound }) })
	directions.Go(func() { p.copyBytes(client, upstream, func(f Fault) bool { return f.DropOutbound }) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copyBytes forwards one direction of a connection until either end is closed.
func (p *Proxy) copyBytes(to, from net.Conn, drops func(Fault) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f := p.currentFault()
		time.Sleep(f.Delay)
		if n > 0 && !drops(f) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

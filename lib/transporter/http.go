// Package transporter creates the HTTP and gRPC servers and clients that the daemons share.
package transporter

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout is the time within which a peer, not yet authenticated, must send its request header.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which connections without a request are closed.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
)

// Protocols enables HTTP/1.1, HTTP/2 and, for deployments on loopback without TLS, unencrypted HTTP/2.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// NewServer returns an HTTP server with limits on the size of the request header and the time to read it.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, Protocols: Protocols(),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// PingPolicy sets how dead HTTP/2 connections are detected with pings.
type PingPolicy struct {
	// Interval is the time without received data after which a ping is sent.
	Interval time.Duration
	// Timeout is the time within which the ping must be answered.
	Timeout time.Duration
}

// NewClient returns an HTTP/2 client. A connection that does not answer a ping is closed and its requests fail.
func NewClient(policy PingPolicy) *http.Client {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols: p,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
		HTTP2: &http.HTTP2Config{SendPingTimeout: policy.Interval, PingTimeout: policy.Timeout},
	}}
}

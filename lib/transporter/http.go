// Package transporter makes the HTTP and gRPC endpoints that the daemons share.
package transporter

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds the time in which an unauthenticated peer must send its request header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that carry no request.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the header of a request, in bytes.
	maxHeader = 32 << 10
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
)

// Protocols returns HTTP/1.1 and HTTP/2, with HTTP/2 also in clear text for loopback deployments.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Server returns an HTTP server with bounded header size and time.
func Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, Protocols: Protocols(),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
}

// Silence bounds the time for which an HTTP/2 connection may stay without a byte.
type Silence struct {
	// Idle is the time without a byte after which a ping is sent.
	Idle time.Duration
	// Answer is the time in which the ping must be answered.
	Answer time.Duration
}

// Client returns an HTTP/2 client. A connection that stays silent is closed and its requests fail.
func Client(silence Silence) *http.Client {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols: p,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
		HTTP2: &http.HTTP2Config{SendPingTimeout: silence.Idle, PingTimeout: silence.Answer},
	}}
}

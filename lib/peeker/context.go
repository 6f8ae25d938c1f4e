package peeker

import (
	"context"
	"net"
)

type connKey struct{}

// WithConn returns a context that carries the connection of a request, for use as http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerWaits reports whether the sender of a request still waits for the response: its context has not ended, and its
// connection, if the context carries one, has not been closed. The connection is looked at itself, because a server that was
// suspended may run the handler before it notices the end of the connection.
func CallerWaits(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return !ok || !HasEnded(conn)
}

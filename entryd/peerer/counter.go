package peerer

import (
	"context"
	"strings"
	"sync"

	tally "github.com/uber-go/tally/v4"
	"google.golang.org/grpc/stats"
)

// RPCCounter is a gRPC stats handler that counts calls and bytes per method, for clients and servers. Bytes include
// headers, as gRPC reports them, and payloads with their length prefix, but not the overhead of HTTP/2 frames, TCP and IP.
type RPCCounter struct {
	scope tally.Scope

	mu      sync.Mutex
	methods map[string]*methodCounters
}

type methodCounters struct {
	calls, in, out tally.Counter
}

// NewRPCCounter returns a counter that records its metrics in the scope.
func NewRPCCounter(scope tally.Scope) *RPCCounter {
	return &RPCCounter{scope: scope, methods: make(map[string]*methodCounters)}
}

type methodKey struct{}

// TagRPC stores the counters of the call's method in the context.
func (c *RPCCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	method := info.FullMethodName[strings.LastIndex(info.FullMethodName, "/")+1:]
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.methods[method]
	if !ok {
		s := c.scope.Tagged(map[string]string{"method": method})
		m = &methodCounters{calls: s.Counter("peer_calls"), in: s.Counter("peer_bytes_in"), out: s.Counter("peer_bytes_out")}
		c.methods[method] = m
	}
	return context.WithValue(ctx, methodKey{}, m)
}

// HandleRPC counts the call or the bytes of one stats event.
func (c *RPCCounter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	m, ok := ctx.Value(methodKey{}).(*methodCounters)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		m.calls.Inc(1)
	case *stats.InPayload:
		m.in.Inc(int64(e.WireLength))
	case *stats.OutPayload:
		m.out.Inc(int64(e.WireLength))
	case *stats.InHeader:
		m.in.Inc(int64(e.WireLength))
	case *stats.InTrailer:
		m.in.Inc(int64(e.WireLength))
	}
}

// TagConn does nothing.
func (c *RPCCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (c *RPCCounter) HandleConn(context.Context, stats.ConnStats) {}

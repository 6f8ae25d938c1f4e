package peerer

import (
	"context"
	"strings"
	"sync"

	tally "github.com/uber-go/tally/v4"
	"google.golang.org/grpc/stats"
)

// Counter counts the messages and bytes of each gRPC method, as client and as server. Bytes are those of headers as
// gRPC states them and of payloads with their prefix; frames of HTTP/2, TCP and IP come on top.
type Counter struct {
	scope tally.Scope

	mu      sync.Mutex
	methods map[string]*counters
}

type counters struct {
	calls, in, out tally.Counter
}

// NewCounter returns a counter that reports to the scope.
func NewCounter(scope tally.Scope) *Counter {
	return &Counter{scope: scope, methods: make(map[string]*counters)}
}

type methodKey struct{}

// TagRPC notes the method.
func (c *Counter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	method := info.FullMethodName[strings.LastIndex(info.FullMethodName, "/")+1:]
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.methods[method]
	if !ok {
		s := c.scope.Tagged(map[string]string{"method": method})
		m = &counters{calls: s.Counter("peer_calls"), in: s.Counter("peer_bytes_in"), out: s.Counter("peer_bytes_out")}
		c.methods[method] = m
	}
	return context.WithValue(ctx, methodKey{}, m)
}

// HandleRPC counts one event of a call.
func (c *Counter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	m, ok := ctx.Value(methodKey{}).(*counters)
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
func (c *Counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (c *Counter) HandleConn(context.Context, stats.ConnStats) {}

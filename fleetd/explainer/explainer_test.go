package explainer_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/fleetd/explainer"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/divider"
	"lycheelift.example/lib/router"
	"lycheelift.example/lib/selector"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const secret = "key-of-acme-4711"

var start = time.Unix(1000, 0)

// host explains every request in the same way and records the key that it is given.
type host struct {
	mu  sync.Mutex
	key string
}

func (h *host) Explain(r *carrier.Request) *answerer.Explanation {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.key = r.Key
	leaf := func(name string) *cataloguer.Leaf {
		return &cataloguer.Leaf{Name: name, Center: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, Program: "v2"}
	}
	shard := answerer.ShardChoice{Service: "s0", Share: 1, Choice: 0, Runner: 1, Candidates: []selector.Candidate{
		{Leaf: leaf("s0a"), Known: true, Calls: 1, Load: 3, LoadAt: start.Add(-time.Second), Ratio: 1.5, Cost: 2, Reported: 1.7, Slowness: 1.2},
		{Leaf: leaf("s0b"), Ratio: 1, Cost: 2.5},
		{Leaf: leaf("s0c"), Known: true, Barred: selector.Paused, Until: start.Add(3 * time.Second)},
	}}
	shard.Odds, shard.Group = 0.8, answerer.Stable
	shard.Rollout = &answerer.RolloutState{Baseline: "v2", Target: "v3", Progress: statev1.RolloutState_ROLLOUT_STATE_RUNNING, Share: 0.25}
	shard.Trial = &answerer.ShardChoice{Service: "s0", Share: 0.25, Choice: 0, Runner: -1, Odds: 1, Group: answerer.Trial, Candidates: []selector.Candidate{
		{Leaf: &cataloguer.Leaf{Name: "s0t", Center: "a", Program: "v3"}, Ratio: 1, Cost: 1},
	}}
	return &answerer.Explanation{
		Host: "front", Center: "a", At: start, Version: 7, Quota: &answerer.QuotaState{Silence: 4 * time.Second}, Route: &router.Route{Name: "all"}, Tenant: &router.Tenant{Name: "acme", Rate: 10}, Needed: 1,
		Shards: []answerer.ShardChoice{shard}, Portions: []answerer.PortionChoice{{
			Portion: divider.Portion{Key: "a/0/1", Center: "a", Services: []string{"s0"}}, Host: "10.0.0.9:7", Choice: 0, Runner: -1,
			Candidates: []divider.Candidate{{Host: "10.0.0.9:7", Connected: true, Latency: 20 * time.Millisecond, MeasuredAt: start, Expected: 40 * time.Millisecond}},
		}},
	}
}

// wire records the bytes that a listener's connections receive.
type wire struct {
	net.Listener
	mu       *sync.Mutex
	received *bytes.Buffer
}

func (w wire) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	return tap{conn, w}, err
}

type tap struct {
	net.Conn
	wire wire
}

func (c tap) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	c.wire.received.Write(p[:n])
	return n, err
}

func serve(t *testing.T, h *host) wire {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	service, err := explainer.NewService("front", h, func() time.Time { return start })
	qt.Assert(t, err, qt.IsNil)
	server := grpc.NewServer()
	peerv1.RegisterExplainServiceServer(server, service)
	out := wire{listener, &sync.Mutex{}, &bytes.Buffer{}}
	go func() { _ = server.Serve(out) }()
	t.Cleanup(server.Stop)
	return out
}

// Guards against a key that is readable on the way to the host or in the output, against figures that are missing from the
// output, and against one unreachable host that hides the answers of the others.
func TestAnswersOfSeveralHosts(t *testing.T) {
	h := &host{}
	front := serve(t, h)
	address := front.Addr().String()
	request := &peerv1.ExplainRequest{Method: []byte("GET"), Host: []byte("n"), Target: []byte("/all/2f?x=1")}
	answers := explainer.Ask(context.Background(), []string{address, "127.0.0.1:1", address}, request, secret)
	qt.Assert(t, h.key, qt.Equals, secret)
	front.mu.Lock()
	qt.Assert(t, bytes.Contains(front.received.Bytes(), []byte("/all/2f")), qt.IsTrue)
	qt.Assert(t, bytes.Contains(front.received.Bytes(), []byte(secret)), qt.IsFalse)
	front.mu.Unlock()
	qt.Assert(t, answers[1].Err, qt.IsNotNil)

	var one, many, data bytes.Buffer
	explainer.WriteText(&one, answers[:1])
	for _, want := range []string{"version 7", "acme", "10/s", "s0a, then s0b, which costs 0.5 more", "3, 1.0s ago", "paused for 3.0s", "not called yet", "v2", "10.0.0.9:7, otherwise this host", "40.0ms", "1.7, 1.0s ago", "the first with a probability of 80%", "v2 in use, v3 ordered, running with a share of 25%; drawn from the group stable", "25% of the first calls, drawn from the group trial: s0t", "no tokens here: the coordinator decides, no coordinator has answered for 4.0s"} {
		qt.Assert(t, one.String(), qt.Contains, want)
	}
	explainer.WriteText(&many, answers)
	qt.Assert(t, strings.Count(many.String(), "s0a, then s0b"), qt.Equals, 2)
	qt.Assert(t, many.String(), qt.Contains, "no answer")
	qt.Assert(t, strings.Count(many.String(), "drawn from the group trial: s0t"), qt.Equals, 2)
	qt.Assert(t, strings.Count(many.String(), "v3, cost 1"), qt.Equals, 2)
	qt.Assert(t, explainer.WriteJSON(&data, answers), qt.IsNil)
	qt.Assert(t, strings.Count(data.String(), `"barred": "paused"`), qt.Equals, 2)
	for _, out := range []string{one.String(), many.String(), data.String()} {
		qt.Assert(t, out, qt.Not(qt.Contains), secret)
	}
}

// Guards against a key for an earlier process of the host that is taken for no key, and against targets that are no path.
func TestUnusableRequests(t *testing.T) {
	service, err := explainer.NewService("front", &host{}, time.Now)
	qt.Assert(t, err, qt.IsNil)
	_, err = service.Explain(t.Context(), &peerv1.ExplainRequest{Target: []byte("/"), Sealed: []byte("for another process")})
	qt.Assert(t, status.Code(err), qt.Equals, codes.FailedPrecondition)
	_, err = service.Explain(t.Context(), &peerv1.ExplainRequest{Target: []byte("http://n/")})
	qt.Assert(t, status.Code(err), qt.Equals, codes.InvalidArgument)
}

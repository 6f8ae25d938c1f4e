package isolator_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"lycheelift.example/entryd/isolator"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/quarantiner"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// network connects hosts by name. A host without a listener is unreachable.
type network map[string]*bufconn.Listener

func (n network) Dial(host string) (*grpc.ClientConn, error) {
	listener, ok := n[host]
	if !ok {
		return nil, errors.New("host is down")
	}
	return grpc.NewClient("passthrough:///"+host, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
}

type service struct {
	peerv1.UnimplementedPeerServiceServer
	isolate *isolator.Isolator
}

func (s service) Suspect(ctx context.Context, in *peerv1.SuspectRequest) (*peerv1.SuspectResponse, error) {
	return s.isolate.Suspect(ctx, in)
}

// join returns the isolator of a new host that the others can reach.
func (n network) join(t *testing.T, name string, cells func() []ranker.Cell) *isolator.Isolator {
	out := isolator.New(name, cells, n, time.Now)
	listener := bufconn.Listen(1 << 16)
	n[name] = listener
	server := grpc.NewServer()
	peerv1.RegisterPeerServiceServer(server, service{isolate: out})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return out
}

// Guards against hosts of another cell missing the report of a suspect, including when the first host of the cell is
// down, and against a suspect that is not cleared on every host.
func TestSuspectReachesEveryHost(t *testing.T) {
	cells := func() []ranker.Cell { return []ranker.Cell{{Hosts: []string{"a"}}, {Hosts: []string{"b", "c", "d"}}} }
	down, hosts := network{}, map[string]*isolator.Isolator{}
	for _, name := range []string{"a", "c", "d"} {
		hosts[name] = down.join(t, name, cells)
	}
	reported := make(chan struct{})
	call := &planner.Call{Attempt: "a/1", Canary: true, Target: planner.Target{Leaf: &cataloguer.Leaf{Name: "leaf"}}}
	hosts["a"].Crashed(7, call, func() { close(reported) })
	<-reported
	verdict := func(host string) quarantiner.Verdict {
		ticket := hosts[host].Enter(context.Background(), 7, false)
		hosts[host].Leave(7, ticket)
		return ticket.Verdict
	}
	for _, name := range []string{"a", "c", "d"} {
		qt.Assert(t, verdict(name), qt.Equals, quarantiner.Alone, qt.Commentf("%s", name))
	}
	hosts["d"].Cleared(7)
	deadline := time.Now().Add(5 * time.Second)
	for verdict("a") != quarantiner.Free || verdict("c") != quarantiner.Free {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
}

// Guards against a harmless request being blocked for an hour after a single crash. Canaries of it, from callers of two
// hosts, are in flight on a leaf when a harmful request crashes that leaf, so both hosts report it.
func TestCanariesOfTwoHostsAtOneCrash(t *testing.T) {
	cells := func() []ranker.Cell { return []ranker.Cell{{Hosts: []string{"a", "b"}}} }
	near, hosts := network{}, map[string]*isolator.Isolator{}
	for _, name := range []string{"a", "b"} {
		hosts[name] = near.join(t, name, cells)
	}
	leaf := &cataloguer.Leaf{Name: "leaf", Incarnation: 3}
	for name, h := range hosts {
		reported := make(chan struct{})
		call := &planner.Call{Attempt: name + "/1", Canary: true, Target: planner.Target{Leaf: leaf}}
		h.Crashed(7, call, func() { close(reported) })
		<-reported
	}
	for name, h := range hosts {
		ticket := h.Enter(context.Background(), 7, false)
		h.Leave(7, ticket)
		qt.Assert(t, ticket.Verdict, qt.Equals, quarantiner.Alone, qt.Commentf("%s", name))
	}
}

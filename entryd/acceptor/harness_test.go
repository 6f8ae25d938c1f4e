package acceptor_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"lycheelift.example/entryd/acceptor"
	"lycheelift.example/entryd/dispatcher"
	"lycheelift.example/entryd/follower"
	"lycheelift.example/entryd/isolator"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/ranker"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// harmful is the request body that crashes a fake leaf.
const harmful = "harmful"

// leaf is a fake backend server.
type leaf struct {
	running   map[string]func(callerv1.Reason)
	exclusive bool
	crashes   int
}

// fleet is a fake dispatcher, shared by all hosts, that simulates the leaves and records the owners of calls.
type fleet struct {
	mu        sync.Mutex
	slotFreed *sync.Cond
	leaves    map[string]*leaf
	owners    []string
	latency   time.Duration
}

func newFleet() *fleet {
	f := &fleet{leaves: make(map[string]*leaf), latency: 2 * time.Millisecond}
	f.slotFreed = sync.NewCond(&f.mu)
	return f
}

// Send records the owner before it returns, and runs the call on its fake leaf.
func (f *fleet) Send(owner string, call *peerv1.Call, box *dispatcher.Mailbox) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owners = append(f.owners, owner)
	go f.execute(call, box)
}

// Cancel does nothing: the acceptor must ignore late results by itself.
func (f *fleet) Cancel(string, string) {}

func (f *fleet) execute(call *peerv1.Call, box *dispatcher.Mailbox) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.leaves[call.GetLeaf()]
	if !ok {
		l = &leaf{running: make(map[string]func(callerv1.Reason))}
		f.leaves[call.GetLeaf()] = l
	}
	for l.exclusive || (call.GetAlone() && len(l.running) > 0) {
		f.slotFreed.Wait()
	}
	l.exclusive = call.GetAlone()
	l.running[call.GetAttempt()] = func(reason callerv1.Reason) {
		box.Deliver(&peerv1.CallResult{
			Attempt: call.GetAttempt(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(), Leaf: call.GetLeaf(),
			Body: call.GetBody(), Reason: reason,
		})
	}
	time.AfterFunc(f.latency, func() { f.end(l, call) })
}

// end answers a call. A harmful call crashes its leaf, which fails all calls in flight there.
func (f *fleet) end(l *leaf, call *peerv1.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer, ok := l.running[call.GetAttempt()]
	if !ok {
		return
	}
	delete(l.running, call.GetAttempt())
	if string(call.GetBody()) == harmful {
		l.crashes++
		for _, other := range l.running {
			other(callerv1.Reason_REASON_CRASHED)
		}
		clear(l.running)
		answer(callerv1.Reason_REASON_CRASHED)
	} else {
		answer(callerv1.Reason_REASON_UNSPECIFIED)
	}
	l.exclusive = false
	f.slotFreed.Broadcast()
}

// takeOwners returns the owners of all calls since takeOwners was last called.
func (f *fleet) takeOwners() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	owners := f.owners
	f.owners = nil
	return owners
}

// setLatency sets the time that a leaf takes for each call started from now on.
func (f *fleet) setLatency(latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency = latency
}

func (f *fleet) crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.leaves {
		n += l.crashes
	}
	return n
}

// deployment is a set of entry hosts in one process.
type deployment struct {
	fleet  *fleet
	table  *cataloguer.Table
	hosts  []*acceptor.Acceptor
	follow *follower.Follower
}

// network connects hosts by name through in-memory connections.
type network map[string]*bufconn.Listener

func (n network) Dial(host string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+host, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return n[host].DialContext(ctx) }))
}

// peerService serves only Suspect, the report of a suspect request.
type peerService struct {
	peerv1.UnimplementedPeerServiceServer
	isolate *isolator.Isolator
}

func (s peerService) Suspect(ctx context.Context, in *peerv1.SuspectRequest) (*peerv1.SuspectResponse, error) {
	return s.isolate.Suspect(ctx, in)
}

var centers = []string{"a", "b", "c"}

// deploy makes three data centres with one host each, and a service whose shards have a replica in each data centre.
func deploy(t testing.TB, shards int, services map[string]any, options ...acceptor.Option) *deployment {
	start := time.Now()
	d := &deployment{fleet: newFleet(), table: cataloguer.New(start.Add(-time.Minute)), follow: follower.New(start)}
	d.configure(t, 1, services, nil)
	for _, c := range centers {
		for s := range shards {
			d.table.Put(&cataloguer.Leaf{
				Name: fmt.Sprintf("leaf-%s-%d", c, s), Center: c, Service: "desk", State: cataloguer.Warm, Slots: 2, AnnouncedAt: start.Add(time.Hour),
				Holdings: []cataloguer.Holding{{Snapshot: 1, Shard: uint32(s), Shards: uint32(shards)}},
			})
		}
	}
	net := network{}
	for _, c := range centers {
		d.host(t, "host-"+c, c, net, options)
	}
	return d
}

func (d *deployment) host(t testing.TB, name, center string, net network, options []acceptor.Option) {
	cells := func() []ranker.Cell { return d.follow.View().Cells }
	isolate := isolator.New(name, cells, net, time.Now)
	listener := bufconn.Listen(1 << 16)
	net[name] = listener
	server := grpc.NewServer()
	peerv1.RegisterPeerServiceServer(server, peerService{isolate: isolate})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	options = append([]acceptor.Option{acceptor.WithIsolator(isolate)}, options...)
	d.hosts = append(d.hosts, acceptor.New(name, center, d.table, d.follow, d.fleet, time.Now, options...))
}

// configure applies a configuration version. The data centres in out are taken out of service.
func (d *deployment) configure(t testing.TB, number uint64, services map[string]any, out []string) {
	document := map[string]any{"services": services}
	dataCentres, hosts := map[string]any{}, map[string]any{}
	for i, c := range centers {
		dataCentres[c] = map[string]any{"region": "north"}
		hosts["host-"+c] = map[string]any{"center": c, "address": fmt.Sprintf("127.0.0.1:%d", 7000+i)}
	}
	for _, c := range out {
		dataCentres[c] = map[string]any{"region": "north", "out": true}
	}
	document["centers"], document["hosts"] = dataCentres, hosts
	data, err := json.Marshal(document)
	qt.Assert(t, err, qt.IsNil)
	_, err = d.follow.Apply(&statev1.Version{Number: number, Document: data}, time.Now())
	qt.Assert(t, err, qt.IsNil)
}

// query sends one query to a host.
func (d *deployment) query(host int, in *callerv1.QueryRequest) (*callerv1.QueryResponse, *callerv1.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	in.Id, in.Service = "q", "desk"
	out, err := d.hosts[host].Query(ctx, in)
	if err == nil {
		return out, nil
	}
	var c *connect.Error
	if errors.As(err, &c) {
		for _, detail := range c.Details() {
			if value, err := detail.Value(); err == nil {
				return nil, value.(*callerv1.Refusal)
			}
		}
	}
	return nil, &callerv1.Refusal{}
}

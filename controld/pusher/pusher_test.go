package pusher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"lycheelift.example/controld/pusher"
	"lycheelift.example/lib/transporter"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// entry is an entry host that keeps versions and passes them to the hosts named.
type entry struct {
	peerv1.UnimplementedPeerServiceServer

	name   string
	others map[string]*entry

	mu      sync.Mutex
	version uint64
	whole   int
	changes int
}

func (e *entry) Apply(_ context.Context, in *peerv1.ApplyRequest) (*peerv1.ApplyResponse, error) {
	out := &peerv1.ApplyResponse{Hosts: []*statev1.InForce{e.apply(in.GetVersion())}}
	if out.GetHosts()[0].GetVersion() == in.GetVersion().GetNumber() {
		for _, host := range in.GetRelay() {
			out.Hosts = append(out.Hosts, e.others[host].apply(in.GetVersion()))
		}
	}
	return out, nil
}

func (e *entry) apply(v *statev1.Version) *statev1.InForce {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(v.GetDocument()) > 0 {
		e.whole++
	} else {
		e.changes++
	}
	if v.GetNumber() > e.version && (len(v.GetDocument()) > 0 || v.GetNumber() == e.version+1) {
		e.version = v.GetNumber()
	}
	return &statev1.InForce{Host: e.name, Version: e.version}
}

type source struct {
	mu      sync.Mutex
	version *statev1.Version
}

func (*source) Report([]*statev1.InForce) {}

func (s *source) Current() *statev1.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *source) set(v *statev1.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = v
}

func (s *source) Leading() bool { return true }

// Guards against a push that misses hosts, that stops at a host that is away, or that sends the whole document to
// hosts that have the version before.
func TestPushReachesEveryHostThroughOneOfEachCell(t *testing.T) {
	c := qt.New(t)
	hosts := make(map[string]*entry)
	named := map[string]any{"a-0": map[string]any{"center": "a", "address": "127.0.0.1:1"}}
	for i := 1; i < 6; i++ {
		e := &entry{name: fmt.Sprintf("%c-%d", 'a'+i%2, i), others: hosts}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		s := grpc.NewServer()
		peerv1.RegisterPeerServiceServer(s, e)
		go func() { _ = s.Serve(l) }()
		t.Cleanup(s.Stop)
		hosts[e.name] = e
		named[e.name] = map[string]any{"center": e.name[:1], "address": l.Addr().String()}
	}
	// a-0 is away: nothing listens at its address, and who relays to it gets no report.
	hosts["a-0"] = &entry{name: "away", others: hosts}
	document, err := json.Marshal(map[string]any{
		"centers": map[string]any{"a": map[string]any{"region": "r"}, "b": map[string]any{"region": "r"}}, "hosts": named,
	})
	c.Assert(err, qt.IsNil)
	src := &source{version: &statev1.Version{Number: 4, Document: document, Difference: []byte(`{"x":1}`)}}
	security, err := transporter.NewSecurity(true, transporter.Files{}, time.Now)
	c.Assert(err, qt.IsNil)
	conns := security.Conns()
	t.Cleanup(conns.Close)
	p := pusher.New(src, conns, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	await(p, 4, 5)
	for _, h := range hosts {
		h.mu.Lock()
		h.whole, h.changes = 0, 0
		h.mu.Unlock()
	}
	src.set(&statev1.Version{Number: 5, Document: document, Difference: []byte(`{"x":2}`)})
	p.Wake()
	await(p, 5, 5)
	for _, h := range hosts {
		h.mu.Lock()
		c.Assert(h.whole, qt.Equals, 0, qt.Commentf("%s", h.name))
		h.mu.Unlock()
	}
}

// await waits until a number of hosts reports a version.
func await(p *pusher.Pusher, version uint64, count int) {
	for {
		n := 0
		for _, r := range p.InForce() {
			if r.GetVersion() == version && r.GetHost() != "away" {
				n++
			}
		}
		if n == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

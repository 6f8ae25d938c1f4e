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

// entry is a fake entry host that stores versions and relays them to the requested hosts.
type entry struct {
	peerv1.UnimplementedPeerServiceServer

	name   string
	others map[string]*entry

	mu          sync.Mutex
	version     uint64
	documents   int
	differences int
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
		e.documents++
	} else {
		e.differences++
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

// Guards against a push that misses hosts, that stops at an unreachable host, or that sends the complete document to hosts
// that have the previous version.
func TestPushReachesEveryHostThroughOneOfEachCell(t *testing.T) {
	c := qt.New(t)
	hosts := make(map[string]*entry)
	hostEntries := map[string]any{"a-0": map[string]any{"center": "a", "address": "127.0.0.1:1"}}
	for i := 1; i < 6; i++ {
		e := &entry{name: fmt.Sprintf("%c-%d", 'a'+i%2, i), others: hosts}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		s := grpc.NewServer()
		peerv1.RegisterPeerServiceServer(s, e)
		go func() { _ = s.Serve(l) }()
		t.Cleanup(s.Stop)
		hosts[e.name] = e
		hostEntries[e.name] = map[string]any{"center": e.name[:1], "address": l.Addr().String()}
	}
	// a-0 is unreachable: nothing listens at its address, and relaying to it yields a report under another name.
	hosts["a-0"] = &entry{name: "unreachable", others: hosts}
	document, err := json.Marshal(map[string]any{
		"centers": map[string]any{"a": map[string]any{"region": "r"}, "b": map[string]any{"region": "r"}}, "hosts": hostEntries,
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
	waitForReports(p, 4, 5)
	for _, h := range hosts {
		h.mu.Lock()
		h.documents, h.differences = 0, 0
		h.mu.Unlock()
	}
	src.set(&statev1.Version{Number: 5, Document: document, Difference: []byte(`{"x":2}`)})
	p.Wake()
	waitForReports(p, 5, 5)
	for _, h := range hosts {
		h.mu.Lock()
		c.Assert(h.documents, qt.Equals, 0, qt.Commentf("%s", h.name))
		h.mu.Unlock()
	}
}

// waitForReports waits until count hosts have reported a version.
func waitForReports(p *pusher.Pusher, version uint64, count int) {
	for {
		n := 0
		for _, r := range p.InForce() {
			if r.GetVersion() == version && r.GetHost() != "unreachable" {
				n++
			}
		}
		if n == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

package keeper_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lycheelift.example/controld/replica"
	"lycheelift.example/fleetd/keeper"
	"lycheelift.example/lib/quoter"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// quotaFixture is the quota service of a control host that leads in term 1. suspended is the time that only its second clock
// counts.
type quotaFixture struct {
	*fixture
	quotas    *keeper.Quotas
	suspended time.Duration
	decoded   int
}

func newQuotaFixture() *quotaFixture {
	w := &quotaFixture{fixture: newFixture()}
	decode := func(body []byte) (*router.Document, error) {
		w.decoded++
		d := &router.Document{}
		return d, json.Unmarshal(body, d)
	}
	w.quotas = keeper.NewQuotas(w.fixture, w.store.View, decode, quoter.NewBounds(5*time.Second, 0.1, 20),
		func() time.Time { return w.now }, func() time.Time { return w.now.Add(w.suspended) })
	w.status = replica.Status{Host: "a", Leader: "a", Leading: true, Current: true, Term: 1}
	return w
}

// put makes quotas the configuration in force.
func (w *quotaFixture) put(t *testing.T, version uint64, tenants ...router.Tenant) {
	body, err := json.Marshal(router.Document{Version: version, Tenants: tenants})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.keeper.Put(context.Background(), &router.Document{Version: version}, body, "op"), qt.IsNil)
	w.status.Applied++
}

// acquire asks for tokens of tenant x after some time in which a majority answers.
func (w *quotaFixture) acquire(wanted uint32, after time.Duration) (*peerv1.QuotaGrant, codes.Code) {
	w.now = w.now.Add(after)
	w.status.LastMajority = w.now
	out, err := w.quotas.Acquire(context.Background(), &peerv1.AcquireRequest{Asks: []*peerv1.QuotaAsk{{Tenant: "x", Wanted: wanted}}})
	if err != nil {
		return nil, status.Code(err)
	}
	return out.GetGrants()[0], codes.OK
}

// Guards against quotas of an older configuration, and against decoding the configuration for every request.
func TestQuotasAreThoseOfTheNewestConfiguration(t *testing.T) {
	w := newQuotaFixture()
	w.put(t, 1, router.Tenant{Name: "x", Rate: 1000, Burst: 100})
	_, code := w.acquire(1, 0)
	qt.Assert(t, code, qt.Equals, codes.Unavailable) // It has led for too short a time.
	g, _ := w.acquire(100, 10*time.Second)
	qt.Assert(t, g.GetTokens(), qt.Equals, uint32(100))
	w.put(t, 2, router.Tenant{Name: "x", Rate: 1, Burst: 3})
	g, _ = w.acquire(100, time.Second)
	qt.Assert(t, g.GetTokens(), qt.Equals, uint32(3))
	qt.Assert(t, g.GetRetry().AsDuration() > 500*time.Millisecond, qt.IsTrue)
	qt.Assert(t, w.decoded, qt.Equals, 2)
	w.put(t, 3)
	g, _ = w.acquire(1, time.Second)
	qt.Assert(t, g.GetUnknown(), qt.IsTrue)
}

// Guards against grants of a host that cannot know whether it still leads: without a majority, before it knows all committed
// records, and after it was suspended, when its own clock has not moved.
func TestGrantsNeedAMajority(t *testing.T) {
	w := newQuotaFixture()
	w.put(t, 1, router.Tenant{Name: "x", Rate: 1000, Burst: 100})
	_, _ = w.acquire(1, 0)
	_, code := w.acquire(1, 10*time.Second)
	qt.Assert(t, code, qt.Equals, codes.OK)
	ask := func() codes.Code {
		_, err := w.quotas.Acquire(context.Background(), &peerv1.AcquireRequest{Asks: []*peerv1.QuotaAsk{{Tenant: "x", Wanted: 1}}})
		return status.Code(err)
	}
	qt.Assert(t, ask(), qt.Equals, codes.OK)
	w.suspended = time.Minute
	qt.Assert(t, ask(), qt.Equals, codes.Unavailable)
	_, code = w.acquire(1, 50*time.Millisecond)
	qt.Assert(t, code, qt.Equals, codes.OK)
	w.status.Current = false
	qt.Assert(t, ask(), qt.Equals, codes.Unavailable)
	w.status.Current = true
	w.now = w.now.Add(300 * time.Millisecond)
	qt.Assert(t, ask(), qt.Equals, codes.Unavailable)
	w.status.LastMajority = time.Time{} // It hands over.
	qt.Assert(t, ask(), qt.Equals, codes.Unavailable)
}

// Guards against a control host that does not pass requests on to the leader, and against requests that are passed on in
// circles.
func TestRequestsForTokensReachTheLeader(t *testing.T) {
	leader := newQuotaFixture()
	leader.put(t, 1, router.Tenant{Name: "x", Rate: 1000, Burst: 100})
	_, _ = leader.acquire(1, 0)
	_, code := leader.acquire(1, 10*time.Second)
	qt.Assert(t, code, qt.Equals, codes.OK)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := grpc.NewServer()
	peerv1.RegisterQuotaServiceServer(server, leader.quotas)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	other := newQuotaFixture()
	other.status = replica.Status{Host: "b", Leader: "a", Members: &statev1.Members{Replicas: []*statev1.Replica{{Host: "a", Address: listener.Addr().String()}}}}
	ask := func() (*peerv1.AcquireResponse, error) {
		return other.quotas.Acquire(context.Background(), &peerv1.AcquireRequest{Asks: []*peerv1.QuotaAsk{{Tenant: "x", Wanted: 2}}})
	}
	var out *peerv1.AcquireResponse
	for out == nil {
		out, _ = ask() // The connection is being opened.
	}
	qt.Assert(t, out.GetGrants()[0].GetTokens(), qt.Equals, uint32(2))
	leader.status.Leading, leader.status.Leader = false, "b"
	leader.status.Members = &statev1.Members{Replicas: []*statev1.Replica{{Host: "b", Address: listener.Addr().String()}}}
	_, err = ask()
	qt.Assert(t, status.Code(err), qt.Equals, codes.Unavailable)
}

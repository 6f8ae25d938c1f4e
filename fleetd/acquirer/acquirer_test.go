package acquirer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/fleetd/acquirer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// coordinator grants a number of tokens and rejects the rest. The first call waits until released is closed.
type coordinator struct {
	peerv1.UnimplementedQuotaServiceServer

	released chan struct{}

	mu     sync.Mutex
	tokens uint32
	failed bool
	wanted []uint32
}

func (c *coordinator) Acquire(_ context.Context, in *peerv1.AcquireRequest) (*peerv1.AcquireResponse, error) {
	<-c.released
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		return nil, status.Error(codes.Unavailable, "no leader")
	}
	out := &peerv1.AcquireResponse{Epoch: 1, Stamp: uint64(len(c.wanted) + 1), Validity: durationpb.New(time.Second)}
	for _, a := range in.GetAsks() {
		c.wanted = append(c.wanted, a.GetWanted())
		g := &peerv1.QuotaGrant{Tenant: a.GetTenant(), Tokens: min(a.GetWanted(), c.tokens)}
		c.tokens -= g.GetTokens()
		if g.GetTokens() < a.GetWanted() {
			g.Retry, g.Step = durationpb.New(2*time.Second), durationpb.New(time.Second)
		}
		out.Grants = append(out.Grants, g)
	}
	return out, nil
}

func serve(t *testing.T, c *coordinator) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := grpc.NewServer()
	peerv1.RegisterQuotaServiceServer(server, c)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// Guards against a call for each request where several wait at the same time, and against rejected requests that are told one
// and the same time. The clock moves only while no coordinator answers, and so little that no answer is late.
func TestRequestsThatWaitShareACall(t *testing.T) {
	c := &coordinator{released: make(chan struct{}), tokens: 4}
	address := serve(t, c)
	now := time.Unix(1000, 0)
	var mu sync.Mutex
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	a := acquirer.New(func() string { return address }, clock)
	const requests = 10
	permits := make(chan acquirer.Permit, requests)
	var ready sync.WaitGroup
	for range requests {
		ready.Add(1)
		go func() {
			ready.Done()
			permits <- retryUntilAnswered(a, func() {
				mu.Lock()
				defer mu.Unlock()
				now = now.Add(100 * time.Microsecond)
			})
		}()
	}
	ready.Wait()
	close(c.released)
	permitted := 0
	told := make(map[time.Duration]int)
	for range requests {
		p := <-permits
		switch p.Outcome {
		case acquirer.Permitted:
			permitted++
		case acquirer.OverQuota:
			told[p.RetryAfter]++
		case acquirer.Unavailable:
			t.Error("not answered")
		}
	}
	qt.Assert(t, permitted, qt.Equals, 4)
	qt.Assert(t, len(told) > 1, qt.IsTrue, qt.Commentf("%v", told))
	c.mu.Lock()
	defer c.mu.Unlock()
	qt.Assert(t, len(c.wanted) < requests, qt.IsTrue, qt.Commentf("%v", c.wanted))
}

// retryUntilAnswered asks until a coordinator has answered, so that a slow machine does not change the result. It calls
// advance after each attempt without an answer.
func retryUntilAnswered(a *acquirer.Acquirer, advance func()) acquirer.Permit {
	for {
		if p := a.Acquire(context.Background(), "x", 0); p.Outcome != acquirer.Unavailable {
			return p
		}
		advance()
	}
}

// Guards against requests that wait for a coordinator that does not answer, and against rejecting them as over their quota.
func TestNoCoordinatorIsNotOverQuota(t *testing.T) {
	c := &coordinator{released: make(chan struct{}), failed: true}
	close(c.released)
	address := serve(t, c)
	for _, control := range []string{"", address} {
		a := acquirer.New(func() string { return control }, time.Now)
		for p := (acquirer.Permit{}); p.RetryAfter < time.Second; { // Until it is known that the coordinator is not only late.
			p = a.Acquire(context.Background(), "x", 20*time.Millisecond)
			qt.Assert(t, p.Outcome, qt.Equals, acquirer.Unavailable)
			qt.Assert(t, p.RetryAfter > 0, qt.IsTrue)
		}
	}
}

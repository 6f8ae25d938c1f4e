package helper_test

import (
	"context"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/fleetd/helper"
	"lycheelift.example/fleetd/linker"
	"lycheelift.example/lib/carrier"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// gatherer emits two messages, or waits until the context ends.
type gatherer struct {
	portion atomic.Pointer[answerer.Portion]
	hang    bool
	// stamp is the signature of the first part, "x" if it is empty.
	stamp string
	ended chan struct{}
}

func (g *gatherer) Gather(ctx context.Context, p *answerer.Portion, emit func(*answerer.Parts)) {
	g.portion.Store(p)
	if g.hang {
		<-ctx.Done()
		close(g.ended)
		return
	}
	first := g.stamp
	if first == "" {
		first = "x"
	}
	emit(&answerer.Parts{Stamps: []string{first}, Records: []byte("0123456789abcdef")})
	emit(&answerer.Parts{Stamps: []string{first, "y"}, Records: []byte("0123456789abcdef"), Final: true, Expected: time.Second})
}

// serve starts the service and returns its address.
func serve(t *testing.T, g *gatherer, stopping bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	_, options := linker.Options()
	server := grpc.NewServer(options...)
	peerv1.RegisterGatherServiceServer(server, helper.NewService(g, func() bool { return stopping }, time.Now))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// awaitUsable waits until a host is connected.
func awaitUsable(c *helper.Client, host string) {
	for !c.Usable(host) {
		time.Sleep(time.Millisecond)
	}
}

func portion() *answerer.Portion {
	now := time.Now()
	return &answerer.Portion{
		Request: &carrier.Request{ID: "1", Method: http.MethodGet, Host: "n", Target: "/a?b=c", Header: http.Header{"Request-Id": {"1"}, "X": {"2", "3"}}, Body: []byte("q")},
		Route:   "r", RouteTarget: 80 * time.Millisecond, Services: []string{"s", "t"}, Top: 5, Attempts: 2, MaxMissing: 1, Requester: "me", Version: 7,
		SoftDeadline: now.Add(time.Minute), Deadline: now.Add(2 * time.Minute),
	}
}

// An operator gives numbers that 32 bits do not hold. Guards against a host that gathers under other numbers than the one that asks:
// without records, or with another limit on attempts.
func TestLargeNumbersOfAPortionDoNotWrapAround(t *testing.T) {
	g := &gatherer{}
	host := serve(t, g, false)
	c := helper.NewClient(time.Now)
	awaitUsable(c, host)
	for _, number := range []int{math.MaxInt32, math.MaxUint32, 1 << 32, 1 << 40, math.MaxInt} {
		p := portion()
		p.Top, p.Attempts, p.MaxMissing, p.Priority = number, number, number, number
		qt.Assert(t, c.Gather(context.Background(), host, p, func(*answerer.Parts) {}), qt.IsNil)
		got, want := g.portion.Load(), min(number, math.MaxUint32)
		qt.Check(t, [3]int{got.Top, got.Attempts, got.MaxMissing}, qt.Equals, [3]int{want, want, want}, qt.Commentf("%d", number))
		qt.Check(t, got.Priority, qt.Equals, min(number, math.MaxInt32))
	}
	p := portion()
	p.Top = -1
	qt.Assert(t, c.Gather(context.Background(), host, p, func(*answerer.Parts) {}), qt.IsNil)
	qt.Assert(t, g.portion.Load().Top, qt.Equals, 0)
}

// The operator permits long headers and bodies. Guards against a portion that is lost because of the size of the request, instead of
// being sent or gathered by the host that received the request.
func TestPortionOfALongRequest(t *testing.T) {
	g := &gatherer{}
	host := serve(t, g, false)
	c := helper.NewClient(time.Now)
	awaitUsable(c, host)
	p := portion()
	p.Request.Header.Set("Filter", strings.Repeat("v", 1<<20))
	p.Request.Body = make([]byte, 3<<20)
	qt.Assert(t, c.Gather(context.Background(), host, p, func(*answerer.Parts) {}), qt.IsNil)
	qt.Assert(t, g.portion.Load().Request.Header.Get("Filter"), qt.HasLen, 1<<20)
	qt.Assert(t, g.portion.Load().Request.Body, qt.HasLen, 3<<20)
	p.Request.Body = make([]byte, linker.MaxMessageBytes)
	qt.Assert(t, c.Gather(context.Background(), host, p, func(*answerer.Parts) {}), qt.ErrorIs, answerer.ErrDeclined)
}

// Guards against a portion that is altered in transit, and against lost updates.
func TestPortionIsGatheredByAnotherHost(t *testing.T) {
	g := &gatherer{}
	host := serve(t, g, false)
	c := helper.NewClient(time.Now)
	awaitUsable(c, host)
	want := portion()
	var parts []*answerer.Parts
	err := c.Gather(context.Background(), host, want, func(p *answerer.Parts) { parts = append(parts, p) })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, parts, qt.HasLen, 2)
	qt.Assert(t, parts[1].Stamps, qt.DeepEquals, []string{"x", "y"})
	qt.Assert(t, string(parts[1].Records), qt.Equals, "0123456789abcdef")
	qt.Assert(t, parts[0].Final, qt.IsFalse)
	qt.Assert(t, parts[1].Final, qt.IsTrue)
	qt.Assert(t, []time.Duration{parts[0].Expected, parts[1].Expected}, qt.DeepEquals, []time.Duration{0, time.Second})
	got := *g.portion.Load()
	request := *got.Request
	qt.Assert(t, request.Header, qt.DeepEquals, want.Request.Header)
	qt.Assert(t, request.Target+request.Host+request.Method+request.ID+string(request.Body), qt.Equals, "/a?b=cnGET1q")
	qt.Assert(t, got.Deadline.Sub(got.SoftDeadline), qt.Equals, time.Minute)
	qt.Assert(t, got.Services, qt.DeepEquals, want.Services)
	got.Request, got.SoftDeadline, got.Deadline = want.Request, want.SoftDeadline, want.Deadline
	qt.Assert(t, got, qt.DeepEquals, *want)
}

// Load: callers send bytes that are not UTF-8 in their header fields, targets and identities, and leaves do in their signatures.
// Guards against a portion that is lost because its messages cannot be encoded.
func TestBytesOfCallersAndLeavesPassUnchanged(t *testing.T) {
	const odd = "a\xff\xfe\xc3"
	g := &gatherer{stamp: odd}
	host := serve(t, g, false)
	c := helper.NewClient(time.Now)
	awaitUsable(c, host)
	want := portion()
	want.Request = &carrier.Request{ID: odd, Method: "GET", Host: odd, Target: "/" + odd, Header: http.Header{"X": {odd}}, Body: []byte(odd)}
	var stamps []string
	err := c.Gather(context.Background(), host, want, func(p *answerer.Parts) { stamps = p.Stamps })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stamps, qt.DeepEquals, []string{odd, "y"})
	got := g.portion.Load().Request
	qt.Assert(t, got.Header, qt.DeepEquals, want.Request.Header)
	qt.Assert(t, got.ID+got.Host+got.Target, qt.Equals, odd+odd+"/"+odd)
}

// Guards against a portion that a stopping host accepts, and against a decline that is reported as a lost host.
func TestStoppingHostDeclines(t *testing.T) {
	g := &gatherer{}
	host := serve(t, g, true)
	c := helper.NewClient(time.Now)
	awaitUsable(c, host)
	err := c.Gather(context.Background(), host, portion(), func(*answerer.Parts) { t.Error("parts were given") })
	qt.Assert(t, err, qt.ErrorIs, answerer.ErrDeclined)
	qt.Assert(t, g.portion.Load(), qt.IsNil)
	closeAll(c)
	err = c.Gather(context.Background(), host, portion(), nil)
	qt.Assert(t, err, qt.ErrorIs, answerer.ErrDeclined)
}

// closeAll makes a client close its connections to all hosts.
func closeAll(c *helper.Client) {
	now := time.Now()
	c.CloseUnlisted(nil, now)
	c.CloseUnlisted(nil, now.Add(time.Minute))
}

// Load: a control host is silent for some seconds, and the entry hosts that follow it are not listed meanwhile.
// Guards against aborting the portions that they gather, and against connections to removed hosts that are never
// closed.
func TestUnlistedHostGathersOn(t *testing.T) {
	g := &gatherer{hang: true, ended: make(chan struct{})}
	host := serve(t, g, false)
	c := helper.NewClient(time.Now)
	awaitUsable(c, host)
	ended := make(chan error, 1)
	go func() { ended <- c.Gather(context.Background(), host, portion(), func(*answerer.Parts) {}) }()
	for g.portion.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	c.CloseUnlisted(nil, now)
	c.CloseUnlisted(nil, now.Add(9*time.Second))
	c.CloseUnlisted([]string{host}, now.Add(9*time.Second))
	c.CloseUnlisted(nil, now.Add(11*time.Second))
	qt.Assert(t, c.Usable(host), qt.IsTrue)
	qt.Assert(t, ended, qt.HasLen, 0)
	c.CloseUnlisted(nil, now.Add(21*time.Second))
	qt.Assert(t, <-ended, qt.IsNotNil)
	<-g.ended
}

// Guards against work that continues on another host after the caller has disconnected, and against a dead connection
// that is not closed.
func TestGivenUpPortionEndsAtTheOtherHost(t *testing.T) {
	g := &gatherer{hang: true, ended: make(chan struct{})}
	host := serve(t, g, false)
	c := helper.NewClient(time.Now)
	awaitUsable(c, host)
	ctx, cancel := context.WithCancel(context.Background())
	p := portion()
	p.SoftDeadline = time.Now() // It has passed when the portion is cancelled.
	go func() {
		for g.portion.Load() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	err := c.Gather(ctx, host, p, func(*answerer.Parts) { t.Error("parts were given") })
	qt.Assert(t, err, qt.IsNotNil)
	<-g.ended
	err = c.Gather(context.Background(), host, p, nil)
	qt.Assert(t, err, qt.ErrorIs, answerer.ErrDeclined, qt.Commentf("the connection is still there"))
}

// Guards against portions that are sent to an unreachable host.
func TestUnreachableHostIsNotUsable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	c := helper.NewClient(time.Now)
	qt.Assert(t, c.Usable(address), qt.IsFalse)
	qt.Assert(t, c.Usable("no address"), qt.IsFalse)
	closeAll(c)
}

package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/exchanger"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/platform"
)

// leaf accepts connections and answers each request with a given function.
type leaf struct {
	address  netip.AddrPort
	accepted atomic.Int32
	requests atomic.Int32
	ended    chan struct{}
}

// startLeaf starts a leaf. The function answer writes the leaf's response and returns false to close the connection.
func startLeaf(t *testing.T, answer func(conn net.Conn, r *http.Request) bool) *leaf {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	l := &leaf{address: netip.MustParseAddrPort(listener.Addr().String()), ended: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.accepted.Add(1)
			go l.serve(conn, answer)
		}
	}()
	return l
}

func (l *leaf) serve(conn net.Conn, answer func(net.Conn, *http.Request) bool) {
	defer func() { l.ended <- struct{}{} }()
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		l.requests.Add(1)
		if !answer(conn, r) {
			return
		}
	}
}

func answerOK(conn net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"))
	return err == nil
}

func newExchanger(options ...exchanger.Option) *exchanger.Exchanger {
	return exchanger.New(platform.Leaf{}, time.Now, options...)
}

func (l *leaf) call(id string) *carrier.Call {
	return &carrier.Call{
		Request: &carrier.Request{ID: id, Method: http.MethodGet, Host: "n.example", Target: "/", Header: http.Header{"Request-Id": {id}}},
		Leaf:    "i-1", Address: l.address, Deadline: time.Now().Add(time.Minute), MaxConnections: 1, IdleTimeout: time.Minute, MaxBody: 1 << 20,
	}
}

// Guards against a new connection for each request, and against more connections than the share.
func TestConnectionIsUsedAgain(t *testing.T) {
	l := startLeaf(t, answerOK)
	e := newExchanger()
	for i := range 5 {
		a, err := e.Do(context.Background(), l.call(fmt.Sprint(i)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.ID, qt.Equals, fmt.Sprint(i))
	}
	qt.Assert(t, l.accepted.Load(), qt.Equals, int32(1))
	qt.Assert(t, e.Stats().Reused, qt.Equals, uint64(4))
}

// The operator permits long headers. Guards against a header that does not reach the leaf whole.
func TestLongHeaderReachesTheLeaf(t *testing.T) {
	const size = 800 << 10 // What the test's leaf reads at most is 1 MiB.
	seen := make(chan int, 1)
	l := startLeaf(t, func(conn net.Conn, r *http.Request) bool {
		seen <- len(r.Header.Get("Filter"))
		return answerOK(conn, r)
	})
	c := l.call("1")
	c.Request.Header.Set("Filter", strings.Repeat("v", size))
	_, err := newExchanger().Do(context.Background(), c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-seen, qt.Equals, size)
}

// Guards against a non-idempotent request that is sent on a reused connection, which may be stale or unresponsive.
func TestFreshCallOpensAConnectionOfItsOwn(t *testing.T) {
	l := startLeaf(t, answerOK)
	e := newExchanger()
	_, err := e.Do(context.Background(), l.call("1"))
	qt.Assert(t, err, qt.IsNil)
	c := l.call("2")
	c.NewConnection = true
	_, err = e.Do(context.Background(), c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.accepted.Load(), qt.Equals, int32(2))
}

// Load: leaves send a second answer after the first, immediately or late. Guards against an extra answer that is
// returned for the next request.
func TestExtraBytesEndTheConnection(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "late": true} {
		sent := make(chan struct{}, 1)
		l := startLeaf(t, func(conn net.Conn, r *http.Request) bool {
			extra := "HTTP/1.1 200 OK\r\nServer-Stamp: extra\r\nContent-Length: 5\r\n\r\nextra"
			if !late {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok%s", extra)
				return true
			}
			answerOK(conn, r)
			go func() {
				_, _ = fmt.Fprint(conn, extra)
				sent <- struct{}{}
			}()
			return true
		})
		e := newExchanger()
		for i := range 3 {
			a, err := e.Do(context.Background(), l.call(fmt.Sprint(i)))
			qt.Assert(t, err, qt.IsNil, qt.Commentf(name))
			qt.Assert(t, a.Stamp, qt.Equals, "s", qt.Commentf(name))
			if late {
				<-sent
			}
		}
		qt.Assert(t, l.accepted.Load(), qt.Equals, int32(3), qt.Commentf(name))
	}
}

// Guards against a request that is sent on a connection which the leaf closed while it was idle.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	l := startLeaf(t, func(conn net.Conn, r *http.Request) bool {
		answerOK(conn, r)
		return false
	})
	e := newExchanger()
	for i := range 3 {
		_, err := e.Do(context.Background(), l.call(fmt.Sprint(i)))
		qt.Assert(t, err, qt.IsNil)
		<-l.ended
	}
}

// Load: callers disconnect before their deadline. Guards against a leaf that continues to work for a disconnected
// caller.
func TestEndOfTheCallEndsTheConnection(t *testing.T) {
	began := make(chan struct{})
	l := startLeaf(t, func(conn net.Conn, _ *http.Request) bool {
		close(began)
		_, err := conn.Read(make([]byte, 1))
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	_, err := newExchanger().Do(ctx, l.call("1"))
	qt.Assert(t, err, qt.ErrorIs, context.Canceled)
	<-l.ended
}

// Guards against a call that is reported as unsent although the leaf may have received it, and the reverse.
func TestFailuresAreToldApart(t *testing.T) {
	ctx := context.Background()
	closing := startLeaf(t, func(net.Conn, *http.Request) bool { return false })
	_, err := newExchanger().Do(ctx, closing.call("1"))
	qt.Assert(t, err, qt.ErrorIs, exchanger.ErrConnectionLost)

	garbling := startLeaf(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprint(conn, "no answer at all\r\n\r\n")
		return false
	})
	_, err = newExchanger().Do(ctx, garbling.call("1"))
	qt.Assert(t, err, qt.ErrorIs, exchanger.ErrInvalidAnswer)

	refused := newExchanger(exchanger.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}))
	_, err = refused.Do(ctx, closing.call("1"))
	qt.Assert(t, err, qt.ErrorIs, exchanger.ErrUnreachable)
}

// A leaf ends while it sends an answer. Guards against taking any part of the answer for a complete one, and against a lost
// leaf that is not told from one that sends bytes that are no answer: the request that ended it was then never refused.
func TestAnswerCutAnywhereIsALostConnection(t *testing.T) {
	for name, whole := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: 1\r\nContent-Length: 40\r\n\r\n" + strings.Repeat("x", 40),
		"chunks": "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"hints":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nx",
	} {
		for n := 1; n < len(whole); n++ {
			l := startLeaf(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = fmt.Fprint(conn, whole[:n])
				return false
			})
			a, err := newExchanger().Do(context.Background(), l.call("1"))
			qt.Assert(t, a, qt.IsNil, qt.Commentf("%s, %d bytes", name, n))
			qt.Assert(t, err, qt.ErrorIs, exchanger.ErrTruncated, qt.Commentf("%s, %d bytes", name, n))
		}
	}
}

// Guards against more connections to a leaf than this host's share.
func TestShareBoundsTheConnections(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	l := startLeaf(t, func(conn net.Conn, r *http.Request) bool {
		began <- struct{}{}
		<-release
		return answerOK(conn, r)
	})
	e := newExchanger()
	done := make(chan error, 1)
	go func() {
		_, err := e.Do(context.Background(), l.call("1"))
		done <- err
	}()
	<-began
	_, err := e.Do(context.Background(), l.call("2"))
	qt.Assert(t, errors.Is(err, exchanger.ErrBusy), qt.IsTrue)
	close(release)
	qt.Assert(t, <-done, qt.IsNil)
}

// Load: a leaf answers a long request before it has read the body, and keeps reading. Guards against a next request
// that the leaf reads as the rest of that body.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	const length = 16 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				_, _ = conn.Read(make([]byte, 512))
				_, _ = fmt.Fprint(conn, "HTTP/1.1 413 Content Too Large\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n")
			}()
		}
	}()
	l := &leaf{address: netip.MustParseAddrPort(listener.Addr().String())}
	e := newExchanger()
	for i := range 2 {
		c := l.call(fmt.Sprint(i))
		c.Request.Method, c.Request.Body = http.MethodPost, []byte(strings.Repeat("x", length))
		a, err := e.Do(context.Background(), c)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.Status, qt.Equals, http.StatusRequestEntityTooLarge)
	}
	qt.Assert(t, accepted.Load(), qt.Equals, int32(2))
}

// Guards against idle connections that are never closed.
func TestSweepClosesExpiredConnections(t *testing.T) {
	l := startLeaf(t, answerOK)
	e := newExchanger()
	_, err := e.Do(context.Background(), l.call("1"))
	qt.Assert(t, err, qt.IsNil)
	e.Sweep(time.Now().Add(2 * time.Minute))
	<-l.ended
	_, err = e.Do(context.Background(), l.call("2"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.accepted.Load(), qt.Equals, int32(2))
}

// A call is superseded by its hedge. Guards against a new connection for each such call, and against an answer of the
// superseded call that is taken for the next one's.
func TestConnectionOfASupersededCallIsReused(t *testing.T) {
	proceed := make(chan struct{})
	l := startLeaf(t, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Request-Id") == "1" {
			<-proceed
		}
		return answerOK(conn, r)
	})
	e := newExchanger()
	c := l.call("1")
	c.Linger = time.Minute
	ctx, cancel := context.WithCancelCause(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := e.Do(ctx, c)
		done <- err
	}()
	qt.Assert(t, waitFor(func() bool { return l.requests.Load() == 1 }), qt.IsTrue)
	cancel(exchanger.ErrSuperseded)
	close(proceed)
	qt.Assert(t, <-done, qt.IsNil)
	a, err := e.Do(context.Background(), l.call("2"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.ID, qt.Equals, "2")
	qt.Assert(t, l.accepted.Load(), qt.Equals, int32(1))
}

// All connections of the share belong to superseded calls of a paused leaf. Guards against a request that is refused because
// of connections that nobody waits for.
func TestSupersededCallMakesRoom(t *testing.T) {
	proceed := make(chan struct{})
	defer close(proceed)
	l := startLeaf(t, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Request-Id") == "1" {
			<-proceed
		}
		return answerOK(conn, r)
	})
	e := newExchanger()
	c := l.call("1")
	c.Linger = time.Minute
	ctx, cancel := context.WithCancelCause(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := e.Do(ctx, c)
		done <- err
	}()
	qt.Assert(t, waitFor(func() bool { return l.requests.Load() == 1 }), qt.IsTrue)
	cancel(exchanger.ErrSuperseded)
	qt.Assert(t, waitFor(func() bool {
		_, err := e.Do(context.Background(), l.call("2"))
		return err == nil
	}), qt.IsTrue)
	qt.Assert(t, <-done, qt.IsNotNil)
}

// waitFor polls until a condition holds. It reports false if it does not within a generous time.
func waitFor(condition func() bool) bool {
	for range 2000 {
		if condition() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

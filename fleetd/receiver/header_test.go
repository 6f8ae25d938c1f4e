package receiver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/peeker"
	"lycheelift.example/lib/router"
)

// limitedHost serves callers under limits that can change.
type limitedHost struct {
	limits   atomic.Pointer[router.Limits]
	listener *pipeListener
	// served counts the requests that reached the handler.
	served atomic.Int32
}

// inHost runs a test against a host in a synctest bubble.
func inHost(t *testing.T, limits router.Limits, f func(t *testing.T, h *limitedHost)) {
	output := eventer.NewOutput(bytes.NewBuffer(nil))
	defer output.Close()
	eventer.SetOutput(output)
	synctest.Test(t, func(t *testing.T) {
		h := &limitedHost{listener: &pipeListener{conns: make(chan net.Conn, 1)}}
		h.limits.Store(&limits)
		r := New(func() router.Limits { return *h.limits.Load() }, time.Second, time.Now)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			ended <- r.serve(ctx, h.listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				h.served.Add(1)
				body, err := io.ReadAll(request.Body)
				qt.Check(t, err, qt.IsNil)
				w.Header().Set("Length", strings.Repeat("x", len(body)))
				w.WriteHeader(http.StatusNoContent)
			}))
		}()
		f(t, h)
		stop()
		qt.Assert(t, <-ended, qt.IsNil)
	})
}

// caller is a connection of a caller.
type caller struct {
	net.Conn

	reader *bufio.Reader
}

// connect opens a connection.
func (h *limitedHost) connect(t *testing.T) *caller {
	near, far := net.Pipe()
	h.listener.conns <- near
	t.Cleanup(func() { _ = far.Close() })
	return &caller{far, bufio.NewReader(far)}
}

// pause is the time between two parts of a request.
type pause time.Duration

// status sends the parts of a request and returns the status code of the response, 0 if the connection ends without one. A part
// is text or a pause.
func (c *caller) status(parts ...any) int {
	var writing sync.WaitGroup
	defer writing.Wait()
	writing.Go(func() {
		for _, part := range parts {
			switch part := part.(type) {
			case pause:
				time.Sleep(time.Duration(part))
			case string:
				_, _ = c.Write([]byte(part)) // The host may refuse the request before it has read all of it.
			}
		}
	})
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// request returns a request with a header field of a size.
func request(size int) string {
	return "GET /one/1 HTTP/1.1\r\nHost: n\r\nFilter: " + strings.Repeat("v", size) + "\r\n\r\n"
}

// The operator raises and lowers the limit on headers while connections are open. Guards against a limit other than that of the
// configuration in force, and against one that applies to new connections only.
func TestHeaderLimitChangesOnOpenConnections(t *testing.T) {
	inHost(t, router.Limits{Header: 16 << 10}, func(t *testing.T, h *limitedHost) {
		open := h.connect(t)
		qt.Assert(t, open.status(request(9000)), qt.Equals, http.StatusNoContent)
		qt.Assert(t, h.connect(t).status(request(90_000)), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		h.limits.Store(&router.Limits{Header: 128 << 10})
		for _, c := range []*caller{open, h.connect(t), open} {
			qt.Assert(t, c.status(request(90_000)), qt.Equals, http.StatusNoContent)
		}
		h.limits.Store(&router.Limits{Header: 2 << 20})
		qt.Assert(t, open.status(request(1<<20)), qt.Equals, http.StatusNoContent)
		h.limits.Store(&router.Limits{Header: 16 << 10})
		qt.Assert(t, open.status(request(90_000)), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		qt.Assert(t, h.served.Load(), qt.Equals, int32(5))
	})
}

// Guards against a request whose body counts as a part of its header.
func TestBodyIsNoPartOfTheHeader(t *testing.T) {
	inHost(t, router.Limits{Header: 1 << 10, HeaderTimeout: time.Second}, func(t *testing.T, h *limitedHost) {
		c := h.connect(t)
		for range 2 {
			head, half := "POST /one/1 HTTP/1.1\r\nHost: n\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("b", 50_000)
			qt.Assert(t, c.status(head, half, pause(10*time.Second), half), qt.Equals, http.StatusNoContent)
		}
	})
}

// Callers send their headers slowly. Guards against a time limit other than that of the configuration in force, also when it
// changes while a header is received, and against a caller that is not told that its request has not run.
func TestHeaderTimeoutIsTheConfiguredOne(t *testing.T) {
	const head, rest = "GET /one/1 HTTP/1.1\r\nHo", "st: n\r\n\r\n"
	inHost(t, router.Limits{HeaderTimeout: 30 * time.Second, IdleTimeout: time.Minute}, func(t *testing.T, h *limitedHost) {
		c := h.connect(t)
		for range 2 {
			qt.Assert(t, c.status(head, pause(13*time.Second), rest), qt.Equals, http.StatusNoContent)
			time.Sleep(50 * time.Second)
		}
		qt.Assert(t, c.status(head, pause(31*time.Second), rest), qt.Equals, http.StatusRequestTimeout)
		c = h.connect(t)
		time.AfterFunc(10*time.Second, func() { h.limits.Store(&router.Limits{HeaderTimeout: time.Minute}) })
		qt.Assert(t, c.status(head, pause(50*time.Second), rest), qt.Equals, http.StatusNoContent)
		h.limits.Store(&router.Limits{HeaderTimeout: 2 * time.Second})
		qt.Assert(t, c.status(head, pause(3*time.Second), rest), qt.Equals, http.StatusRequestTimeout)
		qt.Assert(t, h.served.Load(), qt.Equals, int32(3))
	})
}

// Callers open a connection before they have a request. Guards against a connection that is closed although it may still be idle,
// and against one that is never closed.
func TestConnectionMayBeIdleBeforeItsFirstRequest(t *testing.T) {
	inHost(t, router.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, func(t *testing.T, h *limitedHost) {
		qt.Assert(t, h.connect(t).status(pause(12*time.Second), request(1)), qt.Equals, http.StatusNoContent)
		began := time.Now()
		qt.Assert(t, h.connect(t).status(), qt.Equals, 0)
		qt.Assert(t, time.Since(began), qt.Equals, 15*time.Second)
	})
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	far, err = net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	near, err = listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// The process is suspended while a header arrives. Guards against a request that has arrived in time and is refused because the
// process reads it late, and against a header that may take for ever.
func TestHeaderThatHasArrivedIsReadAfterItsTime(t *testing.T) {
	near, far := tcpPair(t)
	now := time.Now()
	c := &headerConn{Conn: near, limits: func() router.Limits { return router.Limits{HeaderTimeout: time.Second} }, clock: func() time.Time { return now }, began: now}
	buffer := make([]byte, 16)
	for _, part := range []string{"GET /", "one/1"} {
		_, err := far.Write([]byte(part))
		qt.Assert(t, err, qt.IsNil)
		for peeker.NoPendingData(near) {
			time.Sleep(time.Millisecond)
		}
		n, err := c.Read(buffer)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(buffer[:n]), qt.Equals, part)
		now = now.Add(time.Minute)
	}
	_ = far.Close()
	_, err := c.Read(buffer)
	qt.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errHeaderRefused), qt.IsTrue, qt.Commentf("%v", err))
}

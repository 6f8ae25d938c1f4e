package exchanger_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/exchanger"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/platform"
)

// endless is a connection to a leaf that sends a prefix and then repeats the same bytes until it is closed.
type endless struct {
	net.Conn

	begin     io.Reader
	repeat    []byte
	heldBytes *heldBytes
	sent      atomic.Int64
	closed    atomic.Bool
}

// heldBytes counts the bytes that were read from the open connections.
type heldBytes struct {
	sync.Mutex

	bytes, peak int64
}

func (p *heldBytes) add(n int64) {
	p.Lock()
	defer p.Unlock()
	p.bytes += n
	p.peak = max(p.peak, p.bytes)
}

func (e *endless) Read(p []byte) (int, error) {
	if e.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := e.begin.Read(p)
	if err == io.EOF {
		for n < len(p) {
			n += copy(p[n:], e.repeat)
		}
	}
	e.sent.Add(int64(n))
	e.heldBytes.add(int64(n))
	runtime.Gosched() // Lets the other leaves send in between.
	return n, nil
}

func (*endless) Write(p []byte) (int, error)   { return len(p), nil }
func (*endless) SetDeadline(_ time.Time) error { return nil }

func (e *endless) Close() error {
	if !e.closed.Swap(true) {
		e.heldBytes.add(-e.sent.Load())
	}
	return nil
}

// floods are answers that never end, by the position of the repeated bytes.
var floods = map[string]struct{ begin, repeat string }{
	"no answer":        {"", "x"},
	"no answer, lines": {"", "x\n"},
	"empty lines":      {"", "\r\n"},
	"zero bytes":       {"", "\x00"},
	"head lines":       {"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n", "X-More: more\r\n"},
	"one head line":    {"HTTP/1.1 200 OK\r\nX-More: ", "x"},
	"status line":      {"HTTP/1.1 200 ", "x"},
	"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"interim head":     {"HTTP/1.1 103 Early Hints\r\n", "X-More: more\r\n"},
	"body to the end":  {"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n", "0123456789abcdef"},
	"long length":      {"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 9000000000\r\n\r\n", "0123456789abcdef"},
	"chunks":           {"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
	"chunk extensions": {"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n10;", "x"},
	"trailers":         {"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n"},
}

// Load: a hundred faulty leaves at once, each of which sends bytes without end until its connection is closed. Guards
// against a host that reads until it runs out of memory, and against a truncated response that is accepted as an
// answer.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	const leaves, body, quota = 100, 1 << 20, 8 << 20
	// Each answer may use a head, a body and their buffers; large bodies share the quota.
	const maxHeldBytes = quota + leaves*(256<<10)
	for name, flood := range floods {
		var open heldBytes
		conns := make(chan *endless, leaves)
		e := exchanger.New(platform.Leaf{}, time.Now, exchanger.WithQuota(quota), exchanger.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			c := &endless{begin: strings.NewReader(flood.begin), repeat: bytes.Repeat([]byte(flood.repeat), 64), heldBytes: &open}
			conns <- c
			return c, nil
		}))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var all sync.WaitGroup
		for i := range leaves {
			all.Go(func() {
				answer, err := e.Do(context.Background(), floodCall(i, body))
				qt.Check(t, err, qt.ErrorIs, exchanger.ErrInvalidAnswer, qt.Commentf(name))
				qt.Check(t, answer, qt.IsNil, qt.Commentf(name))
			})
		}
		all.Wait()
		runtime.ReadMemStats(&after)
		close(conns)
		var sent int64
		for c := range conns {
			sent += c.sent.Load()
			qt.Check(t, c.closed.Load(), qt.IsTrue, qt.Commentf(name))
		}
		qt.Check(t, open.peak <= maxHeldBytes, qt.IsTrue, qt.Commentf("%s: %d bytes were held at one time", name, open.peak))
		qt.Check(t, sent <= leaves*(2*body), qt.IsTrue, qt.Commentf("%s: %d bytes were read", name, sent))
		// Buffers grow by doubling.
		const perByte, buffers = 8, 64 << 10
		allocated := after.TotalAlloc - before.TotalAlloc
		qt.Check(t, allocated < perByte*uint64(sent)+leaves*buffers, qt.IsTrue, qt.Commentf("%s: %d bytes were allocated", name, allocated))
	}
}

// shortFields returns head fields with short names and empty values. A decoded field takes many times its bytes.
func shortFields(name func(i int) string) []byte {
	var out bytes.Buffer
	for i := range 1 << 14 {
		fmt.Fprintf(&out, "%s:\n", name(i))
	}
	return out.Bytes()
}

// Load: a hundred faulty leaves at once, each of which sends short head fields without end. Guards against a host whose memory
// is used up by decoded fields although few bytes have arrived.
func TestEndlessHeadFieldsTakeLittleMemory(t *testing.T) {
	const leaves, maxBytes = 100, 256 << 10 // per answer
	for name, fields := range map[string][]byte{
		"one name":       shortFields(func(int) string { return "X" }),
		"distinct names": shortFields(func(i int) string { return strconv.FormatInt(int64(i), 36) }),
	} {
		var open heldBytes
		e := exchanger.New(platform.Leaf{}, time.Now, exchanger.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			return &endless{begin: strings.NewReader("HTTP/1.1 200 OK\r\n"), repeat: fields, heldBytes: &open}, nil
		}))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var all sync.WaitGroup
		for i := range leaves {
			all.Go(func() {
				_, err := e.Do(context.Background(), floodCall(i, 1<<20))
				qt.Check(t, err, qt.ErrorIs, exchanger.ErrTooLong, qt.Commentf(name))
				qt.Check(t, err, qt.ErrorIs, exchanger.ErrInvalidAnswer, qt.Commentf(name))
			})
		}
		all.Wait()
		runtime.ReadMemStats(&after)
		allocated := (after.TotalAlloc - before.TotalAlloc) / leaves
		qt.Check(t, allocated < maxBytes, qt.IsTrue, qt.Commentf("%s: %d bytes were allocated for each answer", name, allocated))
	}
}

// Guards against a body that is taken for further lines of the head, and so for a head that is too long.
func TestLinesOfABodyAreNoHead(t *testing.T) {
	var open heldBytes
	body := strings.Repeat("\n", 1<<20)
	for _, head := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		e := exchanger.New(platform.Leaf{}, time.Now, exchanger.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			one := fmt.Sprintf("%sHTTP/1.1 200 OK\r\nServer-Stamp: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
			return &endless{begin: strings.NewReader(one), repeat: []byte("x"), heldBytes: &open}, nil
		}))
		answer, err := e.Do(context.Background(), floodCall(1, int64(len(body))))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(answer.Body), qt.Equals, len(body))
	}
}

func floodCall(i int, body int64) *carrier.Call {
	id := fmt.Sprint(i)
	return &carrier.Call{
		Request: &carrier.Request{ID: id, Method: http.MethodGet, Host: "n.example", Target: "/", Header: http.Header{"Request-Id": {id}}},
		Leaf:    "i-" + id, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)), Deadline: time.Now().Add(time.Minute),
		MaxConnections: 1, IdleTimeout: time.Minute, MaxBody: body,
	}
}

// Load: faulty leaves use up the quota for large answers. Guards against small answers of healthy leaves that are
// refused as a result, and against a quota that is not released.
func TestSmallAnswersNeedNoQuota(t *testing.T) {
	var open heldBytes
	large := strings.Repeat("x", 200<<10)
	for _, length := range []int{2, len(large)} {
		e := exchanger.New(platform.Leaf{}, time.Now, exchanger.WithQuota(256<<10), exchanger.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			one := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", length, large[:length])
			return &endless{begin: strings.NewReader(one), repeat: []byte("x"), heldBytes: &open}, nil
		}))
		for i := range 20 {
			answer, err := e.Do(context.Background(), floodCall(i, 1<<20))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(answer.Body), qt.Equals, length)
		}
	}
}

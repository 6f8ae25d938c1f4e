package answerer_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/fleetd/exchanger"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/platform"
)

// instant answers every call immediately.
type instant struct{}

func (instant) Do(_ context.Context, c *carrier.Call) (*carrier.Answer, error) {
	c.Gate.Pass()
	return &carrier.Answer{Status: 200, Stamp: "s", ID: c.Request.ID, Body: make([]byte, 16)}, nil
}

func gatherRequest(id string) *carrier.Request {
	return &carrier.Request{
		ID: id, Method: http.MethodGet, Host: "n", Path: "/all/x", Target: "/all/x", Received: time.Now(), Timeout: timeout,
		Header: http.Header{"Request-Id": {id}, "User-Agent": {"bench"}},
	}
}

func benchmark(b *testing.B, f *fleet, caller answerer.Caller) {
	output := eventer.NewOutput(bytes.NewBuffer(nil))
	defer output.Close()
	eventer.SetOutput(output)
	a := answerer.New("host", "a", f, caller, answerer.Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}, time.Now)
	b.ReportAllocs()
	for b.Loop() {
		reply := a.Answer(context.Background(), gatherRequest("r"))
		qt.Assert(b, reply.Outcome, qt.Equals, carrier.Gathered)
	}
}

// BenchmarkDecisions measures the cost of a query without any network I/O.
func BenchmarkDecisions(b *testing.B) {
	for _, shards := range []int{10, 15, 54, 990} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) { benchmark(b, newFleet(shards), instant{}) })
	}
}

// serveRaw sends a fixed response after every empty line, to keep its own cost low.
func serveRaw(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nServer-Stamp: s\r\nServer-Load: 1,0,4\r\n" +
		"Request-Id: r\r\nKeep-Alive: timeout=15\r\nContent-Length: 1008\r\n\r\n" + string(make([]byte, 1008)))
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > 2 {
			continue
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// unlimitedShare permits as many connections as needed, because all leaves share one address.
type unlimitedShare struct{ *exchanger.Exchanger }

func (w unlimitedShare) Do(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
	c.MaxConnections = 1000
	return w.Exchanger.Do(ctx, c)
}

// BenchmarkQuery measures a query over connections to leaves in the same process. The result includes the cost of the
// leaves.
func BenchmarkQuery(b *testing.B) {
	const shards = 36
	f := newFleet(shards)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn)
		}
	}()
	address := netip.MustParseAddrPort(listener.Addr().String())
	for _, leaves := range f.view.Holders {
		for _, l := range leaves {
			l.Address = address
		}
	}
	e := exchanger.New(platform.Leaf{}, time.Now)
	benchmark(b, f, unlimitedShare{e})
}

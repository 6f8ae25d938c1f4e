package pooler_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/entryd/pooler"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
)

// most is what a host may read of one answer: the bound of a message, and what is on its way when it is reached.
const most = 16 << 20

// Load: a backend server in trouble sends bytes without end, in a body or in a head. Guards against a host that reads them
// until its memory is used up.
func TestEndlessAnswersEnd(t *testing.T) {
	for name, answer := range map[string]func(w http.ResponseWriter, sent *atomic.Int64){
		"body": func(w http.ResponseWriter, sent *atomic.Int64) {
			w.Header().Set("Content-Type", "application/proto")
			block := make([]byte, 64<<10)
			for sent.Load() < 4*most {
				n, err := w.Write(block)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		},
		"head": func(w http.ResponseWriter, _ *atomic.Int64) {
			for i := range 10_000 {
				w.Header().Set("X-More-"+strconv.Itoa(i), strings.Repeat("x", 100))
			}
			w.WriteHeader(http.StatusOK)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			protocols := &http.Protocols{}
			protocols.SetUnencryptedHTTP2(true)
			server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w, &sent) })}
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			ready := make(chan struct{}, 100)
			pool := pooler.New(netip.MustParseAddrPort(listener.Addr().String()), 1, 8, func() bool { return true }, func() { ready <- struct{}{} }, time.Now)
			t.Cleanup(pool.Close)
			<-ready
			conn, ok := pool.Get()
			qt.Assert(t, ok, qt.IsTrue)
			_, err = conn.Leaf.Execute(context.Background(), &backendv1.ExecuteRequest{})
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, sent.Load() <= most, qt.IsTrue, qt.Commentf("%d bytes were sent", sent.Load()))
		})
	}
}

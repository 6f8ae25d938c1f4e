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

// maxBytesRead bounds the bytes that a server can send for one answer: the limit of a message, plus the bytes that are in
// flight when the limit is reached.
const maxBytesRead = 16 << 20

// Guards against a host running out of memory because it reads an endless response body or endless response headers from
// a faulty backend server.
func TestEndlessAnswersEnd(t *testing.T) {
	for name, answer := range map[string]func(w http.ResponseWriter, sent *atomic.Int64){
		"body": func(w http.ResponseWriter, sent *atomic.Int64) {
			w.Header().Set("Content-Type", "application/proto")
			block := make([]byte, 64<<10)
			for sent.Load() < 4*maxBytesRead {
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
			qt.Assert(t, sent.Load() <= maxBytesRead, qt.IsTrue, qt.Commentf("%d bytes were sent", sent.Load()))
		})
	}
}

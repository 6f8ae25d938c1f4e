package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, host, path string
	header             map[string]string
	body               []byte
	deadline           time.Duration
	// sent is called with the id of the attempt and the time at which it is sent, if it is not nil.
	sent func(id string, at time.Time)
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	header http.Header
	body   []byte
	err    error
}

var attempts atomic.Uint64

// attempt sends a request on a new connection.
func (d *deployment) attempt(h *host, q request) answer {
	out := answer{id: fmt.Sprintf("%016x", 0x5a00000000000000+attempts.Add(1)), sent: time.Now()}
	if q.sent != nil {
		q.sent(out.id, out.sent)
	}
	d.record.line("client: %s %s%s %s to %s", q.method, q.host, q.path, out.id, h.name)
	defer func() {
		out.took = time.Since(out.sent)
		d.record.line("client: %s from %s after %s: %d %v", out.id, h.name, out.took.Round(time.Millisecond), out.status, out.err)
	}()
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.ip, callerPort), time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(out.sent.Add(q.deadline))
	out.status, out.header, out.body, out.err = exchange(c, bufio.NewReader(c), q, out.id)
	return out
}

// exchange sends a request on a connection and reads the answer.
func exchange(c net.Conn, in *bufio.Reader, q request, id string) (int, http.Header, []byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, id, q.deadline.Milliseconds())
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if len(q.body) > 0 || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return 0, nil, nil, err
	}
	r, err := http.ReadResponse(in, &http.Request{Method: q.method})
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header, body, err
}

// Package helper lets entry hosts gather portions of queries for one another: its client sends portions to other
// hosts, and its service gathers the portions that other hosts send.
package helper

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/fleetd/linker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Client has portions gathered by other hosts. It is safe for concurrent use.
type Client struct {
	clock       func() time.Time
	dialOptions []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// unlisted holds the time since which a connected host has not been listed.
	unlisted map[string]time.Time
}

// NewClient returns a client without connections.
func NewClient(clock func() time.Time) *Client {
	dial, _ := linker.Options()
	return &Client{clock: clock, dialOptions: dial, conns: make(map[string]*grpc.ClientConn), unlisted: make(map[string]time.Time)}
}

// Usable reports whether a host is connected. If it is not, Usable starts to open a connection.
func (c *Client) Usable(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[host]
	if !ok {
		var err error
		if conn, err = grpc.NewClient("passthrough:///"+host, c.dialOptions...); err != nil {
			return false // The address is invalid; another host is chosen.
		}
		c.conns[host] = conn
	}
	conn.Connect()
	return conn.GetState() == connectivity.Ready
}

// Connected reports whether a host is connected. It opens no connection.
func (c *Client) Connected(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[host]
	return ok && conn.GetState() == connectivity.Ready
}

// Await waits until one of the hosts is connected, none of them is still connecting, or ctx ends.
func (c *Client) Await(ctx context.Context, hosts []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	for _, host := range hosts {
		if c.Usable(host) {
			break
		}
		c.mu.Lock()
		conn := c.conns[host]
		c.mu.Unlock()
		if conn == nil {
			continue
		}
		running.Go(func() {
			if awaitConnected(ctx, conn) == connectivity.Ready {
				cancel()
			}
		})
	}
	running.Wait()
}

// awaitConnected waits until a connection is no longer being opened, or ctx ends, and returns its state.
func awaitConnected(ctx context.Context, conn *grpc.ClientConn) connectivity.State {
	state := conn.GetState()
	for (state == connectivity.Idle || state == connectivity.Connecting) && conn.WaitForStateChange(ctx, state) {
		state = conn.GetState()
	}
	return state
}

// Reasons why a portion is not sent to a host.
var (
	// errNotConnected means that the connection was closed after the host was chosen.
	errNotConnected = errors.New("the host is not connected")
	// errTooLarge means that the caller's request does not fit into a message.
	errTooLarge = errors.New("the request is too large for a message")
)

// Gather has a portion gathered by a host. If the host has sent nothing when the portion's soft deadline has passed,
// its connection is closed, because it may be dead.
func (c *Client) Gather(ctx context.Context, host string, p *answerer.Portion, emit func(*answerer.Parts)) error {
	c.mu.Lock()
	conn, ok := c.conns[host]
	c.mu.Unlock()
	if !ok {
		return errors.Join(answerer.ErrDeclined, errNotConnected)
	}
	request := encode(p, c.clock())
	if proto.Size(request) > linker.MaxMessageBytes {
		return errors.Join(answerer.ErrDeclined, errTooLarge)
	}
	stream, err := peerv1.NewGatherServiceClient(conn).Gather(ctx, request)
	received := false
	for err == nil {
		var m *peerv1.GatherResponse
		if m, err = stream.Recv(); err != nil {
			break
		}
		received = true
		emit(&answerer.Parts{Stamps: toStrings(m.GetStamps()), Records: m.GetRecords(), Final: m.GetLast(), NotRun: m.GetUnrun(), LostConnections: int(m.GetLost()), Expected: m.GetExpected().AsDuration()})
	}
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case status.Code(err) == codes.FailedPrecondition:
		return errors.Join(answerer.ErrDeclined, err)
	case !received && c.clock().After(p.SoftDeadline):
		c.drop(host, conn)
	}
	return err
}

// drop closes a connection. A new one is opened when Usable is next called for the host.
func (c *Client) drop(host string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[host] == conn {
		delete(c.conns, host)
		_ = conn.Close()
	}
}

// unlistedRetention is how long the connection to a host is kept after the host is no longer listed: its control host
// may only have been silent for a moment, and the host may still be gathering portions.
const unlistedRetention = 10 * time.Second

// CloseUnlisted closes the connections to hosts that have been missing from the given list for unlistedRetention.
func (c *Client) CloseUnlisted(hosts []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, conn := range c.conns {
		if slices.Contains(hosts, host) {
			delete(c.unlisted, host)
			continue
		}
		since, ok := c.unlisted[host]
		if !ok {
			c.unlisted[host] = now
		}
		if ok && now.Sub(since) >= unlistedRetention {
			delete(c.conns, host)
			delete(c.unlisted, host)
			_ = conn.Close()
		}
	}
}

// encode converts a portion to its message. Times are sent as remaining durations, because hosts' clocks differ.
func encode(p *answerer.Portion, now time.Time) *peerv1.GatherRequest {
	r := p.Request
	out := &peerv1.GatherRequest{
		Id: []byte(r.ID), Method: []byte(r.Method), Host: []byte(r.Host), Target: []byte(r.Target), Route: p.Route, Version: p.Version, Services: p.Services,
		Top: toUint32(p.Top), Attempts: toUint32(p.Attempts), Spare: toUint32(p.MaxMissing), Asker: p.Requester,
		Aim: durationpb.New(p.SoftDeadline.Sub(now)), Left: durationpb.New(p.Deadline.Sub(now)), Goal: durationpb.New(p.RouteTarget),
		Body: r.Body, Key: p.Key, Tenant: r.Tenant, Ordinal: toUint32(p.KeyOrdinal), Priority: int32(min(max(p.Priority, math.MinInt32), math.MaxInt32)),
	}
	out.Header, out.Withheld = encodeHeader(r.Header), encodeHeader(r.Withheld)
	return out
}

// toUint32 returns the number of 32 bits that is nearest to n.
func toUint32(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}

func encodeHeader(header http.Header) []*peerv1.HeaderField {
	var out []*peerv1.HeaderField
	for name, values := range header {
		for _, value := range values {
			out = append(out, &peerv1.HeaderField{Name: []byte(name), Value: []byte(value)})
		}
	}
	return out
}

func decodeHeader(fields []*peerv1.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, f := range fields {
		header.Add(string(f.GetName()), string(f.GetValue()))
	}
	return header
}

// decode converts a received message to a portion.
func decode(m *peerv1.GatherRequest, now time.Time) *answerer.Portion {
	return &answerer.Portion{
		Request: callerRequest(m, now), Route: m.GetRoute(), RouteTarget: m.GetGoal().AsDuration(), Services: m.GetServices(), Key: m.GetKey(),
		Top: int(m.GetTop()), Attempts: int(m.GetAttempts()), MaxMissing: int(m.GetSpare()), Requester: m.GetAsker(), Version: m.GetVersion(),
		KeyOrdinal: int(m.GetOrdinal()), Priority: int(m.GetPriority()), SoftDeadline: now.Add(m.GetAim().AsDuration()), Deadline: now.Add(m.GetLeft().AsDuration()),
	}
}

// toStrings and toBytes convert signatures, which need not be UTF-8.
func toStrings(in [][]byte) []string {
	out := make([]string, 0, len(in))
	for _, b := range in {
		out = append(out, string(b))
	}
	return out
}

func toBytes(in []string) [][]byte {
	out := make([][]byte, 0, len(in))
	for _, s := range in {
		out = append(out, []byte(s))
	}
	return out
}

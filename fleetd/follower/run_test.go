package follower_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"lycheelift.example/fleetd/follower"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// control is a control host that sends the messages from a channel.
type control struct {
	peerv1.UnimplementedFollowServiceServer

	address  string
	messages chan *peerv1.FollowResponse
	mu       sync.Mutex
	streams  int
}

func startControl(t *testing.T) *control {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	c := &control{address: listener.Addr().String(), messages: make(chan *peerv1.FollowResponse, 10000)}
	server := grpc.NewServer()
	peerv1.RegisterFollowServiceServer(server, c)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return c
}

func (c *control) Follow(_ *peerv1.FollowRequest, out peerv1.FollowService_FollowServer) error {
	c.mu.Lock()
	c.streams++
	c.mu.Unlock()
	for {
		select {
		case m := <-c.messages:
			if err := out.Send(m); err != nil {
				return err
			}
		case <-out.Context().Done():
			return nil
		}
	}
}

// silent accepts connections and sends nothing, like a host that is frozen or partitioned.
func silent(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// waitForVersion waits until a version is active. If that never happens, the timeout of the test ends the wait.
func waitForVersion(f *follower.Follower, version uint64) {
	for f.View().Version() != version {
		time.Sleep(time.Millisecond)
	}
}

// run runs a client and returns a function that stops it.
func run(client *follower.Client) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(ended)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// Guards against an entry host that waits for a control host that does not answer, and against one that stays with a
// control host that has lost its leader while another one has not.
func TestNextControlHostIsFollowed(t *testing.T) {
	first, second := startControl(t), startControl(t)
	f := follower.New(decode, time.Now())
	silentAddress := silent(t)
	seeds := func() []string { return []string{silentAddress, first.address} }
	client := follower.NewClient(f, "entry", "a", "", seeds, time.Now)
	defer run(client)()
	first.messages <- &peerv1.FollowResponse{
		Index: 1, Settled: true, Document: document(1),
		Controls: []*peerv1.ControlHost{{Address: first.address, Center: "a"}, {Address: second.address, Center: "b"}},
	}
	waitForVersion(f, 1)
	for f.View().Version() != 2 {
		first.messages <- &peerv1.FollowResponse{Index: 1}
		second.messages <- &peerv1.FollowResponse{Index: 2, Settled: true, Document: document(2)}
		time.Sleep(50 * time.Millisecond)
	}
}

// All hosts lose power. The control host that answers first has had no contact with a leader yet and holds an older
// configuration. Guards against an entry host that returns to the older configuration and to departed leaves.
func TestOlderStateIsNotTakenWhileALeaderMayBeHeard(t *testing.T) {
	first, second := startControl(t), startControl(t)
	var mu sync.Mutex
	var decoded []string
	f := follower.New(func(body []byte) (*router.Document, error) {
		mu.Lock()
		defer mu.Unlock()
		decoded = append(decoded, string(body))
		return decode(body)
	}, start)
	client := follower.NewClient(f, "entry", "a", "", func() []string { return []string{first.address, second.address} }, func() time.Time { return start })
	first.messages <- &peerv1.FollowResponse{Index: 1, Document: document(1), Leaves: []*peerv1.RosterLeaf{leaf("left", 1, "a", "10.0.0.1:80")}}
	defer run(client)()
	for len(first.messages) > 0 {
		time.Sleep(time.Millisecond)
	}
	first.messages <- &peerv1.FollowResponse{Index: 1, Alone: true}
	for f.View().IsolatedSince.IsZero() {
		time.Sleep(time.Millisecond) // Isolation is recorded immediately, even before the control host is accepted.
	}
	second.messages <- &peerv1.FollowResponse{Index: 2, Settled: true, Document: document(2)}
	waitForVersion(f, 2)
	mu.Lock()
	defer mu.Unlock()
	qt.Assert(t, decoded, qt.DeepEquals, []string{"version 2"})
	qt.Assert(t, names(f), qt.HasLen, 0)
}

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

// control is a control host that sends what it is given.
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

// silent accepts connections and says nothing, as a host does that is frozen or behind a cut.
func silent(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// eventually waits until the version is in force; the test's own timeout ends a wait in vain.
func eventually(f *follower.Follower, version uint64) {
	for f.View().Version() != version {
		time.Sleep(time.Millisecond)
	}
}

// run runs a client; the function that it returns ends it.
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

// Guards against an entry host that waits for a control host which answers nothing, and against one that stays with
// a control host which has lost its leader while another one has not.
func TestNextControlHostIsFollowed(t *testing.T) {
	first, second := startControl(t), startControl(t)
	f := follower.New(decode, time.Now())
	mute := silent(t)
	seeds := func() []string { return []string{mute, first.address} }
	client := follower.NewClient(f, "entry", "a", "", seeds, time.Now)
	defer run(client)()
	first.messages <- &peerv1.FollowResponse{
		Index: 1, Settled: true, Document: document(1),
		Controls: []*peerv1.ControlHost{{Address: first.address, Center: "a"}, {Address: second.address, Center: "b"}},
	}
	eventually(f, 1)
	for f.View().Version() != 2 {
		first.messages <- &peerv1.FollowResponse{Index: 1}
		second.messages <- &peerv1.FollowResponse{Index: 2, Settled: true, Document: document(2)}
		time.Sleep(50 * time.Millisecond)
	}
}

// Load: all hosts lose power. The control host that is heard first has not heard from a leader yet and knows an older
// configuration. Guards against an entry host that goes back to what was in force before, and to leaves that had left.
func TestOlderStateIsNotTakenWhileALeaderMayBeHeard(t *testing.T) {
	first, second := startControl(t), startControl(t)
	var mu sync.Mutex
	var taken []string
	f := follower.New(func(body []byte) (*router.Document, error) {
		mu.Lock()
		defer mu.Unlock()
		taken = append(taken, string(body))
		return decode(body)
	}, start)
	client := follower.NewClient(f, "entry", "a", "", func() []string { return []string{first.address, second.address} }, func() time.Time { return start })
	first.messages <- &peerv1.FollowResponse{Index: 1, Document: document(1), Leaves: []*peerv1.RosterLeaf{leaf("left", 1, "a", "10.0.0.1:80")}}
	defer run(client)()
	for len(first.messages) > 0 {
		time.Sleep(time.Millisecond)
	}
	first.messages <- &peerv1.FollowResponse{Index: 1, Alone: true}
	for f.View().Alone.IsZero() {
		time.Sleep(time.Millisecond) // That a control host is alone is believed at once.
	}
	second.messages <- &peerv1.FollowResponse{Index: 2, Settled: true, Document: document(2)}
	eventually(f, 2)
	mu.Lock()
	defer mu.Unlock()
	qt.Assert(t, taken, qt.DeepEquals, []string{"version 2"})
	qt.Assert(t, names(f), qt.HasLen, 0)
}

package dispatcher_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"lycheelift.example/entryd/dispatcher"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// owner is a fake of the host that owns the leaves. It answers each call with the results that script returns, and
// breaks the stream if script returns nil.
type owner struct {
	peerv1.UnimplementedPeerServiceServer
	script func(*peerv1.Call) []*peerv1.CallResult
}

func (o *owner) Channel(channel grpc.BidiStreamingServer[peerv1.ChannelRequest, peerv1.ChannelResponse]) error {
	for {
		in, err := channel.Recv()
		if err != nil {
			return err
		}
		for _, c := range in.GetCalls() {
			results := o.script(c)
			if results == nil {
				return context.Canceled
			}
			if err := channel.Send(&peerv1.ChannelResponse{Results: results}); err != nil {
				return err
			}
		}
	}
}

type dialer struct{ listener *bufconn.Listener }

func (d dialer) Dial(string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///owner", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return d.listener.DialContext(ctx) }))
}

// send makes one call to a scripted owner. It returns the delivered results and the results that matched no call.
func send(t *testing.T, script func(*peerv1.Call) []*peerv1.CallResult) (got, dropped []*peerv1.CallResult) {
	listener := bufconn.Listen(1 << 16)
	server := grpc.NewServer()
	peerv1.RegisterPeerServiceServer(server, &owner{script: script})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	mismatched := make(chan *peerv1.CallResult, 10)
	d := dispatcher.New("self", nil, dialer{listener}, dispatcher.WithMismatch(func(r *peerv1.CallResult) { mismatched <- r }))
	box := dispatcher.NewMailbox()
	d.Send("owner", &peerv1.Call{Attempt: "a/1", Snapshot: 3, Shard: 2, Leaf: "leaf"}, box)
	select {
	case <-box.Ready():
	case <-time.After(5 * time.Second):
		t.Fatal("no result")
	}
	got = append(got, box.Take()...)
	d.Close()
	server.Stop()
	close(mismatched)
	for r := range mismatched {
		dropped = append(dropped, r)
	}
	return got, dropped
}

// Guards against accepting a reply that has the call's attempt but another shard, snapshot or leaf, and against losing
// the correct reply that arrives after it.
func TestCrossedReplyDoesNotEndItsCall(t *testing.T) {
	got, dropped := send(t, func(c *peerv1.Call) []*peerv1.CallResult {
		result := func(snapshot uint64, shard uint32, leaf string) *peerv1.CallResult {
			return &peerv1.CallResult{Attempt: c.GetAttempt(), Snapshot: snapshot, Shard: shard, Leaf: leaf, Body: []byte(leaf)}
		}
		return []*peerv1.CallResult{result(4, 2, "leaf"), result(3, 1, "leaf"), result(3, 2, "other"), {Attempt: "b/1"}, result(3, 2, "leaf")}
	})
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Assert(t, got[0].GetLeaf(), qt.Equals, "leaf")
	qt.Assert(t, got[0].GetShard(), qt.Equals, uint32(2))
	qt.Assert(t, got[0].GetSnapshot(), qt.Equals, uint64(3))
	qt.Assert(t, dropped, qt.HasLen, 4)
}

// Guards against a call that never ends when the stream to its owner breaks, and against reporting it as unsent: the
// owner may have run it.
func TestBrokenStreamEndsItsCalls(t *testing.T) {
	got, _ := send(t, func(*peerv1.Call) []*peerv1.CallResult { return nil })
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Assert(t, got[0].GetReason(), qt.Equals, callerv1.Reason_REASON_CONNECTION_LOST)
	qt.Assert(t, got[0].GetUnsent(), qt.IsFalse)
	qt.Assert(t, got[0].GetShard(), qt.Equals, uint32(2))
	qt.Assert(t, got[0].GetLeaf(), qt.Equals, "leaf")
}

// Guards against reporting a result as delivered although its query has ended.
func TestClosedMailboxRefusesResults(t *testing.T) {
	box := dispatcher.NewMailbox()
	qt.Assert(t, box.Deliver(&peerv1.CallResult{}), qt.IsTrue)
	box.Close()
	qt.Assert(t, box.Deliver(&peerv1.CallResult{}), qt.IsFalse)
	qt.Assert(t, box.Take(), qt.HasLen, 0)
}

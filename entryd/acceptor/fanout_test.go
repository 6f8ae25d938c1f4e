package acceptor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/entryd/acceptor"
	"lycheelift.example/entryd/dispatcher"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// instantDispatcher answers every call synchronously, so that a benchmark measures only the cost of the query.
type instantDispatcher struct{}

func (instantDispatcher) Send(_ string, call *peerv1.Call, box *dispatcher.Mailbox) {
	box.Deliver(&peerv1.CallResult{
		Attempt: call.GetAttempt(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(), Leaf: call.GetLeaf(), Body: call.GetBody(),
	})
}

func (instantDispatcher) Cancel(string, string) {}

// BenchmarkFanOut measures CPU time and allocations of a query and of each of its leaf calls.
func BenchmarkFanOut(b *testing.B) {
	for _, shards := range []int{10, 100, 990} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			d := newAcceptor(b, instantDispatcher{}, shards)
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				out, err := d.Query(ctx, &callerv1.QueryRequest{Id: "q", Service: "desk", Body: []byte("name=Lotca")})
				if err != nil || out.GetOutcome() != callerv1.Outcome_OUTCOME_WHOLE {
					b.Fatal(err, out.GetOutcome())
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/call")
		})
	}
}

// Guards against reintroducing a goroutine or timer for each shard, by bounding the allocations of a leaf call.
func TestAllocationsOfLeafCall(t *testing.T) {
	const shards = 990
	d := newAcceptor(t, instantDispatcher{}, shards)
	ctx := context.Background()
	perQuery := testing.AllocsPerRun(20, func() {
		_, err := d.Query(ctx, &callerv1.QueryRequest{Id: "q", Service: "desk"})
		qt.Assert(t, err, qt.IsNil)
	})
	qt.Assert(t, perQuery/shards < 12, qt.IsTrue, qt.Commentf("%.1f allocations a call", perQuery/shards))
}

// newAcceptor returns the acceptor of one host that sends its calls to the given dispatcher.
func newAcceptor(t testing.TB, dispatch acceptor.Dispatcher, shards int) *acceptor.Acceptor {
	d := deploy(t, shards, map[string]any{"desk": map[string]any{}})
	return acceptor.New("host-a", "a", d.table, d.follow, dispatch, time.Now)
}

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

// instant answers every call at once, so that a benchmark shows the cost of the query alone.
type instant struct{}

func (instant) Send(_ string, call *peerv1.Call, box *dispatcher.Mailbox) {
	box.Deliver(&peerv1.CallResult{
		Attempt: call.GetAttempt(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(), Leaf: call.GetLeaf(), Body: call.GetBody(),
	})
}

func (instant) Cancel(string, string) {}

// BenchmarkFanOut shows processor time and allocations of a query and of each of its leaf calls.
func BenchmarkFanOut(b *testing.B) {
	for _, shards := range []int{10, 100, 990} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			d := deployTo(b, instant{}, shards)
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

// Guards against a goroutine or timer for each shard creeping back in: the allocations of a leaf call are bounded.
func TestAllocationsOfLeafCall(t *testing.T) {
	const shards = 990
	d := deployTo(t, instant{}, shards)
	ctx := context.Background()
	perQuery := testing.AllocsPerRun(20, func() {
		_, err := d.Query(ctx, &callerv1.QueryRequest{Id: "q", Service: "desk"})
		qt.Assert(t, err, qt.IsNil)
	})
	qt.Assert(t, perQuery/shards < 12, qt.IsTrue, qt.Commentf("%.1f allocations a call", perQuery/shards))
}

// deployTo makes one host that sends to the given dispatcher.
func deployTo(t testing.TB, dispatch acceptor.Dispatcher, shards int) *acceptor.Acceptor {
	d := deploy(t, shards, map[string]any{"desk": map[string]any{}})
	return acceptor.New("host-a", "a", d.table, d.follow, dispatch, time.Now)
}

package answerer_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
)

// reports adds a load to the answers of a leaf.
func reports(then behaviour, load carrier.Load) behaviour {
	return func(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
		out, err := then(ctx, c)
		if out != nil {
			out.Load = &load
		}
		return out, err
	}
}

// Load: the leaves of one shard are slow, so that each query wants a hedge there. Guards against using the last half of the budget
// for hedges that could have waited, against hedges after two fifths of the target, and against a change for deployments
// whose leaves do not report slowness.
func TestHedgesWaitWhileTheBudgetIsScarce(t *testing.T) {
	for _, slowness := range []float64{0, 1} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(10)
			for name, leaf := range f.leaves {
				f.leaves[name] = reports(leaf, carrier.Load{Running: 1, Slots: 2, Slowness: slowness})
			}
			a := answerer.New("host", "a", f, f, answerer.Bounds{Ratio: 0.2, Window: 10 * time.Second}, time.Now, answerer.WithRandom(func() float64 { return 0 }))
			for range 60 {
				ask(a, "/all/2f")
			}
			var mu sync.Mutex
			var hedged []time.Duration
			for _, name := range []string{"s3a", "s3b", "s3c"} {
				slow := f.answers(name, 60*time.Millisecond)
				f.leaves[name] = func(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
					if sent := time.Since(c.Request.Received); sent > 0 {
						mu.Lock()
						hedged = append(hedged, sent)
						mu.Unlock()
					}
					return slow(ctx, c)
				}
			}
			for range 9 {
				reply, took := ask(a, "/all/2f")
				qt.Assert(t, reply.Missing, qt.Equals, 0)
				qt.Assert(t, took < target, qt.IsTrue)
			}
			qt.Assert(t, hedged, qt.HasLen, 9)
			qt.Assert(t, hedged[0] < 2*typical, qt.IsTrue)
			waited := hedged[8] > 2*typical && hedged[8] <= 2*target/5
			qt.Assert(t, waited, qt.Equals, slowness > 0, qt.Commentf("%s", hedged))
		})
	}
}

// Load: the host of a leaf in the own data centre is slow. Guards against reports of slowness that do not reach the choice.
func TestLeafOnASlowHostIsLeft(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		f.leaves["s0a"] = reports(f.leaves["s0a"], carrier.Load{Running: 1, Slots: 2, Slowness: 2.5})
		a := f.answerer()
		ask(a, "/all/2f")
		ask(a, "/all/2f")
		qt.Assert(t, f.called("s0a"), qt.Equals, 1)
		time.Sleep(600 * time.Millisecond)
		ask(a, "/all/2f")
		qt.Assert(t, f.called("s0a"), qt.Equals, 2)
	})
}

package answerer_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/fleetd/exchanger"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/cataloguer"
)

// arrivals records the calls to a cold leaf as the exchanger sends them.
type arrivals struct {
	*fleet
	mu    sync.Mutex
	times []time.Time
}

func (r *arrivals) Do(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
	if c.Withdrawn != nil && c.Withdrawn() {
		return nil, exchanger.ErrAbandoned
	}
	r.mu.Lock()
	r.times = append(r.times, time.Now())
	r.mu.Unlock()
	return r.fleet.Do(ctx, c)
}

// All leaves of a service come back cold and all hosts have requests for it. Guards against a sum over all hosts above what a cold
// leaf may get in a second, with hosts that each may send several calls, one or less than one.
func TestColdLeafGetsNoMoreThanItsBound(t *testing.T) {
	const bound = 20 // 10 x 1.5 + 5.
	for _, hosts := range []int{4, 9, 194} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1)
				f.keepOnly("s0", "s0a")
				view := *f.View()
				view.Table.Document().Services[0].ColdRate = 10
				view.Entries = hosts
				view.Helpers = make(map[string][]string)
				for i := range hosts {
					view.Helpers["a"] = append(view.Helpers["a"], fmt.Sprintf("host-%03d", i))
				}
				f.later.Store(&view)
				r := &arrivals{fleet: f}
				var running sync.WaitGroup
				for i := range hosts {
					a := answerer.New("host", "a", f, r, answerer.Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second, Cold: 1.5, ColdSlack: 5}, time.Now,
						answerer.WithHelpers(view.Helpers["a"][i], 9, 3, nil))
					running.Go(func() {
						a.Sweep(time.Now())
						time.Sleep(3 * time.Second)
						for range 400 {
							time.Sleep(25 * time.Millisecond)
							a.Answer(context.Background(), &carrier.Request{
								ID: fmt.Sprint(i), Method: "GET", Host: "n", Path: "/one/2f", Target: "/one/2f", Received: time.Now(), Timeout: time.Second,
							})
						}
					})
				}
				time.Sleep(2 * time.Second)
				later, leaf := view, *view.Holders["s0"][0]
				leaf.ColdUntil = time.Now().Add(time.Minute)
				later.Holders = map[string][]*cataloguer.Leaf{"s0": {&leaf}}
				f.later.Store(&later)
				running.Wait()
				most, first := 0, 0
				slices.SortFunc(r.times, time.Time.Compare)
				for i, at := range r.times {
					for at.Sub(r.times[first]) > time.Second {
						first++
					}
					most = max(most, i-first+1)
				}
				qt.Assert(t, most <= bound, qt.IsTrue, qt.Commentf("%d calls in a second", most))
				qt.Assert(t, len(r.times) >= 3*bound, qt.IsTrue, qt.Commentf("%d calls in 10 s", len(r.times)))
			})
		})
	}
}

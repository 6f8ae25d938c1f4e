package keeper

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/suspector"
	"lycheelift.example/lib/carrier"
)

// A request that crashes its leaves comes in bursts of 12 over three entry hosts that have not heard of each other's losses yet.
// Guards against more than one of a burst that runs, and against more than three that run in all.
func TestBurstsOfASuspectRunOneAtATimeOnAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper()
		ctx, service := context.Background(), NewService(k, nil)
		var hosts []*suspector.Suspector
		for range 3 {
			hosts = append(hosts, suspector.New(suspector.WithArbiter(service.Try)))
		}
		request := func(id int) *carrier.Request {
			return &carrier.Request{ID: fmt.Sprint(id), Method: "GET", Host: "n", Target: "/a", Received: time.Now()}
		}
		for i, h := range hosts {
			h.ReportLost(request(i), time.Now())
		}
		ran := 0
		for burst := range 5 {
			time.Sleep(4 * time.Second)
			var ends []func()
			for i := range 12 {
				r, h := request(100*burst+i+10), hosts[(burst+i)%len(hosts)]
				if h.Blocked(r, time.Now()) > 0 {
					continue
				}
				end, wait := h.Begin(ctx, r, time.Now().Add(3*time.Second), time.Now())
				if wait > 0 {
					continue
				}
				ran++
				ends = append(ends, func() {
					h.ReportLost(r, time.Now())
					end(time.Now())
				})
			}
			qt.Assert(t, len(ends) <= 1, qt.IsTrue, qt.Commentf("%d at once", len(ends)))
			time.Sleep(100 * time.Millisecond)
			for _, end := range ends {
				end()
			}
			synctest.Wait()
		}
		qt.Assert(t, ran, qt.Equals, 2)
	})
}

// Guards against a host outside contact with the arbiter that refuses a suspected request for good, or that runs many at once.
func TestHostWithoutAnArbiterRunsOneAtATime(t *testing.T) {
	h, now := suspector.New(), begin
	r := &carrier.Request{ID: "a", Method: "GET", Host: "n", Target: "/a", Received: now}
	h.ReportLost(r, now)
	end, wait := h.Begin(context.Background(), r, now.Add(time.Second), now)
	qt.Assert(t, wait, qt.Equals, time.Duration(0))
	_, wait = h.Begin(context.Background(), r, now.Add(time.Second), now)
	qt.Assert(t, wait, qt.Equals, time.Second)
	end(now)
	_, wait = h.Begin(context.Background(), r, now.Add(time.Second), now)
	qt.Assert(t, wait, qt.Equals, time.Duration(0))
}

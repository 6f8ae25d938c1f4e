package keeper

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/fleetd/suspector"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/quarantiner"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
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

// interposedTrials lets something happen immediately before a trial begins.
type interposedTrials struct {
	*quarantiner.Trials
	before func()
}

func (i *interposedTrials) Begin(fingerprint uint64, id string, until, now time.Time) time.Duration {
	if before := i.before; before != nil {
		i.before = nil
		before()
	}
	return i.Trials.Begin(fingerprint, id, until, now)
}

// A trial ends with the loss that blocks the fingerprint while the control host handles a request for the next trial.
// Guards against a trial that is permitted with losses that were read before the one before it has ended, so that four
// requests run instead of three.
func TestTrialBeginsWithTheLossOfTheOneBefore(t *testing.T) {
	k, now := newKeeper(), begin
	register := &interposedTrials{Trials: quarantiner.NewTrials()}
	k.trials = register
	service := NewService(k, nil)
	lost := func(id string, ended time.Duration) *statev1.LostRequest {
		return &statev1.LostRequest{Id: id, Began: durationpb.New(ended + 500*time.Millisecond), Ended: durationpb.New(ended)}
	}
	// arbiter lets another host's trial run when this host asks, and end while the control host handles the request.
	arbiter := func(ctx context.Context, in *peerv1.TryRequest) (*peerv1.TryResponse, error) {
		if in.GetEnded() {
			return service.Try(ctx, in)
		}
		other := &peerv1.TryRequest{Loss: &peerv1.Loss{Fingerprint: in.GetLoss().GetFingerprint()}, Trial: "other", Limit: durationpb.New(time.Second)}
		response, err := service.Try(ctx, other)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.GetWait().AsDuration(), qt.Equals, time.Duration(0))
		register.before = func() {
			other.Loss.Lost = []*statev1.LostRequest{lost("b", time.Second), lost("c", 0)}
			other.Ended = true
			_, err := service.Try(ctx, other)
			qt.Assert(t, err, qt.IsNil)
		}
		return service.Try(ctx, in)
	}
	host := suspector.New(suspector.WithArbiter(arbiter))
	r := &carrier.Request{ID: "a", Method: "GET", Host: "n", Target: "/a", Received: now.Add(-3 * time.Second)}
	host.ReportLost(r, now.Add(-2*time.Second))
	end, wait := host.Begin(context.Background(), r, now.Add(time.Second), now)
	qt.Assert(t, end, qt.IsNil)
	qt.Assert(t, wait, qt.Equals, quarantiner.BlockTime)
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

package suspector_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/fleetd/suspector"
	"lycheelift.example/lib/carrier"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// request returns an attempt of a caller that sends the same content each time.
func request(id string, received time.Time) *carrier.Request {
	return &carrier.Request{ID: id, Method: "GET", Host: "n", Target: "/all/7", Body: []byte("name=Lotca"), Received: received}
}

// startHosts returns entry hosts that receive each other's losses through one control host.
func startHosts(ctx context.Context, n int) []*suspector.Suspector {
	out := make([]*suspector.Suspector, n)
	for i := range out {
		out[i] = suspector.New()
	}
	for _, s := range out {
		go s.Run(ctx, func(_ context.Context, losses []*peerv1.Loss) error {
			for _, other := range out {
				other.Merge(losses, time.Now())
			}
			return nil
		}, time.Now)
	}
	return out
}

// Guards against a loss that is never reported because the caller's ID is not UTF-8, and against one that counts as another.
func TestLossOfARequestWithAnOddIDCanBeSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := suspector.New()
		sent := make(chan *peerv1.Loss, 2)
		go s.Run(ctx, func(_ context.Context, losses []*peerv1.Loss) error {
			sent <- losses[0]
			return nil
		}, time.Now)
		for _, id := range []string{"a\xff", "a\xfe"} {
			s.ReportLost(request(id, time.Now()), time.Now())
			time.Sleep(time.Second)
		}
		first, second := <-sent, <-sent
		for _, m := range []*peerv1.Loss{first, second} {
			_, err := proto.Marshal(m)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, second.GetLost(), qt.HasLen, 2)
	})
}

// Load: a request crashes each leaf that executes it, and its caller sends it again to other hosts. Guards against
// more than three attempts that reach leaves, whichever hosts receive them, and against refusing other requests as
// well.
func TestRequestThatEndsLeavesIsRefusedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fleet := startHosts(ctx, 4)
		for i := range 3 {
			for _, s := range fleet {
				qt.Assert(t, s.Blocked(request("x", time.Now()), time.Now()), qt.Equals, time.Duration(0))
			}
			received := time.Now()
			time.Sleep(5 * time.Millisecond)
			fleet[i].ReportLost(request(string(rune('a'+i)), received), time.Now())
			time.Sleep(time.Second)
		}
		other := request("x", time.Now())
		other.Target = "/all/8"
		for _, s := range fleet {
			qt.Assert(t, s.Blocked(request("x", time.Now()), time.Now()) > 0, qt.IsTrue)
			qt.Assert(t, s.Blocked(other, time.Now()), qt.Equals, time.Duration(0))
		}
	})
}

// Load: leaves crash while many callers send the same request. Guards against refusing a harmless request because
// some attempts were lost, although another host received an answer to it.
func TestAnswerAtOneHostClearsTheRequestEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fleet := startHosts(ctx, 3)
		for i := range 9 {
			received := time.Now()
			time.Sleep(5 * time.Millisecond)
			fleet[0].ReportLost(request(string(rune('a'+i)), received), time.Now())
			time.Sleep(time.Second)
			if i%2 == 1 {
				fleet[1].ReportAnswered(request("x", time.Now()), time.Now())
				time.Sleep(time.Second)
			}
		}
		for _, s := range fleet {
			qt.Assert(t, s.Blocked(request("x", time.Now()), time.Now()), qt.Equals, time.Duration(0))
		}
	})
}

// Guards against a report that is lost because the control host changes, and against a host that blocks on a control
// host instead of answering.
func TestReportsAreSentAgainAndNeverWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, delivered := suspector.New(), 0
		for range 1000 {
			s.ReportLost(request("a", time.Now()), time.Now()) // No goroutine receives reports yet.
		}
		attempts := 0
		go s.Run(ctx, func(context.Context, []*peerv1.Loss) error {
			if attempts++; attempts < 3 {
				return errors.New("the control host is stopping")
			}
			delivered++
			return nil
		}, time.Now)
		time.Sleep(time.Minute)
		synctest.Wait()
		qt.Assert(t, delivered, qt.Equals, 64)
	})
}

// The control hosts are restarted. Guards against a new one that does not learn what this host knows, and against one that is told of
// each loss by itself.
func TestNextControlHostIsToldAllThatIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		followed := make(chan struct{})
		s := suspector.New(suspector.WithFollowed(func() <-chan struct{} { return followed }))
		sent := make(chan []*peerv1.Loss, 10)
		go s.Run(ctx, func(_ context.Context, losses []*peerv1.Loss) error {
			sent <- losses
			return nil
		}, time.Now)
		other := request("b", time.Now())
		other.Target = "/all/8"
		<-s.ReportLost(request("a", time.Now()), time.Now())
		<-s.ReportLost(other, time.Now())
		synctest.Wait()
		qt.Assert(t, sent, qt.HasLen, 2)
		last := followed
		followed = make(chan struct{})
		close(last)
		synctest.Wait()
		qt.Assert(t, sent, qt.HasLen, 3)
		<-sent
		<-sent
		qt.Assert(t, <-sent, qt.HasLen, 2)
	})
}

// Guards against a caller that waits for ever for a report that cannot be queued.
func TestReportThatIsDroppedCountsAsTold(t *testing.T) {
	s := suspector.New()
	for range 65 {
		select {
		case <-s.ReportLost(request("a", time.Now()), time.Now()):
			return
		default:
		}
	}
	t.Fatal("no report was dropped")
}

// Guards against a loss whose times are misinterpreted by a host with a different clock.
func TestLossKeepsItsAgesOnTheWay(t *testing.T) {
	began := time.Unix(1000, 0)
	s := suspector.New()
	s.ReportLost(request("a", began), began.Add(time.Second))
	var sent *peerv1.Loss
	ctx, cancel := context.WithCancel(context.Background())
	s.Run(ctx, func(_ context.Context, losses []*peerv1.Loss) error {
		sent = losses[0]
		cancel()
		return nil
	}, func() time.Time { return began.Add(3 * time.Second) })
	there := time.Unix(500_000, 0)
	loss := suspector.Decode(sent, there)
	qt.Assert(t, loss.Lost[0].Began, qt.Equals, there.Add(-3*time.Second))
	qt.Assert(t, loss.Lost[0].Ended, qt.Equals, there.Add(-2*time.Second))
}

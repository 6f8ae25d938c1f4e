package answerer_test

import (
	"context"
	"math"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
)

// allocated returns the number of bytes that a function allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// askWithAttempts sends one request on each kind of route and one portion, with a limit on attempts, and returns the number of
// bytes that were allocated.
func askWithAttempts(t *testing.T, attempts int) uint64 {
	var out uint64
	inBubble(t, func(t *testing.T) {
		f := newFleet(10)
		for i := range f.view.Table.Document().Routes {
			f.view.Table.Document().Routes[i].Attempts = attempts
		}
		a := f.answerer()
		out = allocated(func() {
			for _, path := range []string{"/all/x", "/one/x", "/once/x"} {
				reply, _ := ask(a, path)
				qt.Assert(t, reply.Outcome == carrier.Gathered || reply.Outcome == carrier.Answered, qt.IsTrue, qt.Commentf("%s: %+v", path, reply))
			}
			p := &answerer.Portion{
				Request: gatherRequest("p"), Services: []string{"s0", "s1"}, Top: 3, Attempts: attempts,
				SoftDeadline: time.Now().Add(target), Deadline: time.Now().Add(timeout),
			}
			a.Gather(context.Background(), p, func(*answerer.Parts) {})
		})
	})
	return out
}

// maxExtraBytes is a small part of what a queue with room for 2^16 attempts takes.
const maxExtraBytes = 256 << 10

// The operator raises the limit on attempts of a route. Guards against memory for each permitted attempt, of which the planner
// makes only a few: a large limit ended the process at the first request.
func TestMemoryDoesNotGrowWithTheAttemptsOfARoute(t *testing.T) {
	usual := askWithAttempts(t, 2)
	for _, attempts := range []int{1 << 16, math.MaxInt32, math.MaxInt} {
		used := askWithAttempts(t, attempts)
		qt.Assert(t, used < usual+maxExtraBytes, qt.IsTrue, qt.Commentf("%d attempts: %d bytes, 2 attempts: %d bytes", attempts, used, usual))
	}
}

// The operator asks for more records than memory holds. Guards against a limit on the size of a part that wraps around, so that
// complete parts are refused.
func TestPartsMayBeLargeWhenManyRecordsAreWanted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2)
		for _, top := range []int{1 << 20, 1 << 54, math.MaxInt} {
			f.view.Table.Document().Routes[0].Top = top
			ask(f.answerer(), "/all/x")
			qt.Check(t, f.calls[len(f.calls)-1].MaxBody, qt.Equals, int64(8<<20), qt.Commentf("%d records", top))
		}
	})
}

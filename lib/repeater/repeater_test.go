package repeater_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/repeater"
)

// Guards against work that starts at once, that is skipped, or that goes on after it is cancelled.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		calls := 0
		go repeater.Every(ctx, time.Second, func() { calls++ })
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		qt.Assert(t, calls, qt.Equals, 3)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
		qt.Assert(t, calls, qt.Equals, 3)
	})
}

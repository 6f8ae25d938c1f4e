package keeper

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Load: many followers confirm their state while reads take long. Guards against a call that is answered by a read that
// began before the call arrived, against more than one read at a time, and against calls that wait for a failed read.
func TestCallJoinsOnlyALaterRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := sharedReads{spacing: 15 * time.Millisecond}
		var mu sync.Mutex
		began, running, last := 0, 0, time.Time{}
		read := func() (*peerv1.ConfirmResponse, error) {
			mu.Lock()
			began++
			running++
			index := uint64(began)
			qt.Check(t, running, qt.Equals, 1)
			qt.Check(t, time.Since(last) >= r.spacing, qt.IsTrue)
			last = time.Now()
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			running--
			if index == 2 {
				return nil, errors.New("no majority")
			}
			return &peerv1.ConfirmResponse{Index: index}, nil
		}
		var calls sync.WaitGroup
		for i := range 40 {
			calls.Go(func() {
				time.Sleep(time.Duration(i)*time.Millisecond + time.Microsecond)
				mu.Lock()
				before := uint64(began)
				mu.Unlock()
				out, err := r.join(context.Background(), false, read)
				qt.Check(t, err != nil || out.GetIndex() > before, qt.IsTrue)
			})
		}
		calls.Wait()
		qt.Assert(t, began, qt.Equals, 4) // At 0, 15, 30 and 45 ms.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := r.join(ctx, false, read)
		qt.Assert(t, err, qt.ErrorIs, context.Canceled)
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// All hosts lose power and come back. Guards against hosts that serve nobody while the first confirmation waits for the time
// between two reads.
func TestUrgentCallIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := sharedReads{spacing: time.Minute}
		read := func() (*peerv1.ConfirmResponse, error) {
			time.Sleep(10 * time.Millisecond)
			return &peerv1.ConfirmResponse{}, nil
		}
		began := time.Now()
		for _, wait := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
			go func() {
				time.Sleep(wait)
				_, err := r.join(context.Background(), true, read)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, time.Since(began) < time.Second, qt.IsTrue)
			}()
		}
		time.Sleep(time.Hour)
		synctest.Wait()
	})
}

package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lycheelift.example/lib/quarantiner"
)

func ExampleLedger() {
	l := quarantiner.NewLedger()
	for i, request := range []string{"first", "second", "third"} {
		fmt.Println(l.Blocked(7, now), note(l, 7, request, i).Blocked)
	}
	fmt.Println(l.Blocked(7, now.Add(3*time.Second)) > 0)
	// Output:
	// 0s false
	// 0s false
	// 0s true
	// true
}

// note records a lost request that began the given number of seconds after now and ended a millisecond later.
func note(l *quarantiner.Ledger, fingerprint uint64, request string, second int) quarantiner.Loss {
	began := now.Add(time.Duration(second) * time.Second)
	out := l.RecordLoss(fingerprint, request, began, began.Add(time.Millisecond))
	return out
}

// A request that crashes every server that runs it is repeated on any host. Guards against a fourth attempt that is sent,
// against one request counting once per host that reports it, and against a block that never ends.
func TestThirdLostRequestBlocksOnAllHosts(t *testing.T) {
	hosts := []*quarantiner.Ledger{quarantiner.NewLedger(), quarantiner.NewLedger(), quarantiner.NewLedger()}
	for i, host := range hosts {
		qt.Assert(t, host.Blocked(7, now), qt.Equals, time.Duration(0))
		loss := note(host, 7, fmt.Sprint(i), i)
		for _, other := range hosts {
			other.Merge(loss, now.Add(time.Duration(i)*time.Second))
			other.Merge(loss, now.Add(time.Duration(i)*time.Second))
		}
	}
	for _, host := range hosts {
		remaining := host.Blocked(7, now.Add(3*time.Second))
		qt.Assert(t, remaining > quarantiner.BlockTime-2*time.Second && remaining < quarantiner.BlockTime, qt.IsTrue, qt.Commentf("%s", remaining))
		qt.Assert(t, host.Blocked(8, now), qt.Equals, time.Duration(0))
		qt.Assert(t, host.Blocked(7, now.Add(quarantiner.BlockTime+3*time.Second)), qt.Equals, time.Duration(0))
	}
}

// Leaves crash or lose answers for a long time while many callers send the same request. Guards against blocking an innocent
// request because some requests with its fingerprint were lost while others were answered.
func TestAnsweredRequestIsNotBlocked(t *testing.T) {
	one, other := quarantiner.NewLedger(), quarantiner.NewLedger()
	for i := range 100 {
		loss := note(one, 7, fmt.Sprint(i), i)
		qt.Assert(t, loss.Blocked, qt.IsFalse)
		other.Merge(loss, now)
		if i%2 == 1 {
			cleared, changed := other.RecordAnswer(7, now)
			qt.Assert(t, changed, qt.IsTrue)
			one.Merge(cleared, now)
			_, changed = one.RecordAnswer(7, now)
			qt.Assert(t, changed, qt.IsFalse)
		}
	}
	_, changed := one.RecordAnswer(8, now)
	qt.Assert(t, changed, qt.IsFalse)
}

// Guards against unblocking a request because of a late answer to an earlier one.
func TestBlockedRequestStaysBlocked(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 3 {
		note(l, 7, fmt.Sprint(i), i)
	}
	_, changed := l.RecordAnswer(7, now)
	qt.Assert(t, changed, qt.IsFalse)
	_, changed = l.Merge(quarantiner.Loss{Fingerprint: 7, Forgiven: []string{"0", "1", "2"}}, now)
	qt.Assert(t, changed, qt.IsFalse)
	qt.Assert(t, l.Blocked(7, now) > 0, qt.IsTrue)
}

func lost(id string, began, ended int) quarantiner.Lost {
	return quarantiner.Lost{ID: id, Began: now.Add(time.Duration(began) * time.Second), Ended: now.Add(time.Duration(ended) * time.Second)}
}

// All leaves of a service fail at once while many callers send the same request to many hosts. Guards against blocking an
// innocent request because of a single outage.
func TestRequestsThatAreLostTogetherCountOnce(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 100 {
		loss := l.RecordLoss(7, fmt.Sprint(i), now, now.Add(time.Duration(i)*time.Millisecond))
		qt.Assert(t, loss.Blocked, qt.IsFalse)
	}
	qt.Assert(t, note(l, 7, "second", 1).Blocked, qt.IsFalse)
	qt.Assert(t, note(l, 7, "third", 2).Blocked, qt.IsTrue)
}

// Guards against hosts whose ledgers differ because reports arrive in a different order or twice.
func TestLossesAreMergedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantiner.Loss {
			some := rapid.SliceOfN(rapid.SampledFrom([]quarantiner.Lost{
				lost("a", 0, 2), lost("b", 1, 3), lost("c", 4, 5), lost("d", 5, 9), lost("e", 7, 8),
			}), 0, 2)
			return quarantiner.Loss{Fingerprint: 7, Lost: some.Draw(t, "lost")}
		}), 1, 8).Draw(t, "losses")
		one, other := quarantiner.NewLedger(), quarantiner.NewLedger()
		for _, loss := range losses {
			one.Merge(loss, now)
		}
		for _, loss := range rapid.Permutation(append(losses, losses[0])).Draw(t, "order") {
			other.Merge(loss, now)
		}
		if one.Blocked(7, now) != other.Blocked(7, now) {
			t.Fatalf("%v and %v after %v", one.Blocked(7, now), other.Blocked(7, now), losses)
		}
	})
}

// Control hosts restart one after the other and learn of a block from each other. Guards against a block that never ends
// because each host restarts its duration on arrival, and against old losses that count again.
func TestBlockIsNotProlongedByThoseWhoHearOfItLater(t *testing.T) {
	first := quarantiner.NewLedger()
	for i := range 3 {
		note(first, 7, fmt.Sprint(i), i)
	}
	note(first, 8, "a", 0)
	held := first
	for minute := range 30 {
		at := now.Add(time.Duration(minute) * time.Minute)
		next := quarantiner.NewLedger()
		losses, _ := held.Since(0, at)
		for _, loss := range losses {
			next.Merge(loss, at)
		}
		qt.Assert(t, next.Blocked(7, at) > 0, qt.Equals, at.Before(now.Add(quarantiner.BlockTime+2*time.Second)), qt.Commentf("minute %d", minute))
		held = next
	}
	stale := quarantiner.NewLedger()
	late := now.Add(quarantiner.BlockTime + time.Hour)
	stale.Merge(quarantiner.Loss{Fingerprint: 8, Lost: []quarantiner.Lost{lost("a", 0, 1), lost("b", 2, 3), lost("c", 4, 5)}}, late)
	stale.Merge(quarantiner.Loss{Fingerprint: 9, Blocked: true, Until: now}, late)
	qt.Assert(t, stale.Blocked(8, late), qt.Equals, time.Duration(0))
	qt.Assert(t, stale.Blocked(9, late), qt.Equals, time.Duration(0))
}

// Guards against followers that receive no change, or all losses in each message.
func TestSinceTellsEachChangeOnce(t *testing.T) {
	l := quarantiner.NewLedger()
	losses, revision := l.Since(0, now)
	qt.Assert(t, losses, qt.HasLen, 0)
	note(l, 7, "a", 0)
	note(l, 8, "b", 0)
	losses, revision = l.Since(revision, now)
	qt.Assert(t, losses, qt.HasLen, 2)
	note(l, 8, "b", 0)
	losses, revision = l.Since(revision, now)
	qt.Assert(t, losses, qt.HasLen, 0)
	l.RecordLoss(8, "c", now, now)
	losses, _ = l.Since(revision, now)
	qt.Assert(t, losses, qt.DeepEquals, []quarantiner.Loss{{Fingerprint: 8, Lost: []quarantiner.Lost{
		{ID: "b", Began: now, Ended: now.Add(time.Millisecond)}, {ID: "c", Began: now, Ended: now},
	}}})
}

// Guards against unbounded memory, and against evicting a block to make room for suspects.
func TestLedgerIsBounded(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 3 {
		note(l, 1, fmt.Sprint(i), i)
	}
	for f := range uint64(3000) {
		l.RecordLoss(f+2, "a", now, now.Add(time.Duration(f)))
	}
	losses, _ := l.Since(0, now)
	qt.Assert(t, len(losses) <= 1024, qt.IsTrue, qt.Commentf("%d", len(losses)))
	qt.Assert(t, l.Blocked(1, now) > 0, qt.IsTrue)
}

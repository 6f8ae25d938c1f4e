package submitter_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/entryd/submitter"
	"lycheelift.example/lib/registrar"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var soak = flag.Bool("soak", false, "run with more seeds")

var errLost = errors.New("the answer was lost")

// world is a ledger behind a network that delays, refuses, duplicates and loses, and a count of runs. It runs in a
// synctest bubble.
type world struct {
	mu     sync.Mutex
	rand   *rand.Rand
	ledger *registrar.Ledger
	faults int // Chance of each fault in percent.
	runs   map[string]int
	stray  sync.WaitGroup
}

func newWorld(seed uint64, faults int) *world {
	return &world{rand: rand.New(rand.NewPCG(seed, 2)), ledger: registrar.New(), faults: faults, runs: make(map[string]int)}
}

func (w *world) chance(percent int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(100) < percent
}

func (w *world) delay(most time.Duration) {
	w.mu.Lock()
	d := time.Duration(w.rand.Int64N(int64(most)))
	w.mu.Unlock()
	time.Sleep(d)
}

// send delivers a command once, twice, late or never, and says what the sender learns.
func (w *world) send(ctx context.Context, deliver func()) error {
	w.delay(20 * time.Millisecond)
	if w.chance(w.faults) {
		return submitter.ErrUnsent
	}
	again := func() {
		w.stray.Go(func() { w.delay(2 * time.Second); w.apply(deliver) })
	}
	if w.chance(w.faults) {
		again()
		return errLost
	}
	if w.chance(w.faults) {
		again()
	}
	w.apply(deliver)
	if w.chance(w.faults) {
		return errLost
	}
	w.delay(20 * time.Millisecond)
	return ctx.Err()
}

func (w *world) apply(deliver func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	deliver()
}

// entry is an entry host: after a crash it reaches nobody and runs nothing.
type entry struct {
	world *world
	dead  bool
}

func (e *entry) crashed() bool {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	return e.dead
}

func (e *entry) Begin(ctx context.Context, b *statev1.Begin) (*peerv1.BeginResponse, error) {
	if e.crashed() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answers := make(chan *peerv1.BeginResponse, 2) // A duplicate may answer after the sender has gone.
	b = proto.CloneOf(b)
	err := e.world.send(ctx, func() {
		r := e.world.ledger.Begin(b, time.Now())
		answers <- &peerv1.BeginResponse{Run: r.GetRun(), Entry: r.GetEntry(), Reason: r.GetReason()}
	})
	if err == nil && e.world.chance(e.world.faults) {
		return &peerv1.BeginResponse{Reason: callerv1.Reason_REASON_NO_QUORUM}, err
	}
	if err != nil {
		return nil, err
	}
	return <-answers, nil
}

func (e *entry) Finish(ctx context.Context, f *statev1.Finish) error {
	if e.crashed() {
		<-ctx.Done()
		return ctx.Err()
	}
	return e.world.send(ctx, func() { e.world.ledger.Finish(f, time.Now()) })
}

func (e *entry) submitter(host int) *submitter.Submitter {
	return submitter.New(fmt.Sprint("entry-", host), 1, []submitter.Control{e, e, e}, time.Now)
}

// run is the request. It ends without sending now and then, and a crash may come before or after it.
func (w *world) run(e *entry, key, body string, ran *bool) submitter.Run {
	return func(context.Context) (*callerv1.QueryResponse, bool) {
		if w.chance(w.faults / 2) {
			w.mu.Lock()
			e.dead = true
			w.mu.Unlock()
		}
		if e.crashed() {
			return nil, false
		}
		if w.chance(w.faults) {
			return nil, true
		}
		w.mu.Lock()
		w.runs[key]++
		*ran = true
		if w.rand.IntN(100) < w.faults/2 {
			e.dead = true
		}
		w.mu.Unlock()
		w.delay(50 * time.Millisecond)
		return &callerv1.QueryResponse{Outcome: callerv1.Outcome_OUTCOME_WHOLE, Host: body}, false
	}
}

// Guards against a second run of a key under resends to several hosts, lost answers, duplicated commands and
// crashes between Begin, run and Finish; against "not run" for a submission that ran; and against two outcomes of
// one key.
func TestOneRunForEachKey(t *testing.T) {
	seeds := uint64(100)
	if *soak {
		seeds = 10000
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) { checkSeed(t, seed) })
	}
}

func checkSeed(t *testing.T, seed uint64) {
	w := newWorld(seed, 5+int(seed%4)*10)
	issued := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]string)
	var wrong []string
	for i := range 24 {
		all.Go(func() {
			w.delay(3 * time.Second)
			e := &entry{world: w}
			s := e.submitter(i)
			key := fmt.Sprint("key-", i%4)
			var ran bool
			request := submitter.Request{Key: key, Issued: issued, Fingerprint: 1, Deadline: time.Now().Add(time.Second)}
			out, refusal := s.Submit(context.Background(), request, w.run(e, key, fmt.Sprint(seed, i), &ran))
			mu.Lock()
			if refusal != nil && refusal.Outcome == callerv1.Outcome_OUTCOME_REFUSED && ran {
				wrong = append(wrong, key+" was run and refused")
			}
			if first, ok := outcomes[key]; ok && out != nil && first != out.GetHost() {
				wrong = append(wrong, key+" has two outcomes")
			}
			if out != nil {
				outcomes[key] = out.GetHost()
			}
			mu.Unlock()
			s.Close(context.Background())
		})
	}
	all.Wait()
	w.stray.Wait()
	qt.Assert(t, wrong, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	for key, n := range w.runs {
		qt.Assert(t, n, qt.Equals, 1, qt.Commentf("seed %d, %s", seed, key))
	}
}

// Guards against an answer other than the one stated for each state of the key and of control.
func TestAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 0)
		e := &entry{world: w}
		issued := time.Now()
		submit := func(key string, fingerprint uint64, run submitter.Run) (*callerv1.QueryResponse, *submitter.Refusal) {
			r := submitter.Request{Key: key, Issued: issued, Fingerprint: fingerprint, Deadline: time.Now().Add(time.Second)}
			s := e.submitter(1)
			defer s.Close(context.Background())
			return s.Submit(context.Background(), r, run)
		}
		never := func(context.Context) (*callerv1.QueryResponse, bool) { panic("a second run") }
		good := func(context.Context) (*callerv1.QueryResponse, bool) {
			return &callerv1.QueryResponse{Host: "first"}, false
		}
		out, _ := submit("k", 1, good)
		qt.Assert(t, out.GetReplayed(), qt.IsFalse)
		out, _ = submit("k", 1, never)
		qt.Assert(t, out.GetReplayed(), qt.IsTrue)
		qt.Assert(t, out.GetHost(), qt.Equals, "first")
		_, refusal := submit("k", 2, never)
		qt.Assert(t, refusal.Reason, qt.Equals, callerv1.Reason_REASON_KEY_CONFLICT)

		held := &statev1.Begin{Key: "held", Attempt: "lost host", Issued: timestamppb.New(issued), Fingerprint: 1}
		w.apply(func() { w.ledger.Begin(held, time.Now()) })
		began := time.Now()
		_, refusal = submit("held", 1, never)
		qt.Assert(t, refusal.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_UNKNOWN)
		qt.Assert(t, time.Since(began) <= time.Second, qt.IsTrue)

		w.faults = 100 // Every call fails before it is sent.
		_, refusal = submit("cut off", 1, never)
		qt.Assert(t, refusal.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_REFUSED)
		qt.Assert(t, refusal.Reason, qt.Equals, callerv1.Reason_REASON_NO_QUORUM)
	})
}

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

// simulation is a ledger behind a network that delays, refuses, duplicates and loses messages. It counts the runs of each
// key, and runs in a synctest bubble.
type simulation struct {
	mu      sync.Mutex
	rand    *rand.Rand
	ledger  *registrar.Ledger
	faults  int // Probability of each fault, in percent.
	runs    map[string]int
	delayed sync.WaitGroup
}

func newSimulation(seed uint64, faults int) *simulation {
	return &simulation{rand: rand.New(rand.NewPCG(seed, 2)), ledger: registrar.New(), faults: faults, runs: make(map[string]int)}
}

func (w *simulation) chance(percent int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(100) < percent
}

func (w *simulation) delay(most time.Duration) {
	w.mu.Lock()
	d := time.Duration(w.rand.Int64N(int64(most)))
	w.mu.Unlock()
	time.Sleep(d)
}

// send delivers a command once, twice, late or never, and returns the error that the sender sees.
func (w *simulation) send(ctx context.Context, deliver func()) error {
	w.delay(20 * time.Millisecond)
	if w.chance(w.faults) {
		return submitter.ErrUnsent
	}
	deliverLater := func() {
		w.delayed.Go(func() { w.delay(2 * time.Second); w.apply(deliver) })
	}
	if w.chance(w.faults) {
		deliverLater()
		return errLost
	}
	if w.chance(w.faults) {
		deliverLater()
	}
	w.apply(deliver)
	if w.chance(w.faults) {
		return errLost
	}
	w.delay(20 * time.Millisecond)
	return ctx.Err()
}

func (w *simulation) apply(deliver func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	deliver()
}

// entry is an entry host. After a crash it reaches no other host and runs no request.
type entry struct {
	simulation *simulation
	dead       bool
}

func (e *entry) crashed() bool {
	e.simulation.mu.Lock()
	defer e.simulation.mu.Unlock()
	return e.dead
}

func (e *entry) Begin(ctx context.Context, b *statev1.Begin) (*peerv1.BeginResponse, error) {
	if e.crashed() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answers := make(chan *peerv1.BeginResponse, 2) // A duplicate may answer after the sender has returned.
	b = proto.CloneOf(b)
	err := e.simulation.send(ctx, func() {
		r := e.simulation.ledger.Begin(b, time.Now())
		answers <- &peerv1.BeginResponse{Run: r.GetRun(), Entry: r.GetEntry(), Reason: r.GetReason()}
	})
	if err == nil && e.simulation.chance(e.simulation.faults) {
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
	return e.simulation.send(ctx, func() { e.simulation.ledger.Finish(f, time.Now()) })
}

func (e *entry) submitter(host int) *submitter.Submitter {
	return submitter.New(fmt.Sprint("entry-", host), 1, []submitter.Control{e, e, e}, time.Now)
}

// run returns the function that runs the request. At random, it ends without sending, or the host crashes before or after
// the run.
func (w *simulation) run(e *entry, key, body string, ran *bool) submitter.Run {
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

// Guards against running a key twice despite resends to several hosts, lost answers, duplicated commands and crashes
// between Begin, run and Finish; against reporting a submission that ran as not run; and against two outcomes of one key.
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
	w := newSimulation(seed, 5+int(seed%4)*10)
	issued := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]string)
	var wrong []string
	for i := range 24 {
		all.Go(func() {
			w.delay(3 * time.Second)
			e := &entry{simulation: w}
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
	w.delayed.Wait()
	qt.Assert(t, wrong, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	for key, n := range w.runs {
		qt.Assert(t, n, qt.Equals, 1, qt.Commentf("seed %d, %s", seed, key))
	}
}

// Guards against a wrong answer in each state of the key and of the control hosts.
func TestAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 0)
		e := &entry{simulation: w}
		issued := time.Now()
		submit := func(key string, fingerprint uint64, run submitter.Run) (*callerv1.QueryResponse, *submitter.Refusal) {
			r := submitter.Request{Key: key, Issued: issued, Fingerprint: fingerprint, Deadline: time.Now().Add(time.Second)}
			s := e.submitter(1)
			defer s.Close(context.Background())
			return s.Submit(context.Background(), r, run)
		}
		mustNotRun := func(context.Context) (*callerv1.QueryResponse, bool) { panic("a second run") }
		good := func(context.Context) (*callerv1.QueryResponse, bool) {
			return &callerv1.QueryResponse{Host: "first"}, false
		}
		out, _ := submit("k", 1, good)
		qt.Assert(t, out.GetReplayed(), qt.IsFalse)
		out, _ = submit("k", 1, mustNotRun)
		qt.Assert(t, out.GetReplayed(), qt.IsTrue)
		qt.Assert(t, out.GetHost(), qt.Equals, "first")
		_, refusal := submit("k", 2, mustNotRun)
		qt.Assert(t, refusal.Reason, qt.Equals, callerv1.Reason_REASON_KEY_CONFLICT)

		held := &statev1.Begin{Key: "held", Attempt: "lost host", Issued: timestamppb.New(issued), Fingerprint: 1}
		w.apply(func() { w.ledger.Begin(held, time.Now()) })
		began := time.Now()
		_, refusal = submit("held", 1, mustNotRun)
		qt.Assert(t, refusal.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_UNKNOWN)
		qt.Assert(t, time.Since(began) <= time.Second, qt.IsTrue)

		w.faults = 100 // Every call fails before it is sent.
		_, refusal = submit("cut off", 1, mustNotRun)
		qt.Assert(t, refusal.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_REFUSED)
		qt.Assert(t, refusal.Reason, qt.Equals, callerv1.Reason_REASON_NO_QUORUM)
	})
}

package store_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"lycheelift.example/controld/store"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var soak = flag.Bool("soak", false, "run with more seeds")

// operation is a patch, or a read of the newest version when id is empty.
type operation struct {
	id   string
	base uint64
}

// outcome is the result that the client observed.
type outcome struct {
	unknown bool
	verdict statev1.Verdict
	version uint64
}

// register is the model's state: the version, and the first outcome of each patch id.
type register struct {
	version uint64
	results map[string]outcome
}

var model = porcupine.Model{
	Init: func() any { return register{version: 1, results: map[string]outcome{}} },
	Step: func(state, input, output any) (bool, any) {
		r, in, out := state.(register), input.(operation), output.(outcome)
		if in.id == "" {
			return out.version == r.version, r
		}
		want, ok := r.results[in.id]
		if !ok {
			r, want = r.apply(in)
		}
		return out.unknown || out == want, r
	},
	Equal: func(a, b any) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
}

func (r register) apply(in operation) (register, outcome) {
	next := register{version: r.version, results: make(map[string]outcome)}
	for id, o := range r.results {
		next.results[id] = o
	}
	want := outcome{verdict: statev1.Verdict_VERDICT_CONFLICT, version: r.version}
	if in.base == r.version {
		next.version++
		want = outcome{verdict: statev1.Verdict_VERDICT_ACCEPTED, version: next.version}
	}
	next.results[in.id] = want
	return next, want
}

// runClient submits concurrent patches, resends some after a lost response, and reads, each through a random node.
func runClient(c *cluster, number int, seed uint64, record func(operation, func() outcome)) {
	r := rand.New(rand.NewPCG(seed, uint64(number)))
	ctx := context.Background()
	known := uint64(1)
	for i := range 6 {
		n := c.nodes[r.IntN(len(c.nodes))]
		record(operation{}, func() outcome {
			v, err := n.store.Show(ctx, 0)
			if err != nil {
				panic(err)
			}
			known = v.GetNumber()
			return outcome{version: known}
		})
		in := operation{id: fmt.Sprintf("%d-%d", number, i), base: known}
		for range 3 {
			var out outcome
			record(in, func() outcome {
				out = submit(ctx, c.nodes[r.IntN(len(c.nodes))], in)
				return out
			})
			if !out.unknown {
				break
			}
		}
	}
}

func submit(ctx context.Context, n *node, in operation) outcome {
	body := fmt.Appendf(nil, `{"centers":{"c%s":{"region":"gal"}}}`, in.id)
	result, err := n.store.Patch(ctx, &statev1.Patch{Id: in.id, Base: in.base, Author: "ana", Body: body})
	if err != nil {
		return outcome{unknown: true, version: boolToUint(errors.Is(err, store.ErrNotProposed))}
	}
	return outcome{verdict: result.GetVerdict(), version: result.GetVersion()}
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// Guards against two accepted patches on one base version, stale reads of the newest version, resent patches that are
// applied twice, and diverging replicas, over a log that delays, duplicates and loses messages.
func TestPatchesAreLinearizable(t *testing.T) {
	seeds := uint64(30)
	if *soak {
		seeds = 3000
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) { checkSeed(t, seed) })
	}
}

func checkSeed(t *testing.T, seed uint64) {
	c := newCluster(seed, 3)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	for number := range 3 {
		clients.Go(func() {
			runClient(c, number, seed, func(in operation, run func() outcome) {
				call := time.Since(start)
				out := run()
				end := int64(time.Since(start))
				if out.unknown && out.version == 1 {
					return // Not proposed: it must have no effect.
				}
				if out.unknown {
					end = math.MaxInt64
				}
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{ClientId: len(history), Input: in, Call: int64(call), Output: out, Return: end})
			})
		})
	}
	clients.Wait()
	c.stop()
	result := porcupine.CheckOperationsTimeout(model, history, 0)
	qt.Assert(t, result, qt.Equals, porcupine.Ok, qt.Commentf("seed %d", seed))
	sameStates(t, c)
}

func sameStates(t *testing.T, c *cluster) {
	first, err := c.nodes[0].machine.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	for _, n := range c.nodes[1:] {
		other, err := n.machine.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(other) == string(first), qt.IsTrue)
	}
}

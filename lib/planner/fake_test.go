package planner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/tracer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// epoch is the time at which every simulated query arrives.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// behaviour is how the fake handles a call.
type behaviour int

const (
	good behaviour = iota
	slow
	lost          // the leaf runs the call but the result never arrives
	vanished      // neither the call nor a result arrives
	late          // the result arrives after the deadline
	duplicated    // the result arrives twice
	crossedShard  // the result names another shard
	crossedQuery  // the result names another query's call
	wrongSnapshot // the leaf answers from another snapshot
	unsent        // the owner could not send the call
	notOwner      // the host is not the owner and names another host
	shed          // the leaf refuses the call for lack of capacity
	failing       // the leaf ran the call and reports an error
	broken        // the connection breaks while the call runs
	crash         // the leaf crashes
)

// delivery is an event that is scheduled for the planner.
type delivery struct {
	at    time.Time
	order int
	event planner.Event
}

// callRecord is the fake's record of a call.
type callRecord struct {
	call        planner.Call
	received    bool
	resultKnown bool // a definite result was handed to the planner while the call was open
	delivered   bool // a matching good result was handed to the planner
}

// fake simulates the environment, the leaves and the network of one query.
type fake struct {
	random        *rand.Rand
	shards        map[uint64]int
	leaves        map[uint64][][]*cataloguer.Leaf
	switchAfter   time.Duration // after this time leaves no longer hold snapshot 1; zero means never
	trigger       time.Duration
	announceAfter time.Duration // when the new snapshot is announced to this host
	hedges        int           // hedge budget
	retries       int
	denials       int // hedges that are denied before any is granted
	nextBehaviour func() behaviour

	now      time.Time
	queue    []delivery
	order    int
	timer    time.Time
	records  []*callRecord
	replies  []*planner.Reply
	finished time.Time
	drops    int
	dropped  []planner.Action
	suspects []planner.Call
	clears   int
	hedged   int
	retried  int
	primary  int
	cancels  int
	traced   bool
	trace    *tracer.Recorder
	latency  func() time.Duration
}

// stepper is a planner or a recording planner.
type stepper interface {
	Step(planner.Event, time.Time) []planner.Action
}

func newFake(seed uint64, shards, replicas int) *fake {
	f := &fake{
		random: rand.New(rand.NewPCG(seed, 2)), shards: map[uint64]int{1: shards}, leaves: map[uint64][][]*cataloguer.Leaf{},
		now: epoch, nextBehaviour: func() behaviour { return good }, hedges: 100, retries: 100, trigger: 5 * time.Millisecond,
	}
	f.latency = func() time.Duration { return time.Duration(1+f.random.IntN(4)) * time.Millisecond }
	f.addSnapshot(1, shards, replicas)
	return f
}

// addSnapshot creates the replicas of each shard of a snapshot. Leaves have the same names in every snapshot.
func (f *fake) addSnapshot(snapshot uint64, shards, replicas int) {
	f.shards[snapshot] = shards
	f.leaves[snapshot] = make([][]*cataloguer.Leaf, shards)
	for s := range shards {
		for r := range replicas {
			f.leaves[snapshot][s] = append(f.leaves[snapshot][s], &cataloguer.Leaf{Name: fmt.Sprintf("leaf-%d-%d", s, r)})
		}
	}
}

func (f *fake) holds(snapshot uint64) bool {
	switched := f.switchAfter > 0 && !f.now.Before(epoch.Add(f.switchAfter))
	return (snapshot == 1) != switched
}

// Pin returns the snapshot that the leaves hold now.
func (f *fake) Pin(above uint64, _ time.Time) (*cataloguer.Snapshot, planner.Reason) {
	for _, n := range []uint64{2, 1} {
		if n > above && f.leaves[n] != nil && f.holds(n) && (n == 1 || !f.now.Before(epoch.Add(f.announceAfter))) {
			return &cataloguer.Snapshot{Number: n, Shards: uint32(f.shards[n]), Holders: f.leaves[n]}, 0
		}
	}
	return nil, callerv1.Reason_REASON_NO_REPLICA
}

// Choose picks a random replica that was not tried.
func (f *fake) Choose(_ uint32, holders []*cataloguer.Leaf, tried []string, _ time.Time) (planner.Target, bool) {
	var untried []*cataloguer.Leaf
	for _, l := range holders {
		if !slices.Contains(tried, l.Name) {
			untried = append(untried, l)
		}
	}
	if len(untried) == 0 {
		return planner.Target{}, false
	}
	return planner.Target{Leaf: untried[f.random.IntN(len(untried))], Owner: "host"}, true
}

func (f *fake) Trigger() time.Duration { return f.trigger }
func (f *fake) Primary(n int)          { f.primary += n }

func (f *fake) Hedge(uint32) bool {
	if f.denials > 0 {
		f.denials--
		return false
	}
	if f.hedged >= f.hedges {
		return false
	}
	f.hedged++
	return true
}

func (f *fake) Retry(uint32) bool {
	if f.retried >= f.retries {
		return false
	}
	f.retried++
	return true
}

// run simulates a query until all events are delivered, including those after its reply.
func (f *fake) run(q planner.Query, options ...planner.Option) *planner.Reply {
	q.Identity, q.Received = "host/1/7", epoch
	if q.Deadline.IsZero() {
		q.Deadline = epoch.Add(100 * time.Millisecond)
	}
	p := stepper(planner.New(q, f, options...))
	if f.traced {
		f.trace = tracer.New(q, f, options...)
		p = f.trace
	}
	f.apply(p.Step(planner.Event{Kind: planner.Start}, f.now))
	for {
		next, ok := f.next()
		if !ok {
			break
		}
		f.apply(p.Step(next, f.now))
	}
	if len(f.replies) == 0 {
		return nil
	}
	return f.replies[0]
}

// next removes and returns the earliest event, which may be the timer.
func (f *fake) next() (planner.Event, bool) {
	slices.SortFunc(f.queue, func(a, b delivery) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.order - b.order
	})
	if len(f.replies) == 0 && (len(f.queue) == 0 || f.timer.Before(f.queue[0].at)) {
		f.now = f.timer
		return planner.Event{Kind: planner.Elapsed}, true
	}
	if len(f.queue) == 0 {
		return planner.Event{}, false
	}
	d := f.queue[0]
	f.queue = f.queue[1:]
	f.now = d.at
	return d.event, true
}

func (f *fake) apply(actions []planner.Action) {
	for _, a := range actions {
		switch a.Kind {
		case planner.Send:
			f.send(a.Call)
		case planner.SetTimer:
			f.timer = a.At
		case planner.CountDropped:
			f.drops++
			f.dropped = append(f.dropped, a)
		case planner.Suspect:
			f.suspects = append(f.suspects, a.Call)
			f.deliver(3*time.Millisecond, planner.Event{Kind: planner.Reported})
		case planner.ClearSuspect:
			f.clears++
		case planner.Finish:
			f.replies = append(f.replies, a.Reply)
			f.finished = f.now
		case planner.Cancel:
			f.cancels++
		case planner.RecordCall:
			f.recordCall(a)
		}
	}
}

func (f *fake) recordCall(a planner.Action) {
	for _, r := range f.records {
		if r.call.Attempt == a.Result.Attempt {
			r.resultKnown = true
			r.delivered = a.Result.Reason == 0
		}
	}
}

func (f *fake) deliver(after time.Duration, e planner.Event) {
	f.order++
	f.queue = append(f.queue, delivery{at: f.now.Add(after), order: f.order, event: e})
}

// body encodes the snapshot, shard and leaf of a call, so that a reply shows the source of each part.
func body(c planner.Call) []byte {
	return fmt.Appendf(nil, "%d/%d/%s", c.Snapshot, c.Shard, c.Target.Leaf.Name)
}

func (f *fake) send(c planner.Call) {
	r := &callRecord{call: c}
	f.records = append(f.records, r)
	out := planner.Result{Attempt: c.Attempt, Snapshot: c.Snapshot, Shard: c.Shard, Leaf: c.Target.Leaf.Name, Body: body(c)}
	latency := f.latency()
	behaviour := f.nextBehaviour()
	if !f.holds(c.Snapshot) && behaviour != unsent && behaviour != notOwner && behaviour != vanished {
		r.received = true
		out.Reason, out.Body = callerv1.Reason_REASON_SNAPSHOT_GONE, nil
		f.deliver(latency, planner.Event{Kind: planner.Returned, Result: out})
		return
	}
	r.received = behaviour != unsent && behaviour != notOwner && behaviour != vanished
	failure := func(reason planner.Reason) {
		out.Reason, out.Body = reason, nil
		out.Unsent = !r.received
	}
	switch behaviour {
	case lost, vanished:
		return
	case late:
		latency = time.Second
	case slow:
		latency *= 20
	case duplicated:
		f.deliver(latency+time.Millisecond, planner.Event{Kind: planner.Returned, Result: out})
	case crossedShard:
		out.Shard++
	case crossedQuery:
		out.Attempt = "host/1/8/0"
	case wrongSnapshot:
		out.Snapshot++
	case unsent:
		failure(callerv1.Reason_REASON_CONNECTION_LOST)
	case notOwner:
		failure(callerv1.Reason_REASON_NOT_OWNER)
		out.Owner = "other"
	case shed:
		failure(callerv1.Reason_REASON_OVERLOADED)
	case failing:
		failure(callerv1.Reason_REASON_SERVER_ERROR)
	case broken:
		failure(callerv1.Reason_REASON_CONNECTION_LOST)
	case crash:
		failure(callerv1.Reason_REASON_CRASHED)
	case good:
	}
	f.deliver(latency, planner.Event{Kind: planner.Returned, Result: out})
}

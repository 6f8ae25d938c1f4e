package roller_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/lib/roller"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var (
	begin  = time.Unix(1000, 0)
	bounds = roller.Bounds{Exposure: 0.1, Slack: 50, Rollback: 5 * time.Second}
)

const (
	running    = statev1.RolloutState_ROLLOUT_STATE_RUNNING
	succeeded  = statev1.RolloutState_ROLLOUT_STATE_SUCCEEDED
	rolledBack = statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK
)

// world runs one order over some hosts with the parts of this package, without a network. Its functions are called with the
// time since the order.
type world struct {
	hosts    int
	rate     func(at time.Duration) float64
	duration time.Duration
	// answer returns the latency of a call and whether it fails.
	answer func(target bool, route string, share uint32, at time.Duration, r *rand.Rand) (time.Duration, bool)
	// reachable reports whether a host's messages arrive in both directions.
	reachable func(host int, at time.Duration) bool
	// leaders returns the number of the leader, -1 for none.
	leaders func(at time.Duration) int
	facts   func(f *roller.Facts, at time.Duration)
	random  *rand.Rand

	ledger *roller.Ledger
	// seen and exposed are the calls until the end of the order's duration, badAt the time of the 50th bad answer of the
	// target, and last that of its last call.
	seen, exposed, bad int
	// blind is the number of calls to the target while there was no leader, or a new one that had not heard all hosts yet: the
	// share stays as it is then.
	blind       int
	leading     time.Duration
	badAt, last time.Duration
	ended       time.Duration
	states      []statev1.RolloutState
	// onOld is the number of calls to the old version that ran when the order succeeded.
	onOld int
}

func newWorld(seed uint64) *world {
	return &world{
		hosts: 9, rate: func(time.Duration) float64 { return 100 }, duration: time.Minute, answer: healthy,
		reachable: func(int, time.Duration) bool { return true }, leaders: func(time.Duration) int { return 1 },
		facts: func(*roller.Facts, time.Duration) {}, random: rand.New(rand.NewPCG(seed, 1)), ledger: roller.NewLedger(),
	}
}

// loseLeader leaves the hosts without a leader for a second, after a part of the order.
func (w *world) loseLeader(part float64) {
	w.leaders = func(at time.Duration) int {
		lost := time.Duration(part * float64(w.duration))
		switch {
		case at < lost:
			return 1
		case at < lost+time.Second:
			return -1
		}
		return 2
	}
}

// healthy is a leaf that takes 10 ms, pauses 4% of the time, and is 3 times slower for 10% of the calls.
func healthy(_ bool, _ string, _ uint32, at time.Duration, r *rand.Rand) (time.Duration, bool) {
	latency := time.Duration(float64(10*time.Millisecond) * math.Exp(0.3*r.NormFloat64()))
	if r.Float64() < 0.1 {
		latency *= 3
	}
	if r.Float64() < 0.04 {
		latency += time.Duration(r.Float64() * float64(120*time.Millisecond))
	}
	_ = at
	return latency, false
}

type call struct {
	counted *roller.Call
	ends    time.Time
	target  bool
}

// host is an entry host.
type host struct {
	tally   *roller.Tally
	rollout *statev1.Rollout
	heard   time.Time
	calls   []call
}

// blindTime is the time that a new leader needs to hear all hosts and to act on what they report.
const blindTime = 2 * time.Second

const (
	tick   = 20 * time.Millisecond
	report = 15 // Ticks between two reports of a host and between two decisions.
)

// run runs the order until its duration is over.
func (w *world) run() {
	current := w.ledger.Order(1, &statev1.RolloutOrder{Service: "desk", Target: "v2", Duration: durationpb.New(w.duration)}, begin).GetRollout()
	index := current.GetRevision()
	hosts := make([]*host, w.hosts)
	for i := range hosts {
		hosts[i] = &host{tally: roller.NewTally(fmt.Sprint(i), 1)}
	}
	var watch *roller.Watch
	leader := -1
	pending := 0.0
	for n := 0; time.Duration(n)*tick < w.duration+time.Second; n++ {
		at := time.Duration(n) * tick
		now := begin.Add(at)
		current = w.ledger.Find("desk")
		for i, h := range hosts {
			if w.reachable(i, at) {
				h.heard = now
				if h.rollout.GetRevision() != current.GetRevision() {
					h.rollout = current
					h.tally.Update(map[string]*statev1.Rollout{"desk": current}, now)
				}
			}
			h.closeEnded(now)
		}
		for pending += w.rate(at) * tick.Seconds(); pending >= 1; pending-- {
			w.call(hosts[w.random.IntN(len(hosts))], at)
		}
		next := w.leaders(at)
		if next != leader {
			leader, watch, w.leading = next, nil, at
		}
		if leader < 0 || !roller.Running(current) {
			continue
		}
		if watch == nil {
			watch = roller.NewWatch(current, bounds)
		}
		watch.Update(current)
		facts := roller.Facts{Time: now, Known: true, Trial: 3, Stable: 3}
		for i, h := range hosts {
			if w.reachable(i, at) {
				facts.Hosts = append(facts.Hosts, fmt.Sprint(i))
				if (n+i)%report == 0 {
					w.deliver(watch, h.tally.Report(now.Sub(h.heard) < roller.FreshTimeout, now), now)
				}
			}
		}
		w.facts(&facts, at)
		if n%(report/3) == 0 {
			if step := watch.Step(facts, now); step != nil {
				index++
				w.record(w.ledger.Step(index, step, now).GetRollout(), hosts, at)
			}
		}
	}
}

func (w *world) record(r *statev1.Rollout, hosts []*host, at time.Duration) {
	w.states = append(w.states, r.GetState())
	if r.GetState() == running || w.ended > 0 {
		return
	}
	w.ended = at
	for i, h := range hosts {
		for _, c := range h.calls {
			if !c.target && w.reachable(i, at) {
				w.onOld++
			}
		}
	}
}

func (*world) deliver(watch *roller.Watch, counts []*peerv1.ServiceCounts, now time.Time) {
	for _, c := range counts {
		watch.Receive(c, now)
	}
}

func (h *host) closeEnded(now time.Time) {
	open := h.calls[:0]
	for _, c := range h.calls {
		if c.ends.After(now) {
			open = append(open, c)
			continue
		}
		c.counted.Close()
	}
	h.calls = open
}

// call sends one request by the rule of an entry host.
func (w *world) call(h *host, at time.Duration) {
	now := begin.Add(at)
	share := h.rollout.GetShare()
	if now.Sub(h.heard) >= roller.FreshTimeout && roller.Running(h.rollout) {
		share = 0
	}
	program, target := "v1", w.random.Float64()*roller.FullShare < float64(share)
	if target {
		program = "v2"
	}
	route := []string{"wide", "urgent"}[w.random.IntN(2)]
	counted := h.tally.Begin("desk", program, route, false, now)
	latency, failed := w.answer(target, route, share, at, w.random)
	result := roller.Answered
	if failed {
		result = roller.Failed
	}
	counted.End(result, now.Add(latency))
	h.calls = append(h.calls, call{counted: counted, ends: now.Add(latency), target: target})
	if at >= w.duration {
		return
	}
	w.seen++
	if !target {
		return
	}
	w.exposed++
	if w.leading > 0 && (w.leaders(at) < 0 || at-w.leading < blindTime) {
		w.blind++
	}
	w.last = at
	if failed || latency > 50*time.Millisecond {
		if w.bad++; w.bad == 50 {
			w.badAt = at
		}
	}
}

// permitted returns the requests that a bad version may get.
func (w *world) permitted() float64 {
	return bounds.Exposure*float64(w.seen) + bounds.Slack
}

func (w *world) state() statev1.RolloutState {
	return w.ledger.Find("desk").GetState()
}

package detector

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Period is the interval at which a host sends probes. On average, each host of a cell receives two probes per
	// second.
	Period = 500 * time.Millisecond
	// DirectTimeout is the time without a response after which other hosts are asked to probe. It is far above the
	// latency inside a data centre (0.5 ms), so that only a lost message or a stopped process exceeds it.
	DirectTimeout = 150 * time.Millisecond
	// ProbeTimeout is the timeout of a probe, including the indirect ones.
	ProbeTimeout = 400 * time.Millisecond
	// SuspicionTimeout is the time in which a suspect can refute the suspicion. Six probes of each host fit into it,
	// so that 20% loss on every path does not cause a host to be declared dead.
	SuspicionTimeout = 1500 * time.Millisecond
	// suspectPeriod is the minimum interval between two probes of the same suspect.
	suspectPeriod = 250 * time.Millisecond
	// deadPeriod is the interval at which one of the dead hosts is probed, so that hosts return after a partition.
	deadPeriod = time.Second
	// pauseThreshold is the time between two ticks above which this process is assumed to have been stopped.
	pauseThreshold = 300 * time.Millisecond
	// isolationTimeout is the time without a message from any host after which this host does not declare others dead.
	// In a cell of 3 hosts, one of them dead, a message arrives at least once in two periods.
	isolationTimeout = 2 * Period
	// Helpers is the maximum number of hosts that are asked to probe a host indirectly.
	Helpers = 3
	// HandoverPeriod is the time for which a host that left still accepts calls.
	HandoverPeriod = 3 * time.Second
	// MaxUpdates is the maximum number of updates in a message.
	MaxUpdates = 6
	// repeats is the number of messages that carry an update. In a cell of 9 hosts, 12 messages reach each host with
	// high probability even at 20% loss.
	repeats = 12
)

// Kind is the kind of an action.
type Kind int

// Kinds of actions.
const (
	Probe Kind = iota + 1
	ProbeVia
)

// Action is a message that the caller must send. The caller reports the response to a probe with Acked.
type Action struct {
	Kind   Kind
	Target string
	// Via is the host that is asked to probe the target, for ProbeVia.
	Via string
}

type probe struct {
	sent time.Time
	via  bool
}

// Detector is one host's view of the membership of a cell. It is not safe for concurrent use.
type Detector struct {
	self    Update
	random  *rand.Rand
	members map[string]*member
	// sorted holds the names of the members, in the order in which all decisions iterate over them.
	sorted  []string
	pending map[string]probe
	changes []Change
	// selfRemainingSends is the number of further messages that will carry this host's own refutation or departure.
	selfRemainingSends int

	nextProbeAt, nextDeadProbeAt, lastTick time.Time
	// lastReceived is the time of the last message from any other host. A host that receives no messages does not
	// suspect others, because its own network is the more likely fault.
	lastReceived time.Time
}

// New returns a detector for a cell that contains only this host. The incarnation must increase with each start.
func New(self string, incarnation, seed uint64, now time.Time) *Detector {
	return &Detector{
		self:    Update{Host: self, Incarnation: incarnation, State: Alive},
		random:  rand.New(rand.NewPCG(seed, incarnation)), //nolint:gosec // The choice of helpers needs no secure randomness.
		members: make(map[string]*member), pending: make(map[string]probe), nextProbeAt: now, nextDeadProbeAt: now, lastTick: now, lastReceived: now,
	}
}

// SetHosts sets the hosts of the cell. New hosts count as alive until a probe fails.
func (d *Detector) SetHosts(hosts []string, now time.Time) {
	for name := range d.members {
		if !slices.Contains(hosts, name) {
			delete(d.members, name)
			delete(d.pending, name)
		}
	}
	for _, name := range hosts {
		if _, ok := d.members[name]; !ok && name != d.self.Host {
			d.members[name] = &member{Update: Update{Host: name, State: Alive}, since: now}
		}
	}
	d.sorted = slices.Sorted(maps.Keys(d.members))
}

// Tick handles expired probes and suspicions and returns the messages to send. Call it at least every 50 ms.
func (d *Detector) Tick(now time.Time) []Action {
	paused := now.Sub(d.lastTick) > pauseThreshold
	d.lastTick = now
	if d.self.State == Left {
		return nil
	}
	if paused {
		d.resume(now)
	}
	actions := d.expire(now)
	d.declareDead(now)
	actions = append(actions, d.probeSuspects(now)...)
	if !now.Before(d.nextDeadProbeAt) {
		d.nextDeadProbeAt = now.Add(deadPeriod)
		actions = append(actions, d.probeDead(now)...)
	}
	if !now.Before(d.nextProbeAt) {
		d.nextProbeAt = now.Add(Period)
		actions = append(actions, d.probeNext(now)...)
	}
	return actions
}

// resume discards pending probes and restarts suspicions after this process was stopped. It could not receive responses
// in that time, so missing ones prove nothing.
func (d *Detector) resume(now time.Time) {
	clear(d.pending)
	d.lastReceived = now
	for _, m := range d.members {
		if m.State == Suspect {
			m.since = now
		}
	}
}

// expire requests indirect probes after the direct timeout and suspects a host after the probe timeout.
func (d *Detector) expire(now time.Time) []Action {
	var actions []Action
	for _, name := range d.sorted {
		p, ok := d.pending[name]
		if !ok {
			continue
		}
		age := now.Sub(p.sent)
		if age >= ProbeTimeout && (d.receivedSince(p.sent) || age >= isolationTimeout) {
			delete(d.pending, name)
			if d.receivedSince(p.sent) {
				d.suspect(name, now)
			}
			continue
		}
		if age >= DirectTimeout && !p.via {
			d.pending[name] = probe{sent: p.sent, via: true}
			actions = append(actions, d.helpers(name)...)
		}
	}
	return actions
}

func (d *Detector) helpers(target string) []Action {
	var out []Action
	for _, i := range d.random.Perm(len(d.sorted)) {
		via := d.sorted[i]
		if via == target || d.members[via].State != Alive {
			continue
		}
		out = append(out, Action{Kind: ProbeVia, Target: target, Via: via})
		if len(out) == Helpers {
			break
		}
	}
	return out
}

func (d *Detector) suspect(name string, now time.Time) {
	m := d.members[name]
	if m == nil || m.State != Alive {
		return
	}
	d.set(m, Update{Host: name, Incarnation: m.Incarnation, State: Suspect}, now)
}

// receivedSince reports whether a message from another host arrived after the response to a probe was due. If not, the
// likely fault is in this host's own network. In a cell with only one other host, that host is the only possible
// sender, and a missing response always counts against it.
func (d *Detector) receivedSince(sent time.Time) bool {
	return len(d.members) == 1 || !d.lastReceived.Before(sent.Add(DirectTimeout))
}

// isolated reports whether this host has received no message for so long that it must not declare others dead.
func (d *Detector) isolated(now time.Time) bool {
	return len(d.members) > 1 && now.Sub(d.lastReceived) >= isolationTimeout
}

// declareDead declares suspects dead that have not refuted the suspicion in time.
func (d *Detector) declareDead(now time.Time) {
	for _, name := range d.sorted {
		m := d.members[name]
		if m.State == Suspect && now.Sub(m.since) >= SuspicionTimeout && !d.isolated(now) {
			d.set(m, Update{Host: name, Incarnation: m.Incarnation, State: Dead}, now)
		}
	}
}

// probeSuspects probes the suspect that has waited longest, if one is due. Probing only one per tick keeps the cost
// independent of the number of suspects.
func (d *Detector) probeSuspects(now time.Time) []Action {
	var oldest *member
	for _, name := range d.sorted {
		m := d.members[name]
		if m.State == Suspect && now.Sub(m.lastProbe) >= suspectPeriod && (oldest == nil || m.lastProbe.Before(oldest.lastProbe)) {
			oldest = m
		}
	}
	if oldest == nil {
		return nil
	}
	return d.send(oldest, now)
}

// probeDead probes the dead host that has not been probed for the longest time. Hosts that left are not probed, because
// they announce themselves when they return.
func (d *Detector) probeDead(now time.Time) []Action {
	var oldest *member
	for _, name := range d.sorted {
		m := d.members[name]
		if m.State == Dead && (oldest == nil || m.lastProbe.Before(oldest.lastProbe)) {
			oldest = m
		}
	}
	if oldest == nil {
		return nil
	}
	oldest.lastProbe = now
	return []Action{{Kind: Probe, Target: oldest.Host}}
}

// probeNext probes the next host in round-robin order. All hosts shift their target by one in each period, so that with
// clocks that agree within a period every host is probed once per period, and a dead one is detected in the first. With
// other clocks every host still probes every other once per round.
func (d *Detector) probeNext(now time.Time) []Action {
	if len(d.sorted) == 0 {
		return nil
	}
	shift := int(now.UnixNano()/int64(Period)) % len(d.sorted)
	position, _ := slices.BinarySearch(d.sorted, d.self.Host)
	for i := range d.sorted {
		m := d.members[d.sorted[(position+shift+i)%len(d.sorted)]]
		if _, running := d.pending[m.Host]; m.State == Alive && !running {
			return d.send(m, now)
		}
	}
	return nil
}

func (d *Detector) send(m *member, now time.Time) []Action {
	m.lastProbe = now
	if m.State == Alive {
		d.pending[m.Host] = probe{sent: now}
		return []Action{{Kind: Probe, Target: m.Host}}
	}
	// A suspect is probed directly and through one other host at the same time.
	out := []Action{{Kind: Probe, Target: m.Host}}
	if via := d.helpers(m.Host); len(via) > 0 {
		out = append(out, via[0])
	}
	return out
}

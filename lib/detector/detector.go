package detector

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Period is the time between two probes of a host. Two probes a second reach each host of a cell on average.
	Period = 500 * time.Millisecond
	// DirectTimeout is the time after which other hosts are asked to probe. It is far above the latency inside a
	// data centre (0.5 ms), so that only a lost message or a stopped process exceeds it.
	DirectTimeout = 150 * time.Millisecond
	// ProbeTimeout ends a probe, the indirect ones included.
	ProbeTimeout = 400 * time.Millisecond
	// SuspicionTimeout is the time in which a suspect can refute. Six probes of each host fit into it, so that
	// 20% loss on every path does not make a host dead.
	SuspicionTimeout = 1500 * time.Millisecond
	// suspectPeriod is the time between two probes of the same suspect.
	suspectPeriod = 250 * time.Millisecond
	// deadPeriod is the time between two probes of dead hosts, over all dead hosts: the way back after a partition.
	deadPeriod = time.Second
	// pause is the time between two ticks above which this process itself was stopped.
	pause = 300 * time.Millisecond
	// silence is the time without a message from any host above which this host does not judge others. In a cell of
	// 3 hosts, of which one is dead, another one is heard at least once in two periods.
	silence = 2 * Period
	// Helpers is the number of hosts asked to probe on behalf of another.
	Helpers = 3
	// Handover is the time for which a host that left still answers calls.
	Handover = 3 * time.Second
	// MaxUpdates bounds the updates in one message.
	MaxUpdates = 6
	// repeats is how many messages carry one update. In a cell of 9 hosts 12 messages reach each host with high
	// probability also at 20% loss.
	repeats = 12
)

// Kind of an action.
type Kind int

// Kinds of actions.
const (
	Probe Kind = iota + 1
	ProbeVia
)

// Action is a message that the caller must send. An answered probe is reported by Acked.
type Action struct {
	Kind   Kind
	Target string
	// Via is the host that is asked to probe, with ProbeVia.
	Via string
}

type probe struct {
	sent time.Time
	via  bool
}

// Detector is the membership of one cell as one host sees it. It is not safe for concurrent use.
type Detector struct {
	self    Update
	random  *rand.Rand
	members map[string]*member
	// sorted is the names of the members; every decision walks them in this order.
	sorted  []string
	pending map[string]probe
	changes []Change
	// selfSends is how many more messages carry this host's own refutation or leaving.
	selfSends int

	due, deadDue, ticked time.Time
	// heard is when any other host was last heard. A host that hears nobody does not suspect others: the fault is
	// more likely its own.
	heard time.Time
}

// New returns a detector of a cell that holds only this host. The incarnation must grow with each start.
func New(self string, incarnation, seed uint64, now time.Time) *Detector {
	return &Detector{
		self:    Update{Host: self, Incarnation: incarnation, State: Alive},
		random:  rand.New(rand.NewPCG(seed, incarnation)), //nolint:gosec // The choice of helpers needs no secure randomness.
		members: make(map[string]*member), pending: make(map[string]probe), due: now, deadDue: now, ticked: now, heard: now,
	}
}

// SetHosts sets the hosts of the cell. New ones count as alive until a probe fails.
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

// Tick ends probes and suspicions that are due and returns the messages to send. Call it at least every 50 ms.
func (d *Detector) Tick(now time.Time) []Action {
	paused := now.Sub(d.ticked) > pause
	d.ticked = now
	if d.self.State == Left {
		return nil
	}
	if paused {
		d.resume(now)
	}
	actions := d.expire(now)
	d.bury(now)
	actions = append(actions, d.probeSuspects(now)...)
	if !now.Before(d.deadDue) {
		d.deadDue = now.Add(deadPeriod)
		actions = append(actions, d.probeDead(now)...)
	}
	if !now.Before(d.due) {
		d.due = now.Add(Period)
		actions = append(actions, d.probeNext(now)...)
	}
	return actions
}

// resume forgets what ran while this process was stopped: answers could not be read, so silence proves nothing.
func (d *Detector) resume(now time.Time) {
	clear(d.pending)
	d.heard = now
	for _, m := range d.members {
		if m.State == Suspect {
			m.since = now
		}
	}
}

// expire asks other hosts after the direct timeout and suspects after the whole timeout.
func (d *Detector) expire(now time.Time) []Action {
	var actions []Action
	for _, name := range d.sorted {
		p, ok := d.pending[name]
		if !ok {
			continue
		}
		age := now.Sub(p.sent)
		if age >= ProbeTimeout && (d.hears(p.sent) || age >= silence) {
			delete(d.pending, name)
			if d.hears(p.sent) {
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

// hears reports whether another host was heard after an answer to a probe was due. If not, this host's own network
// is the likely fault. With one other host there is nobody else to hear, and the silence counts against it.
func (d *Detector) hears(sent time.Time) bool {
	return len(d.members) == 1 || !d.heard.Before(sent.Add(DirectTimeout))
}

// isolated reports whether this host has heard nobody for so long that it must not declare others dead.
func (d *Detector) isolated(now time.Time) bool {
	return len(d.members) > 1 && now.Sub(d.heard) >= silence
}

// bury declares suspects dead that did not refute in time.
func (d *Detector) bury(now time.Time) {
	for _, name := range d.sorted {
		m := d.members[name]
		if m.State == Suspect && now.Sub(m.since) >= SuspicionTimeout && !d.isolated(now) {
			d.set(m, Update{Host: name, Incarnation: m.Incarnation, State: Dead}, now)
		}
	}
}

// probeSuspects probes one suspect that is due, so that the cost does not grow with the number of suspects.
func (d *Detector) probeSuspects(now time.Time) []Action {
	var oldest *member
	for _, name := range d.sorted {
		m := d.members[name]
		if m.State == Suspect && now.Sub(m.probed) >= suspectPeriod && (oldest == nil || m.probed.Before(oldest.probed)) {
			oldest = m
		}
	}
	if oldest == nil {
		return nil
	}
	return d.send(oldest, now)
}

// probeDead probes the dead host that was not probed for the longest time. Hosts that left announce themselves.
func (d *Detector) probeDead(now time.Time) []Action {
	var oldest *member
	for _, name := range d.sorted {
		m := d.members[name]
		if m.State == Dead && (oldest == nil || m.probed.Before(oldest.probed)) {
			oldest = m
		}
	}
	if oldest == nil {
		return nil
	}
	oldest.probed = now
	return []Action{{Kind: Probe, Target: oldest.Host}}
}

// probeNext probes the host whose turn it is. All hosts shift their targets by one each period, so that with clocks
// that agree within a period each host is probed once a period, and a dead one is found in the first. With other clocks
// each pair still has its turn once a round.
func (d *Detector) probeNext(now time.Time) []Action {
	if len(d.sorted) == 0 {
		return nil
	}
	turn := int(now.UnixNano()/int64(Period)) % len(d.sorted)
	place, _ := slices.BinarySearch(d.sorted, d.self.Host)
	for i := range d.sorted {
		m := d.members[d.sorted[(place+turn+i)%len(d.sorted)]]
		if _, running := d.pending[m.Host]; m.State == Alive && !running {
			return d.send(m, now)
		}
	}
	return nil
}

func (d *Detector) send(m *member, now time.Time) []Action {
	m.probed = now
	if m.State == Alive {
		d.pending[m.Host] = probe{sent: now}
		return []Action{{Kind: Probe, Target: m.Host}}
	}
	// A suspect is probed directly and through one other host at once.
	out := []Action{{Kind: Probe, Target: m.Host}}
	if via := d.helpers(m.Host); len(via) > 0 {
		out = append(out, via[0])
	}
	return out
}

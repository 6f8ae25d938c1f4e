package detector

import (
	"slices"
	"time"
)

// Acked handles a response to a probe, which the host sent directly or through another host under an incarnation.
func (d *Detector) Acked(host string, incarnation uint64, now time.Time) {
	delete(d.pending, host)
	d.lastReceived = now
	d.apply(Update{Host: host, Incarnation: incarnation, State: Alive}, now)
}

// Received handles a message and its updates. A message shows that its sender is alive, but it does not clear a
// suspicion: only a greater incarnation does, so that a host that can send but not receive does not flap.
func (d *Detector) Received(from string, incarnation uint64, updates []Update, now time.Time) {
	if _, ok := d.members[from]; ok {
		d.lastReceived = now
		d.apply(Update{Host: from, Incarnation: incarnation, State: Alive}, now)
	}
	for _, u := range updates {
		d.apply(u, now)
	}
}

// apply applies an update if it is newer than the known state.
func (d *Detector) apply(u Update, now time.Time) {
	if u.Host == d.self.Host {
		d.refute(u)
		return
	}
	m := d.members[u.Host]
	if m == nil || u.State < Alive || u.State > Left || !overrides(u, m.Update) {
		return
	}
	d.set(m, u, now)
}

// refute increases this host's incarnation when an update says that it is not alive.
func (d *Detector) refute(u Update) {
	if d.self.State == Left || u.State == Alive || u.Incarnation < d.self.Incarnation {
		return
	}
	d.self.Incarnation = u.Incarnation + 1
	d.selfRemainingSends = repeats
}

func (d *Detector) set(m *member, u Update, now time.Time) {
	if m.State != u.State {
		d.changes = append(d.changes, Change{Update: u, Before: m.State, At: now})
	}
	if m.State != u.State || m.Incarnation != 0 {
		m.remainingSends = repeats
	}
	if u.State != Alive {
		delete(d.pending, u.Host)
	}
	m.Update = u
	m.since = now
}

// Updates returns the updates for a message to a host: first the one about the receiver, then this host's own, then
// those that have been sent least often. It returns at most MaxUpdates.
func (d *Detector) Updates(to string) []Update {
	var out []Update
	if m := d.members[to]; m != nil && m.State != Alive {
		out = append(out, m.Update)
	}
	if d.selfRemainingSends > 0 {
		d.selfRemainingSends--
		out = append(out, d.self)
	}
	var unsent []*member
	for _, name := range d.sorted {
		if m := d.members[name]; m.remainingSends > 0 && name != to {
			unsent = append(unsent, m)
		}
	}
	slices.SortStableFunc(unsent, func(a, b *member) int { return b.remainingSends - a.remainingSends })
	for _, m := range unsent {
		if len(out) == MaxUpdates {
			break
		}
		m.remainingSends--
		out = append(out, m.Update)
	}
	return out
}

// Leave marks this host as leaving. It sends no more probes; the caller sends the update returned by Self to the other
// hosts.
func (d *Detector) Leave() {
	d.self.State = Left
	d.selfRemainingSends = repeats
}

// Self returns the state of this host.
func (d *Detector) Self() Update { return d.self }

// Live reports whether a host may own leaves, which is the case while it is alive or only suspected. This host may own
// leaves until it leaves.
func (d *Detector) Live(host string) bool {
	if host == d.self.Host {
		return d.self.State == Alive
	}
	m := d.members[host]
	return m != nil && m.State <= Suspect
}

// AcceptsCalls reports whether a host still accepts calls: it is live, or it left less than HandoverPeriod ago and completes the
// calls that still reach it while its leaves move to other hosts.
func (d *Detector) AcceptsCalls(host string, now time.Time) bool {
	if host == d.self.Host {
		return true
	}
	m := d.members[host]
	return d.Live(host) || (m != nil && m.State == Left && now.Sub(m.since) < HandoverPeriod)
}

// IsStable reports whether another host has been live under the same incarnation for at least HandoverPeriod.
func (d *Detector) IsStable(host string, now time.Time) bool {
	m := d.members[host]
	return m != nil && m.State <= Suspect && now.Sub(m.since) >= HandoverPeriod
}

// Members returns the state of every other host, sorted by name.
func (d *Detector) Members() []Update {
	out := make([]Update, 0, len(d.members))
	for _, name := range d.sorted {
		out = append(out, d.members[name].Update)
	}
	return out
}

// Changes returns the state transitions since the last call.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}

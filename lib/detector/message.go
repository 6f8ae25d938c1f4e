package detector

import (
	"slices"
	"time"
)

// Acked reports that a probe of the host was answered, directly or through another host, under an incarnation.
func (d *Detector) Acked(host string, incarnation uint64, now time.Time) {
	delete(d.pending, host)
	d.heard = now
	d.apply(Update{Host: host, Incarnation: incarnation, State: Alive}, now)
}

// Received takes the updates of a message. A message itself proves that its sender lives, but it clears no suspicion:
// only a greater incarnation does, so that a host that can send but not receive does not flap.
func (d *Detector) Received(from string, incarnation uint64, updates []Update, now time.Time) {
	if _, ok := d.members[from]; ok {
		d.heard = now
		d.apply(Update{Host: from, Incarnation: incarnation, State: Alive}, now)
	}
	for _, u := range updates {
		d.apply(u, now)
	}
}

// apply takes an update if it is newer than what is known.
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

// refute answers a claim that this host is not alive with a greater incarnation.
func (d *Detector) refute(u Update) {
	if d.self.State == Left || u.State == Alive || u.Incarnation < d.self.Incarnation {
		return
	}
	d.self.Incarnation = u.Incarnation + 1
	d.selfSends = repeats
}

func (d *Detector) set(m *member, u Update, now time.Time) {
	if m.State != u.State {
		d.changes = append(d.changes, Change{Update: u, Before: m.State, At: now})
	}
	if m.State != u.State || m.Incarnation != 0 {
		m.sends = repeats
	}
	if u.State != Alive {
		delete(d.pending, u.Host)
	}
	m.Update = u
	m.since = now
}

// Updates returns the updates for one message to a host: first what concerns the receiver, then those that were
// sent least. It never returns more than MaxUpdates.
func (d *Detector) Updates(to string) []Update {
	var out []Update
	if m := d.members[to]; m != nil && m.State != Alive {
		out = append(out, m.Update)
	}
	if d.selfSends > 0 {
		d.selfSends--
		out = append(out, d.self)
	}
	var waiting []*member
	for _, name := range d.sorted {
		if m := d.members[name]; m.sends > 0 && name != to {
			waiting = append(waiting, m)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *member) int { return b.sends - a.sends })
	for _, m := range waiting {
		if len(out) == MaxUpdates {
			break
		}
		m.sends--
		out = append(out, m.Update)
	}
	return out
}

// Leave makes this host say that it stops. It sends no more probes; the caller sends the update of Self to others.
func (d *Detector) Leave() {
	d.self.State = Left
	d.selfSends = repeats
}

// Self returns the state of this host.
func (d *Detector) Self() Update { return d.self }

// Live reports whether a host may own leaves: it is this host, alive, or only suspected.
func (d *Detector) Live(host string) bool {
	if host == d.self.Host {
		return d.self.State == Alive
	}
	m := d.members[host]
	return m != nil && m.State <= Suspect
}

// Serves reports whether a host still answers calls: it is live, or it left less than Handover ago and lets the
// calls that reach it end while its leaves go to other hosts.
func (d *Detector) Serves(host string, now time.Time) bool {
	if host == d.self.Host {
		return true
	}
	m := d.members[host]
	return d.Live(host) || (m != nil && m.State == Left && now.Sub(m.since) < Handover)
}

// Settled reports whether another host has been live, under one incarnation, for at least Handover.
func (d *Detector) Settled(host string, now time.Time) bool {
	m := d.members[host]
	return m != nil && m.State <= Suspect && now.Sub(m.since) >= Handover
}

// Members returns the state of every other host, sorted by name.
func (d *Detector) Members() []Update {
	out := make([]Update, 0, len(d.members))
	for _, name := range d.sorted {
		out = append(out, d.members[name].Update)
	}
	return out
}

// Changes returns the transitions since the last call.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}

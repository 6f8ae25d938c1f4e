package leaser

import (
	"math/rand/v2"
	"slices"
	"time"

	"lycheelift.example/lib/ranker"
)

const (
	// claimTimeout is the time after which a claim without a majority is abandoned, so that two hosts with one vote
	// each do not block each other for a whole term.
	claimTimeout = 300 * time.Millisecond
	// retryDelay and retryJitter are the fixed and the random part of the delay before a claim is retried.
	retryDelay  = 100 * time.Millisecond
	retryJitter = 400 * time.Millisecond
	// epochLead is added to the clock in the epoch of a new claim. Granters whose clocks are slightly ahead then store
	// the epoch unchanged, and one round is enough.
	epochLead = 100 * time.Millisecond
	// handBackDelay is the time for which the preferred host must be alive before a leaf is handed back to it, so that
	// a host that restarts repeatedly does not move its leaves each time.
	handBackDelay = 5 * time.Second
	// leavingTimeout is the time for which a host that announced it was leaving is not preferred. It stops within this
	// time, and then counts as dead until it returns.
	leavingTimeout = 10 * time.Second
)

// Lease is a lease that this host holds.
type Lease struct {
	Epoch uint64
	// Until is the end by the holder's clock, with the margin already subtracted.
	Until time.Time
	// Since is the time at which the lease was acquired; renewals do not change it.
	Since time.Time
	// Releasing is set when the lease is being given up: calls in flight may complete, but no new call may start.
	Releasing bool
}

// Message is a request to one host. A lease granted in the response starts at the time Sent.
type Message struct {
	To      string
	Sent    time.Time
	Request Request
}

// Holder decides which leaves of its cell this host claims, and tracks the leases that it holds. It is not safe for
// concurrent use.
type Holder struct {
	self         string
	incarnation  uint64
	sequence     uint64
	cell         ranker.Cell
	group        uint64
	leaves       map[string]*lease
	leavingUntil map[string]time.Time
	random       *rand.Rand
	renewed      time.Time
	leaving      bool
}

type lease struct {
	order  []string
	grants map[string]vote
	// releaseSequence is the sequence of the last release; responses to earlier requests are ignored.
	releaseSequence uint64
	// claimedAt is the start of the current claim, or zero when there is none.
	claimedAt time.Time
	retryAt   time.Time
	// unpreferredSince is the time since which another live host has been preferred.
	unpreferredSince time.Time
	since            time.Time
	// epoch and until are those of the last lease, which is valid before until.
	epoch uint64
	until time.Time
	// epochRaised is set when the claim was repeated to make the granters store a common epoch.
	epochRaised bool
	releasing   bool
	removed     bool
	owner       string
}

type vote struct {
	epoch uint64
	until time.Time
}

// NewHolder returns a holder for a host. The seed randomises the retry delays, so that hosts do not claim in step.
func NewHolder(self string, incarnation, seed uint64) *Holder {
	return &Holder{
		self: self, incarnation: incarnation, leaves: make(map[string]*lease), leavingUntil: make(map[string]time.Time),
		random: rand.New(rand.NewPCG(seed, incarnation)), //nolint:gosec // Spreading retries needs no secure randomness.
	}
}

// Configure sets the host's cell and the leaves that belong to it. When the granters change, the votes of the previous
// granters become invalid.
func (h *Holder) Configure(cell ranker.Cell, leaves []string) {
	if group := Group(cell); group != h.group {
		h.group = group
		for _, l := range h.leaves {
			l.dropVotes()
			l.claimedAt = time.Time{}
		}
	}
	changed := !slices.Equal(cell.Hosts, h.cell.Hosts)
	h.cell = cell
	present := make(map[string]bool, len(leaves))
	for _, name := range leaves {
		present[name] = true
		l, ok := h.leaves[name]
		if !ok {
			l = &lease{grants: make(map[string]vote)}
			h.leaves[name] = l
		}
		if !ok || changed {
			l.order = ranker.Order(name, cell.Hosts)
		}
		l.removed = false
	}
	for name, l := range h.leaves {
		if !present[name] {
			l.removed = true
		}
	}
}

// dropVotes discards all votes and ends the lease.
func (l *lease) dropVotes() {
	l.grants = make(map[string]vote)
	l.until = time.Time{}
}

// Tick returns the requests to send at now; dead reports whether a host is considered dead.
func (h *Holder) Tick(now time.Time, dead func(host string) bool) []Message {
	renew := now.Sub(h.renewed) >= Renew
	if renew {
		h.renewed = now
	}
	var claims []Claim
	var releases []string
	for _, name := range h.names() {
		l := h.leaves[name]
		current, held := h.lease(l, now)
		wanted := !h.leaving && !l.removed && h.preferred(l, now, dead) == h.self
		h.updateReleasing(l, wanted, held, now)
		switch {
		case held:
			if renew {
				claims = append(claims, Claim{Leaf: name, Epoch: current.Epoch})
			}
		case !l.claimedAt.IsZero() && !l.epochRaised && h.hasMajority(l, now):
			l.epochRaised = true
			l.claimedAt = now
			epoch, _ := l.maxEpoch(now)
			claims = append(claims, Claim{Leaf: name, Epoch: epoch})
		case !l.claimedAt.IsZero() && now.Sub(l.claimedAt) >= claimTimeout:
			l.claimedAt = time.Time{}
			l.retryAt = now.Add(retryDelay + time.Duration(h.random.Int64N(int64(retryJitter))))
			releases = append(releases, name)
		case wanted && l.claimedAt.IsZero() && !now.Before(l.retryAt):
			l.claimedAt = now
			l.epochRaised = false
			claims = append(claims, Claim{Leaf: name, Epoch: wallMicros(now.Add(epochLead))})
		case l.removed && l.claimedAt.IsZero():
			delete(h.leaves, name)
		}
	}
	out := h.send(h.cell.Granters, releases, nil, now)
	return append(out, h.send(h.cell.Granters, nil, claims, now)...)
}

// hasMajority reports whether a majority has granted a leaf. Before the lease is acquired, this means that the granters
// have stored different epochs.
func (h *Holder) hasMajority(l *lease, now time.Time) bool {
	_, votes := l.maxEpoch(now)
	return votes > len(h.cell.Granters)/2
}

// updateReleasing starts to release a held leaf when this host is leaving, when the leaf was removed, or when another live
// host has been preferred for handBackDelay.
func (h *Holder) updateReleasing(l *lease, wanted, held bool, now time.Time) {
	if held {
		l.claimedAt = time.Time{}
	}
	if wanted || !held {
		l.unpreferredSince = time.Time{}
		l.releasing = l.releasing && held && !wanted
		return
	}
	if l.unpreferredSince.IsZero() {
		l.unpreferredSince = now
	}
	if h.leaving || l.removed || now.Sub(l.unpreferredSince) >= handBackDelay {
		l.releasing = true
	}
}

// preferred returns the first host in rendezvous order that is this host, or neither dead nor leaving.
func (h *Holder) preferred(l *lease, now time.Time, dead func(string) bool) string {
	for _, host := range l.order {
		if host == h.self {
			return host
		}
		if until, ok := h.leavingUntil[host]; ok && now.Before(until) {
			continue
		}
		if !dead(host) {
			return host
		}
	}
	return ""
}

func (h *Holder) names() []string {
	out := make([]string, 0, len(h.leaves))
	for name := range h.leaves {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// send batches claims and releases of several leaves into one request per host. Responses to requests sent before a
// release are ignored for its leaf, because the granter may already have granted the leaf to another host.
func (h *Holder) send(to []string, releases []string, claims []Claim, now time.Time) []Message {
	if len(claims)+len(releases) == 0 {
		return nil
	}
	h.sequence++
	for _, name := range releases {
		if l, ok := h.leaves[name]; ok {
			l.releaseSequence = h.sequence
			l.dropVotes()
		}
	}
	out := make([]Message, 0, len(to))
	for _, host := range to {
		out = append(out, Message{To: host, Sent: now, Request: Request{
			Host: h.self, Incarnation: h.incarnation, Sequence: h.sequence, Group: h.group,
			Claims: claims, Releases: releases, Leaving: h.leaving,
		}})
	}
	return out
}

// Receive handles the response to a message.
func (h *Holder) Receive(m Message, r Response, now time.Time) {
	if m.Request.Group != h.group {
		return
	}
	for _, c := range r.Granted {
		l, ok := h.leaves[c.Leaf]
		if !ok || m.Request.Sequence <= l.releaseSequence {
			continue
		}
		until := m.Sent.Add(Term - Margin)
		if old, ok := l.grants[m.To]; !ok || until.After(old.until) {
			l.grants[m.To] = vote{epoch: c.Epoch, until: until}
		}
		h.lease(l, now)
	}
	for _, d := range r.Denied {
		if l, ok := h.leaves[d.Leaf]; ok && d.Holder != "" {
			l.owner = d.Holder
		}
	}
}

// lease computes the lease from the votes. A lease is acquired with the greatest epoch that any granter has returned,
// once a majority has stored it. Any later majority shares a granter with this one, and that granter then returns a
// greater epoch. The epoch does not change while the lease is valid, and only votes with at least this epoch count.
func (h *Holder) lease(l *lease, now time.Time) (Lease, bool) {
	quorum := len(h.cell.Granters)/2 + 1
	epoch := l.epoch
	if !now.Before(l.until) {
		epoch, _ = l.maxEpoch(now)
	}
	var ends []time.Time
	for _, v := range l.grants {
		if now.Before(v.until) && v.epoch >= epoch {
			ends = append(ends, v.until)
		}
	}
	if len(h.cell.Granters) == 0 || len(ends) < quorum {
		return Lease{}, false
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	if !now.Before(l.until) {
		l.since = now
	}
	l.epoch = epoch
	l.until = ends[quorum-1]
	return Lease{Epoch: epoch, Until: l.until, Since: l.since, Releasing: l.releasing || h.leaving}, true
}

// maxEpoch returns the greatest epoch among the votes that are valid at now, and the number of these votes.
func (l *lease) maxEpoch(now time.Time) (epoch uint64, votes int) {
	for _, v := range l.grants {
		if now.Before(v.until) {
			epoch = max(epoch, v.epoch)
			votes++
		}
	}
	return epoch, votes
}

// Lease returns the lease that this host holds on a leaf.
func (h *Holder) Lease(leaf string, now time.Time) (Lease, bool) {
	l, ok := h.leaves[leaf]
	if !ok {
		return Lease{}, false
	}
	return h.lease(l, now)
}

// Held returns all leases held at now, by leaf.
func (h *Holder) Held(now time.Time) map[string]Lease {
	out := make(map[string]Lease)
	for name, l := range h.leaves {
		if current, ok := h.lease(l, now); ok {
			out[name] = current
		}
	}
	return out
}

// Owner returns the holder of a leaf according to the last denial.
func (h *Holder) Owner(leaf string) (string, bool) {
	l, ok := h.leaves[leaf]
	if !ok || l.owner == "" {
		return "", false
	}
	return l.owner, true
}

// Leave marks all leaves as being released. The caller then passes each one to Release once its calls have completed.
func (h *Holder) Leave() {
	h.leaving = true
	for _, l := range h.leaves {
		l.releasing = true
	}
}

// Release releases leaves. It returns messages to all hosts of the cell, so that the next preferred host claims the
// leaves immediately.
func (h *Holder) Release(leaves []string, now time.Time) []Message {
	to := slices.Clone(h.cell.Granters)
	for _, host := range h.cell.Hosts {
		if !slices.Contains(to, host) {
			to = append(to, host)
		}
	}
	for _, name := range leaves {
		if l, ok := h.leaves[name]; ok {
			l.releasing = false
			l.claimedAt = time.Time{}
			l.retryAt = now.Add(Renew)
		}
	}
	return h.send(to, leaves, nil, now)
}

// Released handles the release of leaves by another host.
func (h *Holder) Released(r Request, now time.Time) {
	if r.Leaving {
		h.leavingUntil[r.Host] = now.Add(leavingTimeout)
	}
	for _, name := range r.Releases {
		if l, ok := h.leaves[name]; ok {
			l.retryAt = now
			l.owner = ""
		}
	}
}

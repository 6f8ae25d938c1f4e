package leaser

import (
	"math/rand/v2"
	"slices"
	"time"

	"lycheelift.example/lib/ranker"
)

const (
	// claimTimeout is the time after which a claim without a majority is given up, so that two hosts that each have
	// one of two votes do not block each other for a whole term.
	claimTimeout = 300 * time.Millisecond
	// retryLeast and retrySpread bound the random time between two claims.
	retryLeast  = 100 * time.Millisecond
	retrySpread = 400 * time.Millisecond
	// lead is added to the clock in a new claim's epoch, so that granters whose clocks are a little ahead store the
	// epoch as it is and one round is enough.
	lead = 100 * time.Millisecond
	// settle is how long the preferred host must be alive before a leaf is handed back to it, so that a host that
	// restarts repeatedly does not move its leaves each time.
	settle = 5 * time.Second
	// absence is how long a host that said it was leaving is passed over. It stops soon after, and from then on
	// counts as dead until it is back.
	absence = 10 * time.Second
)

// Lease is what a holder may rely on.
type Lease struct {
	Epoch uint64
	// Until is the end, by the holder's clock, margin already taken off.
	Until time.Time
	// Since is when the lease was won; renewals do not change it.
	Since time.Time
	// Yielding says that calls in flight may end but no new call may start.
	Yielding bool
}

// Message is a request to one host. Sent is the time from which a grant in its response counts.
type Message struct {
	To      string
	Sent    time.Time
	Request Request
}

// Holder decides which leaves of its cell this host claims, and whether it holds them. It is not safe for concurrent use.
type Holder struct {
	self        string
	incarnation uint64
	sequence    uint64
	cell        ranker.Cell
	group       uint64
	leaves      map[string]*lease
	away        map[string]time.Time
	random      *rand.Rand
	renewed     time.Time
	leaving     bool
}

type lease struct {
	order  []string
	grants map[string]vote
	// released is the sequence of the last release; responses to earlier requests no longer count.
	released uint64
	// claimed is when the present attempt began; zero when there is none.
	claimed time.Time
	retry   time.Time
	// unwanted is since when another live host has been preferred.
	unwanted time.Time
	since    time.Time
	// epoch and until are those of the last lease; the lease lasts while until has not passed.
	epoch uint64
	until time.Time
	// raised says that the granters were asked again to store one common epoch.
	raised   bool
	yielding bool
	gone     bool
	owner    string
}

type vote struct {
	epoch uint64
	until time.Time
}

// NewHolder returns the holder side of a host. The seed spreads the claims of different hosts.
func NewHolder(self string, incarnation, seed uint64) *Holder {
	return &Holder{
		self: self, incarnation: incarnation, leaves: make(map[string]*lease), away: make(map[string]time.Time),
		random: rand.New(rand.NewPCG(seed, incarnation)), //nolint:gosec // Spreading retries needs no secure randomness.
	}
}

// Configure sets the host's cell and the leaves that belong to it. When the granters change, the votes of the former
// granters do not count any more.
func (h *Holder) Configure(cell ranker.Cell, leaves []string) {
	if group := Group(cell); group != h.group {
		h.group = group
		for _, l := range h.leaves {
			l.forget()
			l.claimed = time.Time{}
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
		l.gone = false
	}
	for name, l := range h.leaves {
		if !present[name] {
			l.gone = true
		}
	}
}

// forget drops every vote; the lease has ended.
func (l *lease) forget() {
	l.grants = make(map[string]vote)
	l.until = time.Time{}
}

// Tick returns the requests to send at now. Dead says which hosts are held dead.
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
		wanted := !h.leaving && !l.gone && h.preferred(l, now, dead) == h.self
		h.decide(l, wanted, held, now)
		switch {
		case held:
			if renew {
				claims = append(claims, Claim{Leaf: name, Epoch: current.Epoch})
			}
		case !l.claimed.IsZero() && !l.raised && h.splits(l, now):
			l.raised = true
			l.claimed = now
			epoch, _ := l.greatest(now)
			claims = append(claims, Claim{Leaf: name, Epoch: epoch})
		case !l.claimed.IsZero() && now.Sub(l.claimed) >= claimTimeout:
			l.claimed = time.Time{}
			l.retry = now.Add(retryLeast + time.Duration(h.random.Int64N(int64(retrySpread))))
			releases = append(releases, name)
		case wanted && l.claimed.IsZero() && !now.Before(l.retry):
			l.claimed = now
			l.raised = false
			claims = append(claims, Claim{Leaf: name, Epoch: wall(now.Add(lead))})
		case l.gone && l.claimed.IsZero():
			delete(h.leaves, name)
		}
	}
	out := h.send(h.cell.Granters, releases, nil, now)
	return append(out, h.send(h.cell.Granters, nil, claims, now)...)
}

// splits reports whether a majority has granted a leaf, but with different epochs.
func (h *Holder) splits(l *lease, now time.Time) bool {
	_, votes := l.greatest(now)
	return votes > len(h.cell.Granters)/2
}

// decide hands a leaf back after another live host has been preferred for a while.
func (h *Holder) decide(l *lease, wanted, held bool, now time.Time) {
	if held {
		l.claimed = time.Time{}
	}
	if wanted || !held {
		l.unwanted = time.Time{}
		l.yielding = l.yielding && held && !wanted
		return
	}
	if l.unwanted.IsZero() {
		l.unwanted = now
	}
	if h.leaving || l.gone || now.Sub(l.unwanted) >= settle {
		l.yielding = true
	}
}

// preferred returns the first host in rendezvous order that is neither dead nor leaving.
func (h *Holder) preferred(l *lease, now time.Time, dead func(string) bool) string {
	for _, host := range l.order {
		if host == h.self {
			return host
		}
		if until, ok := h.away[host]; ok && now.Before(until) {
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

// send batches claims and releases of several leaves in one request per host. A release counts from its own sequence:
// responses to earlier requests are ignored, because the granter may already have granted the leaf to another host.
func (h *Holder) send(to []string, releases []string, claims []Claim, now time.Time) []Message {
	if len(claims)+len(releases) == 0 {
		return nil
	}
	h.sequence++
	for _, name := range releases {
		if l, ok := h.leaves[name]; ok {
			l.released = h.sequence
			l.forget()
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

// Receive takes the response to a message.
func (h *Holder) Receive(m Message, r Response, now time.Time) {
	if m.Request.Group != h.group {
		return
	}
	for _, c := range r.Granted {
		l, ok := h.leaves[c.Leaf]
		if !ok || m.Request.Sequence <= l.released {
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

// lease computes the lease from the votes. A lease is won with the greatest epoch that any granter has answered, once
// a majority has stored it: a later majority shares a granter with this one, which then answers a greater epoch.
// While a lease lasts its epoch stays, and votes count that have stored at least this epoch.
func (h *Holder) lease(l *lease, now time.Time) (Lease, bool) {
	quorum := len(h.cell.Granters)/2 + 1
	epoch := l.epoch
	if !now.Before(l.until) {
		epoch, _ = l.greatest(now)
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
	return Lease{Epoch: epoch, Until: l.until, Since: l.since, Yielding: l.yielding || h.leaving}, true
}

// greatest returns the greatest epoch among the votes that hold at now, and their number.
func (l *lease) greatest(now time.Time) (epoch uint64, votes int) {
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

// Held returns every lease held at now.
func (h *Holder) Held(now time.Time) map[string]Lease {
	out := make(map[string]Lease)
	for name, l := range h.leaves {
		if current, ok := h.lease(l, now); ok {
			out[name] = current
		}
	}
	return out
}

// Owner returns the host that a granter last named as the holder of a leaf.
func (h *Holder) Owner(leaf string) (string, bool) {
	l, ok := h.leaves[leaf]
	if !ok || l.owner == "" {
		return "", false
	}
	return l.owner, true
}

// Leave makes the host yield every leaf; Release gives each up once its calls have ended.
func (h *Holder) Leave() {
	h.leaving = true
	for _, l := range h.leaves {
		l.yielding = true
	}
}

// Release gives leaves up. Every host of the cell is told, so that the next one in order claims at once.
func (h *Holder) Release(leaves []string, now time.Time) []Message {
	to := slices.Clone(h.cell.Granters)
	for _, host := range h.cell.Hosts {
		if !slices.Contains(to, host) {
			to = append(to, host)
		}
	}
	for _, name := range leaves {
		if l, ok := h.leaves[name]; ok {
			l.yielding = false
			l.claimed = time.Time{}
			l.retry = now.Add(Renew)
		}
	}
	return h.send(to, leaves, nil, now)
}

// Released notes that another host has given leaves up.
func (h *Holder) Released(r Request, now time.Time) {
	if r.Leaving {
		h.away[r.Host] = now.Add(absence)
	}
	for _, name := range r.Releases {
		if l, ok := h.leaves[name]; ok {
			l.retry = now
			l.owner = ""
		}
	}
}

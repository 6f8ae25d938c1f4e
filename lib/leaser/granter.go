package leaser

import "time"

// Granter votes on the leases of the cells for which it is configured. Its table is not persisted: after a start it
// grants nothing for one term, so that all leases that it granted before have ended. It is not safe for concurrent use.
type Granter struct {
	started time.Time
	// groups holds the time at which each group of granters was configured.
	groups map[uint64]time.Time
	table  map[string]*grant
	// baseEpoch is an upper bound of the epochs of all entries that were removed from the table.
	baseEpoch uint64
}

type grant struct {
	host        string
	incarnation uint64
	sequence    uint64
	epoch       uint64
	until       time.Time
}

// NewGranter returns a granter that started at now. Epochs start at the wall clock in microseconds, so that they
// increase across a restart as long as the hosts' wall clocks agree within one term.
func NewGranter(now time.Time) *Granter {
	return &Granter{
		started: now, groups: make(map[uint64]time.Time), table: make(map[string]*grant), baseEpoch: wallMicros(now),
	}
}

func wallMicros(now time.Time) uint64 {
	return uint64(max(now.UnixMicro(), 0))
}

// Configure sets the groups in which this host grants leases. In a new group it grants leases only after one term, when
// the leases that the previous granters granted have ended.
func (g *Granter) Configure(groups []uint64, now time.Time) {
	next := make(map[uint64]time.Time, len(groups))
	for _, group := range groups {
		since, ok := g.groups[group]
		if !ok {
			since = now
		}
		next[group] = since
	}
	g.groups = next
}

// Handle returns the response to a request that was received at now.
func (g *Granter) Handle(r Request, now time.Time) Response {
	for _, leaf := range r.Releases {
		g.release(r, leaf, now)
	}
	since, ok := g.groups[r.Group]
	if !ok {
		return Response{GroupMismatch: len(r.Claims) > 0}
	}
	out := Response{}
	for _, c := range r.Claims {
		if now.Sub(g.started) < Term || now.Sub(since) < Term {
			out.Denied = append(out.Denied, Denial{Leaf: c.Leaf})
			continue
		}
		g.claim(r, c, now, &out)
	}
	g.prune(now)
	return out
}

func (g *Granter) claim(r Request, c Claim, now time.Time, out *Response) {
	entry, ok := g.table[c.Leaf]
	held := ok && now.Before(entry.until)
	same := ok && entry.host == r.Host && entry.incarnation == r.Incarnation
	if held && !same {
		out.Denied = append(out.Denied, Denial{Leaf: c.Leaf, Holder: entry.host})
		return
	}
	if same && !held && r.Sequence <= entry.sequence {
		// The holder released the leaf after it sent this claim.
		out.Denied = append(out.Denied, Denial{Leaf: c.Leaf})
		return
	}
	// A delayed claim may have a lower epoch than a lease that has ended since. The epoch of a new grant is therefore
	// at least this granter's own clock, which a restart does not set back.
	epoch := max(c.Epoch, g.baseEpoch+1, wallMicros(now))
	switch {
	case held:
		epoch = max(c.Epoch, entry.epoch)
	case ok:
		epoch = max(epoch, entry.epoch+1)
	}
	sequence, until := r.Sequence, now.Add(Term)
	if held {
		sequence = max(sequence, entry.sequence)
		until = laterOf(until, entry.until)
	}
	g.table[c.Leaf] = &grant{host: r.Host, incarnation: r.Incarnation, sequence: sequence, epoch: epoch, until: until}
	out.Granted = append(out.Granted, Claim{Leaf: c.Leaf, Epoch: epoch})
}

// release ends a grant, unless a later request from the same holder has renewed it.
func (g *Granter) release(r Request, leaf string, now time.Time) {
	entry, ok := g.table[leaf]
	if ok && entry.host == r.Host && entry.incarnation == r.Incarnation && r.Sequence > entry.sequence {
		entry.until = now
		entry.sequence = r.Sequence
	}
}

// epochRetention is the minimum time for which the epoch of an ended lease is kept.
const epochRetention = 10 * time.Minute

// pruneThreshold is the number of entries above which ended leases are removed.
const pruneThreshold = 4096

func (g *Granter) prune(now time.Time) {
	if len(g.table) <= pruneThreshold {
		return
	}
	for leaf, entry := range g.table {
		if now.Sub(entry.until) > epochRetention {
			g.baseEpoch = max(g.baseEpoch, entry.epoch)
			delete(g.table, leaf)
		}
	}
}

// Holder returns the host to which this granter has granted the lease on a leaf.
func (g *Granter) Holder(leaf string, now time.Time) (string, bool) {
	entry, ok := g.table[leaf]
	if !ok || !now.Before(entry.until) {
		return "", false
	}
	return entry.host, true
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

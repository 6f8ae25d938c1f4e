package follower

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Decoder decodes and validates a configuration document.
type Decoder func(body []byte) (*router.Document, error)

// Follower builds views from the messages of control hosts. Messages may come from different control hosts, some of which
// lag behind: an older message never undoes a newer one. It is safe for concurrent use.
type Follower struct {
	decode Decoder
	// onLosses receives the reported requests that are suspected of crashing the leaves that run them.
	onLosses func(losses []*peerv1.Loss, now time.Time)
	// onRollouts is told of the rollouts in force after each change, once the view has them.
	onRollouts func(rollouts map[string]*statev1.Rollout, now time.Time)

	mu sync.Mutex
	// table is that of the view. It is nil before the first configuration.
	table      *router.Table
	roster     *enroller.Roster
	departures *enroller.Departures
	// index is the highest log index seen in a message.
	index uint64
	view  atomic.Pointer[View]
}

// Option configures a follower.
type Option func(*Follower)

// WithLossHandler sets the function that receives the reported requests that are suspected of crashing the leaves that run
// them.
func WithLossHandler(onLosses func(losses []*peerv1.Loss, now time.Time)) Option {
	return func(f *Follower) { f.onLosses = onLosses }
}

// WithRolloutHandler sets the function that is told of the rollouts in force after each change.
func WithRolloutHandler(onRollouts func(rollouts map[string]*statev1.Rollout, now time.Time)) Option {
	return func(f *Follower) { f.onRollouts = onRollouts }
}

// New returns a follower with an empty view.
func New(decode Decoder, now time.Time, options ...Option) *Follower {
	f := &Follower{
		decode: decode, departures: enroller.NewDepartures(),
		onLosses: func([]*peerv1.Loss, time.Time) {}, onRollouts: func(map[string]*statev1.Rollout, time.Time) {},
	}
	f.roster = enroller.New(enroller.WithServices(func(service string) bool { return f.table == nil || f.table.Names(service) }))
	for _, o := range options {
		o(f)
	}
	f.view.Store(&View{Entries: 1, LastLeaderContact: now})
	return f
}

// View returns the current view.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Apply applies a message of a control host.
func (f *Follower) Apply(m *peerv1.FollowResponse, now time.Time) {
	f.onLosses(m.GetLosses(), now)
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view.Load()
	changed := f.applyIndexed(&next, m, now)
	if d := m.GetDocument(); d.GetVersion() > next.Version() {
		f.applyDocument(&next, d.GetBody(), now)
		f.table = next.Table
		changed = f.roster.Settle() || changed
	}
	changed = f.applyLeaves(m.GetLeaves(), now) || changed
	if m.GetEntries() > 0 {
		next.Entries = int(m.GetEntries())
	}
	if h := m.GetHosts(); h != nil {
		next.Helpers = helpers(h.GetHosts())
	}
	next.setIsolated(m.GetAlone(), now)
	if m.GetSettled() {
		next.LastLeaderContact = now
	}
	rolled := applyRollouts(&next, m.GetRollouts().GetRollouts(), now)
	if changed || rolled {
		next.Holders, next.Trials = holders(f.roster.Since(0, false).Leaves, next.Evacuated, next.Rollouts)
	}
	f.view.Store(&next)
	if rolled {
		f.onRollouts(next.Rollouts, now)
	}
}

// applyIndexed applies the part of a message that holds as of its index. It reports whether the evacuated data centres have
// changed.
func (f *Follower) applyIndexed(next *View, m *peerv1.FollowResponse, now time.Time) bool {
	if m.GetIndex() < f.index {
		if e := m.GetEvacuated(); e != nil && !sameCenters(next.Evacuated, e.GetCenters()) {
			eventer.EvacuationIgnored.Log(now, "centers", e.GetCenters(), "index", m.GetIndex(), "inuse", slices.Sorted(maps.Keys(next.Evacuated)), "seen", f.index)
		}
		return false
	}
	f.index, next.Index = m.GetIndex(), m.GetIndex()
	e := m.GetEvacuated()
	return e != nil && f.applyEvacuations(next, e.GetCenters(), now)
}

// sameCenters reports whether a list has the same data centres as a set. The list has no duplicates.
func sameCenters(set map[string]bool, centers []string) bool {
	return len(centers) == len(set) && !slices.ContainsFunc(centers, func(c string) bool { return !set[c] })
}

// applyRollouts adds the rollouts that are newer than the known ones, and reports whether there were any.
func applyRollouts(next *View, rollouts []*statev1.Rollout, now time.Time) bool {
	changed := false
	for _, r := range rollouts {
		old := next.Rollouts[r.GetService()]
		if old != nil && old.GetRevision() >= r.GetRevision() {
			continue
		}
		if !changed {
			changed, next.Rollouts = true, maps.Clone(next.Rollouts)
			if next.Rollouts == nil {
				next.Rollouts = make(map[string]*statev1.Rollout, len(rollouts))
			}
		}
		next.Rollouts[r.GetService()] = r
		if r.GetOrder() > 0 {
			eventer.RolloutInUse.Log(now, "service", r.GetService(), "target", r.GetTarget(), "state", r.GetState().String(),
				"share", r.GetShare(), "revision", r.GetRevision())
		}
	}
	return changed
}

// SetIsolated records whether the connected control host is isolated from all others.
func (f *Follower) SetIsolated(isolated bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view.Load()
	next.setIsolated(isolated, now)
	f.view.Store(&next)
}

// applyDocument activates a document if it is valid and newer than the active one.
func (f *Follower) applyDocument(next *View, body []byte, now time.Time) {
	document, err := f.decode(body)
	if err != nil {
		eventer.VersionRejected.Log(now, "inforce", next.Version(), "error", err.Error())
		return
	}
	if document.Version <= next.Version() {
		return
	}
	eventer.VersionActivated.Log(now, "version", document.Version, "before", next.Version(), "routes", len(document.Routes), "index", next.Index)
	table := router.NewTable(document)
	if added, removed := table.KeyChanges(next.Table); added+removed > 0 {
		eventer.KeysChanged.Log(now, "version", document.Version, "added", added, "removed", removed, "tenants", len(document.Tenants), "keys", table.KeyCount())
	}
	next.Table = table
}

// applyEvacuations sets the evacuated data centres and reports whether they have changed.
func (f *Follower) applyEvacuations(next *View, centers []string, now time.Time) bool {
	if sameCenters(next.Evacuated, centers) {
		return false
	}
	out := make(map[string]bool, len(centers))
	for _, c := range centers {
		out[c] = true
	}
	eventer.EvacuationInUse.Log(now, "centers", centers, "index", next.Index)
	next.Evacuated = out
	return true
}

// applyLeaves applies records of leaves and reports whether any leaf has changed.
func (f *Follower) applyLeaves(records []*peerv1.RosterLeaf, now time.Time) bool {
	n := &leafObserver{departures: f.departures}
	f.roster.Receive(records, n, now)
	return n.changed
}

// leafObserver logs changes of leaves and records whether there were any.
type leafObserver struct {
	departures *enroller.Departures
	changed    bool
}

// IsDeparted reports whether the departure of an incarnation is known.
func (n *leafObserver) IsDeparted(name string, born uint64) bool {
	return n.departures.Departed(name, born)
}

// OnDeparture records the departure of an incarnation.
func (n *leafObserver) OnDeparture(name string, born uint64, now time.Time) {
	n.departures.Apply(name, born, now)
	eventer.LeafLeaving.Log(now, "leaf", name, "born", born)
	n.changed = true
}

// OnChange records a new or changed incarnation.
func (n *leafObserver) OnChange(l *enroller.Leaf, now time.Time) {
	eventer.LeafUpdated.Log(now, "leaf", l.Name, "service", l.Service, "address", l.Address.String(), "center", l.Center, "cold", l.ColdUntil.Sub(now))
	n.changed = true
}

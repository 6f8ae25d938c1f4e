package follower

import (
	"sync"
	"sync/atomic"
	"time"

	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Decoder reads a configuration document and checks it.
type Decoder func(body []byte) (*router.Document, error)

// Follower takes messages of control hosts and makes views of them. Messages may come from different control hosts,
// of which some lag behind: nothing that a newer message said is taken back. It is safe for concurrent use.
type Follower struct {
	decode Decoder
	// suspects takes what control hosts say of requests that may end the leaves that run them.
	suspects func(losses []*peerv1.Loss, now time.Time)

	mu         sync.Mutex
	roster     *enroller.Roster
	departures *enroller.Departures
	// index is the newest record of the log of which a message told.
	index uint64
	view  atomic.Pointer[View]
}

// Option changes a follower.
type Option func(*Follower)

// WithSuspects sets what takes the control hosts' word on requests that may end the leaves that run them.
func WithSuspects(take func(losses []*peerv1.Loss, now time.Time)) Option {
	return func(f *Follower) { f.suspects = take }
}

// New returns a follower that knows nothing.
func New(decode Decoder, now time.Time, options ...Option) *Follower {
	f := &Follower{
		decode: decode, roster: enroller.New(), departures: enroller.NewDepartures(),
		suspects: func([]*peerv1.Loss, time.Time) {},
	}
	for _, o := range options {
		o(f)
	}
	f.view.Store(&View{Entries: 1, Settled: now})
	return f
}

// View returns what is known now.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Take takes a message of a control host.
func (f *Follower) Take(m *peerv1.FollowResponse, now time.Time) {
	f.suspects(m.GetLosses(), now)
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view.Load()
	changed := f.leaves(m.GetLeaves(), now)
	if m.GetIndex() >= f.index {
		f.index = m.GetIndex()
		next.Index = m.GetIndex()
		if e := m.GetEvacuated(); e != nil {
			changed = f.evacuate(&next, e.GetCenters(), now) || changed
		}
	}
	if d := m.GetDocument(); d.GetVersion() > next.Version() {
		f.apply(&next, d.GetBody(), now)
	}
	if m.GetEntries() > 0 {
		next.Entries = int(m.GetEntries())
	}
	if h := m.GetHosts(); h != nil {
		next.Helpers = helpers(h.GetHosts())
	}
	next.lonely(m.GetAlone(), now)
	if m.GetSettled() {
		next.Settled = now
	}
	if changed {
		next.Holders = holders(f.roster.Since(0, false).Leaves, next.Evacuated)
	}
	f.view.Store(&next)
}

// Lonely notes whether a control host that is heard hears any of the others.
func (f *Follower) Lonely(alone bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view.Load()
	next.lonely(alone, now)
	f.view.Store(&next)
}

// apply puts a document into force.
func (f *Follower) apply(next *View, body []byte, now time.Time) {
	document, err := f.decode(body)
	if err != nil {
		eventer.VersionRejected.Log(now, "inforce", next.Version(), "error", err.Error())
		return
	}
	if document.Version <= next.Version() {
		return
	}
	eventer.VersionInUse.Log(now, "version", document.Version, "before", next.Version(), "routes", len(document.Routes), "index", next.Index)
	next.Table = router.NewTable(document)
}

func (f *Follower) evacuate(next *View, centers []string, now time.Time) bool {
	same := len(centers) == len(next.Evacuated)
	out := make(map[string]bool, len(centers))
	for _, c := range centers {
		out[c] = true
		same = same && next.Evacuated[c]
	}
	if same {
		return false
	}
	eventer.EvacuationInUse.Log(now, "centers", centers, "index", next.Index)
	next.Evacuated = out
	return true
}

// leaves takes records of leaves and reports whether any says something new.
func (f *Follower) leaves(records []*peerv1.RosterLeaf, now time.Time) bool {
	n := &news{departures: f.departures}
	f.roster.Take(records, n, now)
	return n.changed
}

// news logs what records of leaves say, and notes whether it is new.
type news struct {
	departures *enroller.Departures
	changed    bool
}

// Departed reports whether an incarnation is known to have left.
func (n *news) Departed(name string, born uint64) bool {
	return n.departures.Departed(name, born)
}

// Left notes that an incarnation leaves.
func (n *news) Left(name string, born uint64, now time.Time) {
	n.departures.Apply(name, born, now)
	eventer.LeafLeaving.Log(now, "leaf", name, "born", born)
	n.changed = true
}

// Known notes an incarnation that is new or has changed.
func (n *news) Known(l *enroller.Leaf, now time.Time) {
	eventer.LeafKnown.Log(now, "leaf", l.Name, "service", l.Service, "address", l.Address.String(), "center", l.Center, "cold", l.ColdUntil.Sub(now))
	n.changed = true
}

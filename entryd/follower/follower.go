// Package follower keeps the configuration version that is in force on an entry host.
package follower

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/configurator"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// View is one version in force and what follows from it.
type View struct {
	Number   uint64
	Since    time.Time
	Document *configurator.Document
	Cells    []ranker.Cell
	// Version is the record as control made it.
	Version *statev1.Version
	// Removal is the local removal that this host knows of, or nil.
	Removal *peerv1.Removal
}

// Out reports whether a data centre receives no new work: by the configuration or by a local removal.
func (v *View) Out(center string) bool {
	return v.Document.Out(center) || (v.Removal.GetRemoved() && v.Removal.GetCenter() == center)
}

// Cell returns the cell of a host.
func (v *View) Cell(host string) (ranker.Cell, bool) {
	for _, c := range v.Cells {
		if slices.Contains(c.Hosts, host) {
			return c, true
		}
	}
	return ranker.Cell{}, false
}

// Follower holds the newest version known to the host. It is safe for concurrent use.
type Follower struct {
	host   string
	center string
	clock  func() time.Time
	dial   Dialer
	live   func(host string) bool

	apply   sync.Mutex
	view    atomic.Pointer[View]
	heard   atomic.Int64
	syncing atomic.Bool

	mu      sync.Mutex
	reports map[string]*statev1.InForce
	changed []func(*View)
}

// Option changes a follower.
type Option func(*Follower)

// WithHost names the host and its data centre.
func WithHost(host, center string) Option {
	return func(f *Follower) { f.host, f.center = host, center }
}

// WithClock sets the clock of background work.
func WithClock(clock func() time.Time) Option {
	return func(f *Follower) { f.clock = clock }
}

// New returns a follower at version zero, with an empty document.
func New(now time.Time, options ...Option) *Follower {
	f := &Follower{
		clock: time.Now, reports: make(map[string]*statev1.InForce),
		live: func(string) bool { return true },
	}
	for _, o := range options {
		o(f)
	}
	f.view.Store(&View{Document: &configurator.Document{}, Since: now})
	f.heard.Store(now.UnixNano())
	return f
}

// Connect sets how other hosts are reached and which are live. Call it before the host serves.
func (f *Follower) Connect(dial Dialer, live func(host string) bool) {
	f.dial = dial
	f.live = live
}

// OnChange calls fn after each new version or change of the local removal.
func (f *Follower) OnChange(fn func(*View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed = append(f.changed, fn)
}

// View returns the version in force.
func (f *Follower) View() *View {
	return f.view.Load()
}

// ErrGap is the error of a difference that does not follow the version in force.
var ErrGap = oops.In("follower").Errorf("the difference does not follow the version in force")

// Apply puts a version in force if it is newer than the present one. It reports whether it did. A version without
// a document is a difference from the version before; it gives ErrGap when this host does not have that one.
func (f *Follower) Apply(v *statev1.Version, now time.Time) (bool, error) {
	f.apply.Lock()
	defer f.apply.Unlock()
	old := f.View()
	if v.GetNumber() <= old.Number {
		return false, nil
	}
	v, err := whole(old, v)
	if err != nil {
		return false, err
	}
	document, err := configurator.Parse(v.GetDocument())
	if err != nil {
		return false, err
	}
	next := &View{
		Number: v.GetNumber(), Since: now, Document: document,
		Cells: ranker.Cells(document.Placement()), Version: v, Removal: lift(old, document),
	}
	if old.Removal.GetRemoved() && !next.Removal.GetRemoved() {
		eventer.RemovalLifted.Log(now, "center", f.center, "version", v.GetNumber())
	}
	f.store(next)
	eventer.VersionInUse.Log(now, "version", v.GetNumber())
	return true, nil
}

// store puts a view in force; the caller holds the apply lock.
func (f *Follower) store(v *View) {
	f.view.Store(v)
	f.mu.Lock()
	changed := slices.Clone(f.changed)
	f.mu.Unlock()
	for _, fn := range changed {
		fn(v)
	}
}

// Heard notes that control was reached at a time, by this host or by one whose version this host has.
func (f *Follower) Heard(at time.Time) {
	for {
		old := f.heard.Load()
		if at.UnixNano() <= old || f.heard.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// Age returns the time since control was last reached.
func (f *Follower) Age(now time.Time) time.Duration {
	return max(0, now.Sub(time.Unix(0, f.heard.Load())))
}

// Peer takes what another host of the cell says about itself: its version and since when control was not reached.
// The age counts only when this host has that version, because an age belongs to a version.
func (f *Follower) Peer(host string, version uint64, age time.Duration, now time.Time) {
	f.mu.Lock()
	if r, ok := f.reports[host]; !ok || r.GetVersion() != version {
		f.reports[host] = &statev1.InForce{Host: host, Version: version, Since: timestamppb.New(now)}
	}
	f.mu.Unlock()
	if number := f.View().Number; version > 0 && version <= number {
		f.Heard(now.Add(-age))
	}
	f.Noticed(host, version)
}

// Reports returns the versions in force on this host and, as far as known, on the live hosts of its cell.
func (f *Follower) Reports() []*statev1.InForce {
	view := f.View()
	out := []*statev1.InForce{f.Report()}
	cell, _ := view.Cell(f.host)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range cell.Hosts {
		if r, ok := f.reports[host]; ok && f.live(host) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *statev1.InForce) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return out
}

// Report returns the version in force on this host.
func (f *Follower) Report() *statev1.InForce {
	view := f.View()
	return &statev1.InForce{Host: f.host, Version: view.Number, Since: timestamppb.New(view.Since)}
}

// Noticed is told of the version that a call, a reply or a probe of another host carried. A higher one is fetched
// from that host at once, by one request at a time.
func (f *Follower) Noticed(host string, version uint64) {
	if version <= f.View().Number || f.dial == nil || !f.syncing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.syncing.Store(false)
		conn, err := f.dial.Dial(host)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		f.sync(ctx, peerv1.NewPeerServiceClient(conn))
	}()
}

// Package follower keeps an entry host's configuration up to date with the control hosts.
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

// View is the configuration version in force on this host and the state derived from it.
type View struct {
	Number   uint64
	Since    time.Time
	Document *configurator.Document
	Cells    []ranker.Cell
	// Version is the version record as control issued it.
	Version *statev1.Version
	// Removal is the latest local removal of the data centre that this host knows of, or nil.
	Removal *peerv1.Removal
}

// Excluded reports whether a data centre is excluded from new work, by the configuration or by a local removal.
func (v *View) Excluded(center string) bool {
	return v.Document.OutOfService(center) || (v.Removal.GetRemoved() && v.Removal.GetCenter() == center)
}

// Cell returns the cell that a host belongs to.
func (v *View) Cell(host string) (ranker.Cell, bool) {
	for _, c := range v.Cells {
		if slices.Contains(c.Hosts, host) {
			return c, true
		}
	}
	return ranker.Cell{}, false
}

// Follower holds the newest configuration version known to the host. It is safe for concurrent use.
type Follower struct {
	host   string
	center string
	clock  func() time.Time
	dial   Dialer
	isLive func(host string) bool

	applyMu     sync.Mutex
	view        atomic.Pointer[View]
	lastContact atomic.Int64
	syncing     atomic.Bool

	mu        sync.Mutex
	reports   map[string]*statev1.InForce
	listeners []func(*View)
}

// Option configures a follower.
type Option func(*Follower)

// WithHost sets the name of this host and its data centre.
func WithHost(host, center string) Option {
	return func(f *Follower) { f.host, f.center = host, center }
}

// WithClock sets the clock that background work uses.
func WithClock(clock func() time.Time) Option {
	return func(f *Follower) { f.clock = clock }
}

// New returns a follower at version zero, with an empty document.
func New(now time.Time, options ...Option) *Follower {
	f := &Follower{
		clock: time.Now, reports: make(map[string]*statev1.InForce),
		isLive: func(string) bool { return true },
	}
	for _, o := range options {
		o(f)
	}
	f.view.Store(&View{Document: &configurator.Document{}, Since: now})
	f.lastContact.Store(now.UnixNano())
	return f
}

// Connect sets the dialer for other hosts and the function that reports which hosts are live. Call it before the host
// serves.
func (f *Follower) Connect(dial Dialer, live func(host string) bool) {
	f.dial = dial
	f.isLive = live
}

// OnChange registers fn to be called after each new version and each change of the local removal.
func (f *Follower) OnChange(fn func(*View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, fn)
}

// View returns the current view.
func (f *Follower) View() *View {
	return f.view.Load()
}

// ErrGap is returned for a version that is a difference but does not directly follow the version in force.
var ErrGap = oops.In("follower").Errorf("the difference does not follow the version in force")

// Apply puts a version in force if it is newer than the current one, and reports whether it did. A version without a
// document is a difference from the preceding version; Apply returns ErrGap when that version is not in force here.
func (f *Follower) Apply(v *statev1.Version, now time.Time) (bool, error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	old := f.View()
	if v.GetNumber() <= old.Number {
		return false, nil
	}
	v, err := fullVersion(old, v)
	if err != nil {
		return false, err
	}
	document, err := configurator.Parse(v.GetDocument())
	if err != nil {
		return false, err
	}
	next := &View{
		Number: v.GetNumber(), Since: now, Document: document,
		Cells: ranker.Cells(document.Placement()), Version: v, Removal: nextRemoval(old, document),
	}
	if old.Removal.GetRemoved() && !next.Removal.GetRemoved() {
		eventer.RemovalLifted.Log(now, "center", f.center, "version", v.GetNumber())
	}
	f.setView(next)
	eventer.VersionActivated.Log(now, "version", v.GetNumber())
	return true, nil
}

// setView replaces the current view and calls the listeners. The caller must hold applyMu.
func (f *Follower) setView(v *View) {
	f.view.Store(v)
	f.mu.Lock()
	listeners := slices.Clone(f.listeners)
	f.mu.Unlock()
	for _, fn := range listeners {
		fn(v)
	}
}

// RecordControlContact records that control was reached at a time, by this host or by another host with the same or an
// older version.
func (f *Follower) RecordControlContact(at time.Time) {
	for {
		old := f.lastContact.Load()
		if at.UnixNano() <= old || f.lastContact.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// Age returns the time since the last known contact with control.
func (f *Follower) Age(now time.Time) time.Duration {
	return max(0, now.Sub(time.Unix(0, f.lastContact.Load())))
}

// UpdatePeer records what another host of the cell reports: its version and the time since its last contact with
// control. The age is used only when this host's version is not older, because an age belongs to a version.
func (f *Follower) UpdatePeer(host string, version uint64, age time.Duration, now time.Time) {
	f.mu.Lock()
	if r, ok := f.reports[host]; !ok || r.GetVersion() != version {
		f.reports[host] = &statev1.InForce{Host: host, Version: version, Since: timestamppb.New(now)}
	}
	f.mu.Unlock()
	if number := f.View().Number; version > 0 && version <= number {
		f.RecordControlContact(now.Add(-age))
	}
	f.FetchIfNewer(host, version)
}

// Reports returns the version in force on this host and the known versions in force on the live hosts of its cell.
func (f *Follower) Reports() []*statev1.InForce {
	view := f.View()
	out := []*statev1.InForce{f.Report()}
	cell, _ := view.Cell(f.host)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range cell.Hosts {
		if r, ok := f.reports[host]; ok && f.isLive(host) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *statev1.InForce) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return out
}

// Report returns the version in force on this host and since when.
func (f *Follower) Report() *statev1.InForce {
	view := f.View()
	return &statev1.InForce{Host: f.host, Version: view.Number, Since: timestamppb.New(view.Since)}
}

// FetchIfNewer handles the version number that a call, reply or probe from another host carried. A higher version is
// fetched from that host immediately, with at most one such request at a time.
func (f *Follower) FetchIfNewer(host string, version uint64) {
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
		f.syncFrom(ctx, peerv1.NewPeerServiceClient(conn))
	}()
}

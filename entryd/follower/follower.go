// Package follower keeps the configuration version that is in force on an entry host.
package follower

import (
	"sync"
	"sync/atomic"
	"time"

	"lycheelift.example/lib/configurator"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/ranker"
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
}

// Follower holds the newest version known to the host. It is safe for concurrent use.
type Follower struct {
	apply sync.Mutex
	view  atomic.Pointer[View]
	heard atomic.Int64
}

// New returns a follower at version zero, with an empty document.
func New(now time.Time) *Follower {
	f := &Follower{}
	f.view.Store(&View{Document: &configurator.Document{}, Since: now})
	f.heard.Store(now.UnixNano())
	return f
}

// View returns the version in force.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Apply puts a version in force if it is newer than the present one. It reports whether it did.
func (f *Follower) Apply(v *statev1.Version, now time.Time) (bool, error) {
	f.apply.Lock()
	defer f.apply.Unlock()
	if v.GetNumber() <= f.View().Number {
		return false, nil
	}
	document, err := configurator.Parse(v.GetDocument())
	if err != nil {
		return false, err
	}
	f.view.Store(&View{
		Number: v.GetNumber(), Since: now, Document: document,
		Cells: ranker.Cells(document.Placement()), Version: v,
	})
	eventer.VersionInUse.Log(now, "version", v.GetNumber())
	return true, nil
}

// Heard notes that control was reached.
func (f *Follower) Heard(now time.Time) {
	f.heard.Store(now.UnixNano())
}

// Age returns the time since control was last reached.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.heard.Load()))
}

package follower

import (
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/configurator"
	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// whole returns a version with its document, made from the document in force when it came as a difference.
func whole(old *View, v *statev1.Version) (*statev1.Version, error) {
	if len(v.GetDocument()) > 0 {
		return v, nil
	}
	if old.Version == nil || v.GetNumber() != old.Number+1 || len(v.GetDifference()) == 0 {
		return nil, ErrGap
	}
	document, err := jsonpatch.MergePatch(old.Version.GetDocument(), v.GetDifference())
	if err != nil {
		return nil, oops.In("follower").Wrapf(err, "merge the difference")
	}
	out := proto.CloneOf(v)
	out.Document = document
	return out, nil
}

// lift ends a local removal when the new version changes the data centre's out value. A version about something
// else leaves it.
func lift(old *View, next *configurator.Document) *peerv1.Removal {
	r := old.Removal
	if r.GetRemoved() && old.Number > 0 && old.Document.Out(r.GetCenter()) != next.Out(r.GetCenter()) {
		return &peerv1.Removal{Center: r.GetCenter(), Sequence: r.GetSequence() + 1}
	}
	return r
}

// Remove takes this host's data centre out, or back in, until a newer version changes its out value.
// The other hosts of the data centre learn of it from this one.
func (f *Follower) Remove(removed bool, author, reason string, now time.Time) *View {
	f.apply.Lock()
	r := &peerv1.Removal{
		Center: f.center, Sequence: f.View().Removal.GetSequence() + 1, Removed: removed, Author: author, Reason: reason,
	}
	f.apply.Unlock()
	f.Removed(r, now)
	return f.View()
}

// Removed takes a local removal from another host. The one with the greatest sequence holds; of two with the same,
// the removal, because sending no work is the safe side.
func (f *Follower) Removed(r *peerv1.Removal, now time.Time) {
	if r.GetCenter() != f.center || !supersedes(r, f.View().Removal) {
		return
	}
	f.apply.Lock()
	defer f.apply.Unlock()
	old := f.View()
	if !supersedes(r, old.Removal) {
		return
	}
	next := *old
	next.Removal = r
	f.store(&next)
	event := eventer.RemovalLifted
	if r.GetRemoved() {
		event = eventer.RemovalSet
	}
	event.Log(now, "center", f.center, "author", r.GetAuthor(), "reason", r.GetReason())
}

func supersedes(a, b *peerv1.Removal) bool {
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}
	return a.GetRemoved() && !b.GetRemoved()
}

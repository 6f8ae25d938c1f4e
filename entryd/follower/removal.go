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

// fullVersion returns the version with its complete document. A difference is merged into the document in force.
func fullVersion(old *View, v *statev1.Version) (*statev1.Version, error) {
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

// nextRemoval returns the local removal after a new version. A version that changes the data centre's out value ends the
// removal; any other version leaves it unchanged.
func nextRemoval(old *View, next *configurator.Document) *peerv1.Removal {
	r := old.Removal
	if r.GetRemoved() && old.Number > 0 && old.Document.OutOfService(r.GetCenter()) != next.OutOfService(r.GetCenter()) {
		return &peerv1.Removal{Center: r.GetCenter(), Sequence: r.GetSequence() + 1}
	}
	return r
}

// Remove sets or lifts the local removal of this host's data centre. A removal lasts until a newer version changes the
// data centre's out value. This host spreads it to the other hosts of the data centre.
func (f *Follower) Remove(removed bool, author, reason string, now time.Time) *View {
	f.applyMu.Lock()
	r := &peerv1.Removal{
		Center: f.center, Sequence: f.View().Removal.GetSequence() + 1, Removed: removed, Author: author, Reason: reason,
	}
	f.applyMu.Unlock()
	f.ApplyRemoval(r, now)
	return f.View()
}

// ApplyRemoval applies a local removal received from another host. The record with the highest sequence wins; at equal
// sequences the removed state wins, because sending no work is the safe choice.
func (f *Follower) ApplyRemoval(r *peerv1.Removal, now time.Time) {
	if r.GetCenter() != f.center || !supersedes(r, f.View().Removal) {
		return
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	old := f.View()
	if !supersedes(r, old.Removal) {
		return
	}
	next := *old
	next.Removal = r
	f.setView(&next)
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

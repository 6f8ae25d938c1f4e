package enroller

import (
	"time"

	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Listener is told what the records of another host say.
type Listener interface {
	// Departed reports whether an incarnation is known to have left. Records that say otherwise are passed over.
	Departed(name string, born uint64) bool
	// Left is told of each incarnation that leaves or has left, and Known of each that is new or has changed.
	Left(name string, born uint64, now time.Time)
	Known(l *Leaf, now time.Time)
}

// Take takes the records that another host sends.
func (r *Roster) Take(records []*peerv1.RosterLeaf, to Listener, now time.Time) {
	for _, m := range records {
		if m.GetLeaving() {
			r.Leave(m.GetLeaf(), m.GetBorn(), now)
			to.Left(m.GetLeaf(), m.GetBorn(), now)
			continue
		}
		if to.Departed(m.GetLeaf(), m.GetBorn()) {
			continue
		}
		l, err := Decode(m, now)
		if err != nil {
			eventer.AnnounceRejected.Log(now, "leaf", m.GetLeaf(), "error", err.Error())
			continue
		}
		if r.take(l, Relay, now) == Changed {
			to.Known(l, now)
		}
	}
}

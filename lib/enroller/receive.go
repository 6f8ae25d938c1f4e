package enroller

import (
	"time"

	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Listener is notified of the records that another host sends.
type Listener interface {
	// IsDeparted reports whether an incarnation is known to have departed. Other records of it are ignored.
	IsDeparted(name string, born uint64) bool
	// OnDeparture is called for each incarnation that is leaving or has left.
	OnDeparture(name string, born uint64, now time.Time)
	// OnChange is called for each incarnation that is new or has changed.
	OnChange(l *Leaf, now time.Time)
}

// Receive adds the records that another host sends.
func (r *Roster) Receive(records []*peerv1.RosterLeaf, to Listener, now time.Time) {
	for _, m := range records {
		// Departures come first: a leaf may hold the address that one of them gives back.
		if m.GetLeaving() {
			r.Leave(m.GetLeaf(), m.GetBorn(), now)
			to.OnDeparture(m.GetLeaf(), m.GetBorn(), now)
		}
	}
	for _, m := range records {
		if m.GetLeaving() || to.IsDeparted(m.GetLeaf(), m.GetBorn()) {
			continue
		}
		l, err := Decode(m, now)
		if err != nil {
			eventer.AnnounceRejected.Log(now, "leaf", m.GetLeaf(), "error", err.Error())
			continue
		}
		if r.update(l, false, now) == Changed {
			to.OnChange(l, now)
		}
	}
}

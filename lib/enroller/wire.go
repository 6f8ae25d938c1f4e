package enroller

import (
	"net/netip"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Encode returns the message that describes a leaf to other hosts. Times are sent as durations, because clocks differ.
func Encode(l *Leaf, now time.Time) *peerv1.RosterLeaf {
	out := &peerv1.RosterLeaf{
		Leaf: l.Name, Born: l.Born, Sequence: l.Sequence, Service: l.Service, Address: l.Address.String(), Center: l.Center,
		Slots: uint32(max(l.Slots, 0)), Leaving: l.Leaving && !l.Displaced, Program: l.Program, //nolint:gosec // A small number.
	}
	if cold := l.ColdUntil.Sub(now); cold > 0 {
		out.Cold = durationpb.New(cold)
	}
	return out
}

// Decode validates a message and returns the leaf that it describes.
func Decode(m *peerv1.RosterLeaf, now time.Time) (*Leaf, error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, oops.In("enroller").Wrapf(err, "address of %s", m.GetLeaf())
	}
	out := &Leaf{
		Name: m.GetLeaf(), Born: m.GetBorn(), Sequence: m.GetSequence(), Service: m.GetService(), Address: address,
		Center: m.GetCenter(), Slots: int(m.GetSlots()), Leaving: m.GetLeaving(), Program: m.GetProgram(),
		ColdUntil: now.Add(m.GetCold().AsDuration()),
	}
	if err := out.Validate(); err != nil {
		return nil, oops.In("enroller").Wrap(err)
	}
	return out, nil
}

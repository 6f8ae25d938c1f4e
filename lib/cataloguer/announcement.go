package cataloguer

import (
	"net/netip"
	"time"

	"github.com/samber/oops"

	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
)

// Limits of an announcement.
const (
	maxNameBytes = 128
	maxSlots     = 1024
	maxConns     = 4096
	maxHoldings  = 256
	// MaxShards is the largest number of shards of a snapshot.
	MaxShards = 1 << 16
)

// ParseAnnouncement validates an announcement and returns the leaf that it describes.
func ParseAnnouncement(a *backendv1.AnnounceRequest, now time.Time) (*Leaf, error) {
	builder := oops.In("cataloguer").With("leaf", a.GetLeaf())
	if n := len(a.GetLeaf()); n == 0 || n > maxNameBytes {
		return nil, builder.Errorf("leaf name must have 1 to %d bytes", maxNameBytes)
	}
	if n := len(a.GetService()); n == 0 || n > maxNameBytes {
		return nil, builder.Errorf("service name must have 1 to %d bytes", maxNameBytes)
	}
	if n := len(a.GetCenter()); n == 0 || n > maxNameBytes {
		return nil, builder.Errorf("data centre name must have 1 to %d bytes", maxNameBytes)
	}
	address, err := netip.ParseAddrPort(a.GetAddress())
	if err != nil {
		return nil, builder.Wrapf(err, "address")
	}
	state := State(a.GetState())
	if state < Cold || state > Leaving {
		return nil, builder.Errorf("unknown state %d", a.GetState())
	}
	if a.GetSlots() == 0 || a.GetSlots() > maxSlots {
		return nil, builder.Errorf("slots must be 1 to %d", maxSlots)
	}
	if a.GetConnections() == 0 || a.GetConnections() > maxConns {
		return nil, builder.Errorf("connections must be 1 to %d", maxConns)
	}
	holdings, err := parseHoldings(a.GetHoldings())
	if err != nil {
		return nil, builder.Wrap(err)
	}
	return &Leaf{
		Name: a.GetLeaf(), Incarnation: a.GetIncarnation(), Sequence: a.GetSequence(), Address: address,
		Center: a.GetCenter(), Service: a.GetService(), State: state,
		Slots: int(a.GetSlots()), Connections: int(a.GetConnections()), Holdings: holdings, AnnouncedAt: now,
	}, nil
}

func parseHoldings(in []*backendv1.Holding) ([]Holding, error) {
	if len(in) > maxHoldings {
		return nil, oops.Errorf("at most %d holdings are permitted", maxHoldings)
	}
	out := make([]Holding, 0, len(in))
	for _, h := range in {
		if h.GetSnapshot() == 0 || h.GetShards() == 0 || h.GetShards() > MaxShards || h.GetShard() >= h.GetShards() {
			return nil, oops.Errorf("holding %d of %d in snapshot %d is not valid", h.GetShard(), h.GetShards(), h.GetSnapshot())
		}
		out = append(out, Holding{Snapshot: h.GetSnapshot(), Shard: h.GetShard(), Shards: h.GetShards()})
	}
	return out, nil
}

// Announcement converts a leaf back into the message that describes it.
func (l *Leaf) Announcement() *backendv1.AnnounceRequest {
	out := &backendv1.AnnounceRequest{
		Leaf: l.Name, Incarnation: l.Incarnation, Sequence: l.Sequence, Address: l.Address.String(),
		Center: l.Center, Service: l.Service, State: backendv1.State(l.State), //nolint:gosec // State is 1 to 4.
		Slots: uint32(l.Slots), Connections: uint32(l.Connections), //nolint:gosec // Bounded when parsed.
	}
	for _, h := range l.Holdings {
		out.Holdings = append(out.Holdings, &backendv1.Holding{Snapshot: h.Snapshot, Shard: h.Shard, Shards: h.Shards})
	}
	return out
}

// Package inspector serves operators on an entry host: what it knows, and its local removal.
package inspector

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/detector"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// maxText bounds author and reason, in bytes.
const maxText = 256

// Members returns the hosts of the cell.
type Members interface {
	Members() []detector.Update
}

// Spreader tells other hosts of the data centre of a local removal.
type Spreader interface {
	SpreadRemoval(ctx context.Context)
}

// Inspector serves the host service.
type Inspector struct {
	host, center string
	follow       *follower.Follower
	table        *cataloguer.Table
	members      Members
	spread       Spreader
	draining     func() bool
	calls        func() uint64
	clock        func() time.Time
}

// New returns the service. draining and calls report the state of the host and its leaf calls since the start.
func New(host, center string, follow *follower.Follower, table *cataloguer.Table, members Members, spread Spreader,
	draining func() bool, calls func() uint64, clock func() time.Time,
) *Inspector {
	return &Inspector{host, center, follow, table, members, spread, draining, calls, clock}
}

// Names of the states of leaves, for operators.
var states = map[cataloguer.State]string{
	cataloguer.Cold: "cold", cataloguer.Warm: "warm", cataloguer.Draining: "draining", cataloguer.Leaving: "leaving",
}

// Inspect returns what the host knows.
func (i *Inspector) Inspect(context.Context, *operatorv1.InspectRequest) (*operatorv1.InspectResponse, error) {
	view := i.follow.View()
	out := &operatorv1.InspectResponse{
		Host: i.host, Center: i.center, Version: view.Number, Since: timestamppb.New(view.Since),
		Removed: view.Removal.GetRemoved(), Draining: i.draining(), Calls: i.calls(),
	}
	for _, l := range i.table.All(i.clock()) {
		out.Leaves = append(out.Leaves, &operatorv1.LeafStatus{
			Leaf: l.Name, Service: l.Service, Owner: l.Owner, Epoch: l.Epoch, State: states[l.State],
		})
	}
	for _, m := range i.members.Members() {
		out.Members = append(out.Members, &operatorv1.HostStatus{Host: m.Host, State: m.State.String(), Incarnation: m.Incarnation})
	}
	slices.SortFunc(out.Members, func(a, b *operatorv1.HostStatus) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return out, nil
}

// Remove takes the host's data centre out or back in, on every host of the data centre that can be reached.
func (i *Inspector) Remove(ctx context.Context, in *operatorv1.RemoveRequest) (*operatorv1.RemoveResponse, error) {
	if in.GetAuthor() == "" || len(in.GetAuthor()) > maxText || len(in.GetReason()) > maxText {
		return nil, connect.NewError(connect.CodeInvalidArgument, oops.Errorf("a removal needs an author; author and reason have at most %d bytes", maxText))
	}
	view := i.follow.Remove(in.GetRemoved(), in.GetAuthor(), in.GetReason(), i.clock())
	i.spread.SpreadRemoval(ctx)
	return &operatorv1.RemoveResponse{Version: view.Number}, nil
}

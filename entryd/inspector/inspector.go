// Package inspector serves operators on an entry host: it shows the state of the host, and takes the host's data centre
// out of service by a local removal.
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

// maxTextBytes bounds author and reason.
const maxTextBytes = 256

// Members provides the state of the hosts of the cell.
type Members interface {
	Members() []detector.Update
}

// RemovalSender sends a local removal to the other hosts of the data centre.
type RemovalSender interface {
	SendRemoval(ctx context.Context)
}

// Inspector serves the host service.
type Inspector struct {
	host, center  string
	follower      *follower.Follower
	table         *cataloguer.Table
	members       Members
	removalSender RemovalSender
	draining      func() bool
	leafCalls     func() uint64
	clock         func() time.Time
}

// New returns the service. draining reports whether the host is stopping, leafCalls the number of its leaf calls since
// the start.
func New(host, center string, follower *follower.Follower, table *cataloguer.Table, members Members, removalSender RemovalSender,
	draining func() bool, leafCalls func() uint64, clock func() time.Time,
) *Inspector {
	return &Inspector{host, center, follower, table, members, removalSender, draining, leafCalls, clock}
}

// stateNames holds the names of leaf states shown to operators.
var stateNames = map[cataloguer.State]string{
	cataloguer.Cold: "cold", cataloguer.Warm: "warm", cataloguer.Draining: "draining", cataloguer.Leaving: "leaving",
}

// Inspect returns the host's configuration version, its leaves and the members of its cell.
func (i *Inspector) Inspect(context.Context, *operatorv1.InspectRequest) (*operatorv1.InspectResponse, error) {
	view := i.follower.View()
	out := &operatorv1.InspectResponse{
		Host: i.host, Center: i.center, Version: view.Number, Since: timestamppb.New(view.Since),
		Removed: view.Removal.GetRemoved(), Draining: i.draining(), Calls: i.leafCalls(),
	}
	for _, l := range i.table.All(i.clock()) {
		out.Leaves = append(out.Leaves, &operatorv1.LeafStatus{
			Leaf: l.Name, Service: l.Service, Owner: l.Owner, Epoch: l.Epoch, State: stateNames[l.State],
		})
	}
	for _, m := range i.members.Members() {
		out.Members = append(out.Members, &operatorv1.HostStatus{Host: m.Host, State: m.State.String(), Incarnation: m.Incarnation})
	}
	slices.SortFunc(out.Members, func(a, b *operatorv1.HostStatus) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return out, nil
}

// Remove takes the host's data centre out of service, or puts it back, on every reachable host of the data centre.
func (i *Inspector) Remove(ctx context.Context, in *operatorv1.RemoveRequest) (*operatorv1.RemoveResponse, error) {
	if in.GetAuthor() == "" || len(in.GetAuthor()) > maxTextBytes || len(in.GetReason()) > maxTextBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, oops.Errorf("a removal needs an author; author and reason have at most %d bytes", maxTextBytes))
	}
	view := i.follower.Remove(in.GetRemoved(), in.GetAuthor(), in.GetReason(), i.clock())
	i.removalSender.SendRemoval(ctx)
	return &operatorv1.RemoveResponse{Version: view.Number}, nil
}

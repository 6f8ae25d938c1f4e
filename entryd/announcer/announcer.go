// Package announcer receives the announcements of backend servers and forwards them to other hosts.
package announcer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
)

// Forwarder sends an announcement to the other hosts that need it.
type Forwarder interface {
	Forward(ctx context.Context, a *backendv1.AnnounceRequest)
}

// Announcer serves the announce service.
type Announcer struct {
	table     *cataloguer.Table
	forwarder Forwarder
	clock     func() time.Time
	// ownerAddress returns the address at which a leaf's owner accepts announcements, or "" if it is not known.
	ownerAddress func(leaf string) string
}

// Option changes an announcer.
type Option func(*Announcer)

// WithOwnerAddress sets the lookup of the address of a leaf's owner. A server that announces to the owner directly saves
// the forwarding.
func WithOwnerAddress(f func(leaf string) string) Option {
	return func(a *Announcer) { a.ownerAddress = f }
}

// New returns an announcer that stores into the table.
func New(table *cataloguer.Table, forwarder Forwarder, clock func() time.Time, options ...Option) *Announcer {
	a := &Announcer{table: table, forwarder: forwarder, clock: clock, ownerAddress: func(string) string { return "" }}
	for _, o := range options {
		o(a)
	}
	return a
}

// Announce stores a backend server's announcement and forwards it.
func (a *Announcer) Announce(ctx context.Context, request *backendv1.AnnounceRequest) (*backendv1.AnnounceResponse, error) {
	now := a.clock()
	leaf, err := cataloguer.ParseAnnouncement(request, now)
	if err != nil {
		eventer.AnnounceRejected.Log(now, "leaf", request.GetLeaf(), "error", err.Error())
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if a.table.Put(leaf) {
		a.forwarder.Forward(context.WithoutCancel(ctx), request)
	}
	return &backendv1.AnnounceResponse{Interval: durationpb.New(cataloguer.Interval), Owner: a.ownerAddress(leaf.Name)}, nil
}

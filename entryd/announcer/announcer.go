// Package announcer receives backend servers' announcements and passes them on.
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

// Forwarder passes an announcement to the other hosts that need it.
type Forwarder interface {
	Forward(ctx context.Context, a *backendv1.AnnounceRequest)
}

// Announcer serves the announce service.
type Announcer struct {
	table   *cataloguer.Table
	forward Forwarder
	clock   func() time.Time
	// redirect returns the address of a leaf's owner.
	redirect func(leaf string) string
}

// Option changes an announcer.
type Option func(*Announcer)

// WithRedirect sets what knows the address of a leaf's owner. Servers that announce to it spare the forwarding.
func WithRedirect(f func(leaf string) string) Option {
	return func(a *Announcer) { a.redirect = f }
}

// New returns an announcer that stores into the table.
func New(table *cataloguer.Table, forward Forwarder, clock func() time.Time, options ...Option) *Announcer {
	a := &Announcer{table: table, forward: forward, clock: clock, redirect: func(string) string { return "" }}
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
		a.forward.Forward(context.WithoutCancel(ctx), request)
	}
	return &backendv1.AnnounceResponse{Interval: durationpb.New(cataloguer.Interval), Owner: a.redirect(leaf.Name)}, nil
}

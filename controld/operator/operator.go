// Package operator is the service for operators and analysts.
package operator

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"lycheelift.example/controld/store"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Store applies patches and reads versions.
type Store interface {
	Patch(ctx context.Context, p *statev1.Patch) (*statev1.PatchResult, error)
	Show(ctx context.Context, number uint64) (*statev1.Version, error)
	Difference(ctx context.Context, from, to uint64) ([]byte, uint64, error)
	History(ctx context.Context, from uint64, limit int) ([]*statev1.Audit, error)
	InForce() (version uint64, reports []*statev1.InForce, late []string, err error)
}

// Group is the group of control hosts, as far as operators use it.
type Group interface {
	// Status returns the state of the group as this host knows it. It needs no majority.
	Status() GroupStatus
	// Add adds a control host as a learner, which becomes a voter when it has caught up.
	Add(ctx context.Context, replica *statev1.Replica) (*statev1.Members, error)
	// Remove removes a control host from the group.
	Remove(ctx context.Context, host string) (*statev1.Members, error)
}

// GroupStatus is the state of the control group as one host knows it.
type GroupStatus struct {
	Host    string
	Leader  string
	Term    uint64
	Commit  uint64
	Members *statev1.Members
}

// ErrMember reports that a change of members is not permitted in the current state; the wrapping text gives the reason.
var ErrMember = errors.New("the members cannot be changed")

// Operator serves the operator service.
type Operator struct {
	operatorv1connect.UnimplementedOperatorServiceHandler

	store  Store
	group  Group
	record Record
	clock  func() time.Time
}

// New returns the service over a store and the control group.
func New(s Store, group Group, record Record, clock func() time.Time) *Operator {
	return &Operator{store: s, group: group, record: record, clock: clock}
}

const (
	// maxIdentity bounds identities and names, in bytes.
	maxIdentity = 256
	// maxReason bounds a reason, in bytes.
	maxReason = 4096
	// maxHistory bounds the entries in one reply.
	maxHistory = 1000
)

// connectError converts an error of the store into a Connect error.
func connectError(err error) error {
	switch {
	case errors.Is(err, store.ErrNotKept):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, ErrMember):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

func invalidArgument(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, oops.Errorf(format, args...))
}

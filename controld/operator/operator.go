// Package operator serves operators and analysts.
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

// Store decides patches and reads versions.
type Store interface {
	Patch(ctx context.Context, p *statev1.Patch) (*statev1.PatchResult, error)
	Show(ctx context.Context, number uint64) (*statev1.Version, error)
	Difference(ctx context.Context, from, to uint64) ([]byte, uint64, error)
	History(ctx context.Context, from uint64, limit int) ([]*statev1.Audit, error)
	InForce() (version uint64, reports []*statev1.InForce, late []string, err error)
}

// Group is the set of control hosts.
type Group interface {
	// Status returns what this host knows of the group; it needs no majority.
	Status() GroupStatus
	// Add makes a control host a learner that gets a vote when it has caught up.
	Add(ctx context.Context, replica *statev1.Replica) (*statev1.Members, error)
	// Remove takes a control host out of the group.
	Remove(ctx context.Context, host string) (*statev1.Members, error)
}

// GroupStatus is the state of the control group as one host sees it.
type GroupStatus struct {
	Host    string
	Leader  string
	Term    uint64
	Commit  uint64
	Members *statev1.Members
}

// ErrMember says that a change of members is not permitted in the present state; the text says why.
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

// failure converts an error of the store into one of the protocol.
func failure(err error) error {
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

func invalid(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, oops.Errorf(format, args...))
}

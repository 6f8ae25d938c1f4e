package store

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// ErrNotKept reports that a version does not exist or is no longer retained.
var ErrNotKept = errors.New("the version is not kept")

// Store provides the operations on the replicated state. It is safe for concurrent use.
type Store struct {
	machine *Machine
	log     Log
	clock   func() time.Time
	reports *reports
}

// New returns a store over the state machine and the log that drives it.
func New(machine *Machine, log Log, clock func() time.Time) *Store {
	return &Store{machine: machine, log: log, clock: clock, reports: newReports()}
}

// propose commits a command and converts a failure result into an error.
func (s *Store) propose(ctx context.Context, command *statev1.Command) (*statev1.Result, error) {
	result, err := s.log.Propose(ctx, command)
	if err != nil {
		return nil, oops.In("store").Wrap(err)
	}
	if f := result.GetFailure(); f != nil {
		return nil, oops.In("store").Wrapf(ErrNotProposed, "%s", f.GetText())
	}
	return result, nil
}

package store

import (
	"context"
	"errors"
	"sync"
	"time"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// ErrNotProposed says that the command is certainly in no log and never will be, for example because no leader is
// known. Any other error of Propose leaves open whether the command is applied.
var ErrNotProposed = errors.New("the command was not proposed")

// Log is the replicated log as the store needs it.
type Log interface {
	// Propose commits a command and returns the state machine's result. An error that is not ErrNotProposed
	// means that the command may be applied, now or later.
	Propose(ctx context.Context, command *statev1.Command) (*statev1.Result, error)
	// Barrier returns when the local state includes every command that was committed before the call. Commands that
	// were only acknowledged are not enough: another host may already have shown one that is not yet acknowledged.
	Barrier(ctx context.Context) error
}

// Local is the log of a single host: it applies each command at once and keeps no file.
type Local struct {
	mu      sync.Mutex
	machine *Machine
	clock   func() time.Time
	index   uint64
}

// NewLocal returns a log over a machine.
func NewLocal(machine *Machine, clock func() time.Time) *Local {
	return &Local{machine: machine, clock: clock}
}

// Propose stamps and applies a command.
func (l *Local) Propose(ctx context.Context, command *statev1.Command) (*statev1.Result, error) {
	if ctx.Err() != nil {
		return nil, errors.Join(ErrNotProposed, ctx.Err())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Stamp(command, l.clock())
	l.index++
	return l.machine.Apply(l.index, command), nil
}

// Barrier has nothing to wait for.
func (*Local) Barrier(ctx context.Context) error {
	return ctx.Err()
}

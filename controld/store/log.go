package store

import (
	"context"
	"errors"
	"sync"
	"time"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// ErrNotProposed reports that the command is in no log and never will be, for example because no leader is known. After
// any other error of Propose, it is unknown whether the command is applied.
var ErrNotProposed = errors.New("the command was not proposed")

// Log is the interface of the replicated log that the store uses.
type Log interface {
	// Propose commits a command and returns the state machine's result. An error that is not ErrNotProposed
	// means that the command may be applied, now or later.
	Propose(ctx context.Context, command *statev1.Command) (*statev1.Result, error)
	// Barrier returns when the local state includes every command that was committed before the call. It is
	// not enough to include the acknowledged commands: another host may already have returned the effect of a committed
	// command that is not yet acknowledged.
	Barrier(ctx context.Context) error
}

// Local is the log of a single host: it applies each command immediately and stores nothing on disk.
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

// Propose sets the time of a command and applies it.
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

// Barrier returns immediately, because commands are applied when they are proposed.
func (*Local) Barrier(ctx context.Context) error {
	return ctx.Err()
}

// Package isolator keeps requests that crash backend servers away from them, on this host and, by reports between
// hosts, on all others.
package isolator

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/quarantiner"
	"lycheelift.example/lib/ranker"
)

// Dialer opens a connection to a host by name.
type Dialer interface {
	Dial(host string) (*grpc.ClientConn, error)
}

// Isolator holds the suspects of this host. It is safe for concurrent use.
type Isolator struct {
	self  string
	state *quarantiner.Quarantiner
	cells func() []ranker.Cell
	dial  Dialer
	clock func() time.Time
}

// New returns an isolator of the host named self; cells returns the hosts of all data centres.
func New(self string, cells func() []ranker.Cell, dial Dialer, clock func() time.Time) *Isolator {
	return &Isolator{self: self, state: quarantiner.New(), cells: cells, dial: dial, clock: clock}
}

// Enter decides how a request runs; while a canary of the same fingerprint runs it waits, at most until ctx ends.
// The verdict is then Wait.
func (i *Isolator) Enter(ctx context.Context, fingerprint uint64, probe bool) quarantiner.Ticket {
	for {
		ticket := i.state.Enter(fingerprint, probe, i.clock())
		if ticket.Verdict != quarantiner.Wait {
			return ticket
		}
		select {
		case <-ticket.Ended:
		case <-ctx.Done():
			return ticket
		}
	}
}

// Leave ends the canary that a ticket stands for.
func (i *Isolator) Leave(fingerprint uint64, ticket quarantiner.Ticket) {
	i.state.Leave(fingerprint, ticket)
}

// Cleared notes a good reply; if the request was a suspect the other hosts are told.
func (i *Isolator) Cleared(fingerprint uint64) {
	now := i.clock()
	if !i.state.Clear(fingerprint, now) {
		return
	}
	eventer.SuspectCleared.Log(now, "fingerprint", fingerprint)
	go i.tell(message(fingerprint, quarantiner.Report{}, true))
}

// Crashed notes a call that was in flight on a server that crashed. It calls done when the other hosts know.
func (i *Isolator) Crashed(fingerprint uint64, call *planner.Call, done func()) {
	now := i.clock()
	evidence := quarantiner.Beside
	if call.Canary {
		evidence = quarantiner.First
	}
	if call.Alone {
		evidence = quarantiner.Only
	}
	leaf := call.Target.Leaf
	report := i.state.Crash(fingerprint, leaf.Name+"/"+strconv.FormatUint(leaf.Incarnation, 10), evidence, now)
	eventer.RequestSuspected.Log(now, "fingerprint", fingerprint, "attempt", call.Attempt, "leaf", leaf.Name, "incarnation", leaf.Incarnation, "blocked", report.Blocked)
	go func() {
		i.tell(message(fingerprint, report, false))
		done()
	}()
}

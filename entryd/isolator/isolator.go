// Package isolator keeps requests that crash backend servers away from them. Hosts report suspect requests to each other,
// so that all hosts isolate them.
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

// Isolator tracks the suspect requests known to this host. It is safe for concurrent use.
type Isolator struct {
	self  string
	state *quarantiner.Quarantiner
	cells func() []ranker.Cell
	dial  Dialer
	clock func() time.Time
}

// New returns the isolator of the host self. cells returns the cells of all data centres.
func New(self string, cells func() []ranker.Cell, dial Dialer, clock func() time.Time) *Isolator {
	return &Isolator{self: self, state: quarantiner.New(), cells: cells, dial: dial, clock: clock}
}

// Enter decides how a request runs. It blocks while a canary with the same fingerprint is running. If ctx is done first,
// the verdict is Wait.
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

// Leave ends the canary run of a ticket.
func (i *Isolator) Leave(fingerprint uint64, ticket quarantiner.Ticket) {
	i.state.Leave(fingerprint, ticket)
}

// Cleared records that the request was answered without a crash. If it was a suspect, the other hosts are notified.
func (i *Isolator) Cleared(fingerprint uint64) {
	now := i.clock()
	if !i.state.Clear(fingerprint, now) {
		return
	}
	eventer.SuspectCleared.Log(now, "fingerprint", fingerprint)
	go i.broadcast(newSuspectRequest(fingerprint, quarantiner.Report{}, true))
}

// Crashed records a call that was in flight on a server that crashed. It calls done when the reports to the other hosts
// have ended.
func (i *Isolator) Crashed(fingerprint uint64, call *planner.Call, done func()) {
	now := i.clock()
	evidence := quarantiner.Concurrent
	if call.Canary {
		evidence = quarantiner.SharedCanary
	}
	if call.Exclusive {
		evidence = quarantiner.ExclusiveCanary
	}
	leaf := call.Target.Leaf
	report := i.state.Crash(fingerprint, leaf.Name+"/"+strconv.FormatUint(leaf.Incarnation, 10), evidence, now)
	eventer.RequestSuspected.Log(now, "fingerprint", fingerprint, "attempt", call.Attempt, "leaf", leaf.Name, "incarnation", leaf.Incarnation, "blocked", report.Blocked)
	go func() {
		i.broadcast(newSuspectRequest(fingerprint, report, false))
		done()
	}()
}

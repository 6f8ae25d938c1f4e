package acceptor

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/tracer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// maxTraces bounds the traces that a process writes.
const maxTraces = 1000

// plan returns the query's planner, which keeps a trace when traces are wanted.
func (a *Acceptor) plan(q planner.Query, w planner.World) stepper {
	if a.traces == "" || a.traced.Load() >= maxTraces {
		return planner.New(q, w, planner.WithViolation(a.violated))
	}
	return tracer.New(q, w, planner.WithViolation(a.violated))
}

// keep writes the trace of a query that was not answered whole.
func (a *Acceptor) keep(plan stepper, reply *planner.Reply) {
	trace, ok := plan.(*tracer.Recorder)
	if !ok || reply.Outcome == callerv1.Outcome_OUTCOME_WHOLE || a.traced.Add(1) > maxTraces {
		return
	}
	path := filepath.Join(a.traces, strings.ReplaceAll(trace.Identity(), "/", "-")+".jsonl")
	var out bytes.Buffer
	err := trace.Write(&out)
	if err == nil {
		err = os.WriteFile(path, out.Bytes(), 0o600)
	}
	if err != nil {
		eventer.TraceFailed.Log(a.clock(), "file", path, "error", err.Error())
		return
	}
	eventer.TraceKept.Log(a.clock(), "file", path, "outcome", reply.Outcome.String())
}

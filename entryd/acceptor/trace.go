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

// maxTraces bounds the number of traces that a process writes.
const maxTraces = 1000

// plan returns the planner of the query. It records a trace if traces are enabled and fewer than maxTraces were written.
func (a *Acceptor) plan(q planner.Query, env planner.Environment) stepper {
	if a.traceFolder == "" || a.tracesWritten.Load() >= maxTraces {
		return planner.New(q, env, planner.WithViolation(a.reportViolation))
	}
	return tracer.New(q, env, planner.WithViolation(a.reportViolation))
}

// writeTrace writes the trace of a query that was not answered completely.
func (a *Acceptor) writeTrace(plan stepper, reply *planner.Reply) {
	trace, ok := plan.(*tracer.Recorder)
	if !ok || reply.Outcome == callerv1.Outcome_OUTCOME_WHOLE || a.tracesWritten.Add(1) > maxTraces {
		return
	}
	path := filepath.Join(a.traceFolder, strings.ReplaceAll(trace.Identity(), "/", "-")+".jsonl")
	var out bytes.Buffer
	err := trace.Write(&out)
	if err == nil {
		err = os.WriteFile(path, out.Bytes(), 0o600)
	}
	if err != nil {
		eventer.TraceFailed.Log(a.clock(), "file", path, "error", err.Error())
		return
	}
	eventer.TraceWritten.Log(a.clock(), "file", path, "outcome", reply.Outcome.String())
}

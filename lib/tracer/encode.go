package tracer

import (
	"fmt"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Names, in a trace, of the planner's queries to its planner.Environment.
const (
	questionPin     = "pin"
	questionChoose  = "choose"
	questionTrigger = "trigger"
	questionHedge   = "hedge"
	questionRetry   = "retry"
)

var eventKindNames = map[planner.EventKind]string{
	planner.Start: "start", planner.Returned: "returned", planner.Elapsed: "elapsed",
	planner.Reported: "reported", planner.Abandoned: "abandoned",
}

var callKindNames = map[planner.CallKind]string{
	planner.Primary: "primary", planner.Hedge: "hedge", planner.Retry: "retry", planner.Resend: "resend",
}

func encodeResult(r planner.Result) *statev1.TraceResult {
	return &statev1.TraceResult{
		Attempt: r.Attempt, Snapshot: r.Snapshot, Shard: r.Shard, Leaf: r.Leaf, Reason: r.Reason, Unsent: r.Unsent, Owner: r.Owner,
	}
}

func decodeResult(r *statev1.TraceResult) planner.Result {
	return planner.Result{
		Attempt: r.GetAttempt(), Snapshot: r.GetSnapshot(), Shard: r.GetShard(), Leaf: r.GetLeaf(), Reason: r.GetReason(),
		Unsent: r.GetUnsent(), Owner: r.GetOwner(),
	}
}

func encodeSnapshot(s *cataloguer.Snapshot) *statev1.TraceSnapshot {
	if s == nil {
		return nil
	}
	out := &statev1.TraceSnapshot{Number: s.Number}
	for _, holders := range s.Holders {
		names := &statev1.TraceHolders{}
		for _, l := range holders {
			names.Leaves = append(names.Leaves, l.Name)
		}
		out.Shards = append(out.Shards, names)
	}
	return out
}

func decodeSnapshot(s *statev1.TraceSnapshot) *cataloguer.Snapshot {
	if s == nil {
		return nil
	}
	out := &cataloguer.Snapshot{Number: s.GetNumber(), Shards: uint32(len(s.GetShards()))} //nolint:gosec // The length of a trace's line bounds the number of shards.
	for _, names := range s.GetShards() {
		var holders []*cataloguer.Leaf
		for _, name := range names.GetLeaves() {
			holders = append(holders, &cataloguer.Leaf{Name: name})
		}
		out.Holders = append(out.Holders, holders)
	}
	return out
}

// formatActions formats actions as lines that can be read and compared, and returns the reply if the actions include one.
func formatActions(actions []planner.Action) (lines []string, reply *statev1.TraceReply) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case planner.Send:
			lines = append(lines, fmt.Sprintf("send %s %s to %s for shard %d of snapshot %d, canary %t, alone %t, timeout %s",
				callKindNames[a.Call.Kind], a.Call.Attempt, a.Call.Target.Leaf.Name, a.Call.Shard, a.Call.Snapshot, a.Call.Canary, a.Call.Exclusive, a.Call.Timeout))
		case planner.Cancel:
			lines = append(lines, "cancel "+a.Call.Attempt)
		case planner.RecordCall:
			lines = append(lines, "ended "+a.Call.Attempt)
		case planner.Suspect:
			lines = append(lines, "suspect "+a.Call.Attempt)
		case planner.ClearSuspect:
			lines = append(lines, "clear")
		case planner.CountDropped:
			lines = append(lines, fmt.Sprintf("drop %s, mismatched %t", a.Result.Attempt, a.Mismatched))
		case planner.SetTimer:
			lines = append(lines, "timer "+a.At.UTC().Format("15:04:05.000000"))
		case planner.Finish:
			lines = append(lines, "finish")
			reply = encodeReply(a.Reply)
		}
	}
	return lines, reply
}

func encodeReply(r *planner.Reply) *statev1.TraceReply {
	out := &statev1.TraceReply{
		Outcome: r.Outcome, Reason: r.Reason, Snapshot: r.Snapshot,
		Coverage: &callerv1.Coverage{Answered: r.Answered, Total: r.Total},
	}
	for _, m := range r.Missing {
		out.Coverage.Missing = append(out.Coverage.Missing, &callerv1.Missing{Shard: m.Shard, Reason: m.Reason})
	}
	return out
}

package registrar

import (
	"google.golang.org/protobuf/proto"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

const (
	// maxResponse bounds a stored response, in bytes. Non-idempotent requests return short confirmations.
	maxResponse = 8 << 10
	// maxParts bounds the bodies of a response that is cut.
	maxParts = 4 << 10
	// maxMissing bounds the missing shards named in a response that is cut; the counts stay exact.
	maxMissing = 256
	// maxText bounds each text field of a response that is cut.
	maxText = 256
)

// Bounded encodes a response for storage. One larger than the bound keeps its outcome, its coverage counts,
// the first missing shards and the first parts, and says that it is truncated.
func Bounded(r *callerv1.QueryResponse) []byte {
	if r == nil {
		r = &callerv1.QueryResponse{}
	}
	if proto.Size(r) > maxResponse {
		r = cut(r)
	}
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		// Only text that is not UTF-8 cannot be encoded; the outcome is what must not be lost.
		out, _ = proto.Marshal(&callerv1.QueryResponse{Outcome: r.GetOutcome(), Truncated: true})
	}
	return out
}

func cut(r *callerv1.QueryResponse) *callerv1.QueryResponse {
	out := &callerv1.QueryResponse{
		Id: clip(r.GetId()), Outcome: r.GetOutcome(), Snapshot: r.GetSnapshot(), Version: r.GetVersion(),
		Age: r.GetAge(), Reason: r.GetReason(), Host: clip(r.GetHost()), Center: clip(r.GetCenter()), Truncated: true,
	}
	if c := r.GetCoverage(); c != nil {
		out.Coverage = &callerv1.Coverage{Answered: c.GetAnswered(), Total: c.GetTotal()}
		out.Coverage.Missing = c.GetMissing()[:min(len(c.GetMissing()), maxMissing)]
	}
	left := maxParts
	for _, p := range r.GetParts() {
		left -= proto.Size(p)
		if left < 0 {
			break
		}
		out.Parts = append(out.Parts, p)
	}
	return out
}

func clip(s string) string {
	if len(s) <= maxText {
		return s
	}
	return ""
}

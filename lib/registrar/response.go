package registrar

import (
	"google.golang.org/protobuf/proto"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

const (
	// maxResponse is the maximum size of a stored response in bytes. Non-idempotent requests return short
	// confirmations.
	maxResponse = 8 << 10
	// maxParts is the maximum total size in bytes of the parts of a truncated response.
	maxParts = 4 << 10
	// maxMissing is the maximum number of missing shards listed in a truncated response; the counts stay exact.
	maxMissing = 256
	// maxText is the maximum size in bytes of each text field of a truncated response.
	maxText = 256
)

// EncodeResponse encodes a response for storage. A response that is too large is truncated and marked as such; it keeps its
// outcome, its coverage counts, the first missing shards and the first parts.
func EncodeResponse(r *callerv1.QueryResponse) []byte {
	if r == nil {
		r = &callerv1.QueryResponse{}
	}
	if proto.Size(r) > maxResponse {
		r = truncate(r)
	}
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		// Encoding fails only for text that is not UTF-8. The outcome must still be stored.
		out, _ = proto.Marshal(&callerv1.QueryResponse{Outcome: r.GetOutcome(), Truncated: true})
	}
	return out
}

func truncate(r *callerv1.QueryResponse) *callerv1.QueryResponse {
	out := &callerv1.QueryResponse{
		Id: limitText(r.GetId()), Outcome: r.GetOutcome(), Snapshot: r.GetSnapshot(), Version: r.GetVersion(),
		Age: r.GetAge(), Reason: r.GetReason(), Host: limitText(r.GetHost()), Center: limitText(r.GetCenter()), Truncated: true,
	}
	if c := r.GetCoverage(); c != nil {
		out.Coverage = &callerv1.Coverage{Answered: c.GetAnswered(), Total: c.GetTotal()}
		out.Coverage.Missing = c.GetMissing()[:min(len(c.GetMissing()), maxMissing)]
	}
	remaining := maxParts
	for _, p := range r.GetParts() {
		remaining -= proto.Size(p)
		if remaining < 0 {
			break
		}
		out.Parts = append(out.Parts, p)
	}
	return out
}

func limitText(s string) string {
	if len(s) <= maxText {
		return s
	}
	return ""
}

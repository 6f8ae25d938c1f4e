package holder

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/leaser"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// encode converts a request to its protobuf message.
func (h *Holder) encode(r leaser.Request) *peerv1.LeaseRequest {
	out := &peerv1.LeaseRequest{
		Host: r.Host, Incarnation: r.Incarnation, Sequence: r.Sequence, Group: r.Group,
		Releases: r.Releases, Leaving: r.Leaving, Version: h.follow.View().Number,
	}
	out.Claims = encodeClaims(r.Claims)
	return out
}

func encodeClaims(in []leaser.Claim) []*peerv1.Claim {
	out := make([]*peerv1.Claim, 0, len(in))
	for _, c := range in {
		out = append(out, &peerv1.Claim{Leaf: c.Leaf, Epoch: c.Epoch})
	}
	return out
}

// validate checks the limits of a request.
func validate(in *peerv1.LeaseRequest) error {
	if n := len(in.GetHost()); n == 0 || n > maxName {
		return status.Errorf(codes.InvalidArgument, "host name must have 1 to %d bytes", maxName)
	}
	if len(in.GetClaims())+len(in.GetReleases()) > maxClaims {
		return status.Errorf(codes.InvalidArgument, "at most %d leaves are permitted", maxClaims)
	}
	return nil
}

func parse(in *peerv1.LeaseRequest) leaser.Request {
	out := leaser.Request{
		Host: in.GetHost(), Incarnation: in.GetIncarnation(), Sequence: in.GetSequence(), Group: in.GetGroup(),
		Releases: in.GetReleases(), Leaving: in.GetLeaving(),
	}
	for _, c := range in.GetClaims() {
		out.Claims = append(out.Claims, leaser.Claim{Leaf: c.GetLeaf(), Epoch: c.GetEpoch()})
	}
	return out
}

// decode converts the response to a request with the given claims to its domain type.
func decode(in *peerv1.LeaseResponse, claims []leaser.Claim) leaser.Response {
	out := leaser.Response{GroupMismatch: in.GetDisagrees()}
	if in.GetAll() {
		out.Granted = claims
	}
	for _, c := range in.GetGranted() {
		out.Granted = append(out.Granted, leaser.Claim{Leaf: c.GetLeaf(), Epoch: c.GetEpoch()})
	}
	for _, d := range in.GetDenied() {
		out.Denied = append(out.Denied, leaser.Denial{Leaf: d.GetLeaf(), Holder: d.GetHolder()})
	}
	return out
}

func sizeOf(m proto.Message) int { return proto.Size(m) }

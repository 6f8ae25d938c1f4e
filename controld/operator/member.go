package operator

import (
	"context"
	"net/netip"

	"lycheelift.example/lib/eventer"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// maxMembers bounds the number of control hosts.
const maxMembers = 7

// Member adds or removes one control host.
func (o *Operator) Member(ctx context.Context, in *operatorv1.MemberRequest) (*operatorv1.MemberResponse, error) {
	if (in.GetAdd() == nil) == (in.GetRemove() == "") {
		return nil, invalidArgument("give one member to add or one to remove")
	}
	members, err := o.changeMembers(ctx, in)
	if err != nil {
		return nil, err
	}
	eventer.MemberRequested.Log(o.clock(), "added", in.GetAdd().GetHost(), "removed", in.GetRemove(), "members", len(members.GetReplicas()))
	return &operatorv1.MemberResponse{Members: members}, nil
}

func (o *Operator) changeMembers(ctx context.Context, in *operatorv1.MemberRequest) (*statev1.Members, error) {
	if in.GetAdd() == nil {
		members, err := o.group.Remove(ctx, in.GetRemove())
		if err != nil {
			return nil, connectError(err)
		}
		return members, nil
	}
	add := in.GetAdd()
	if add.GetHost() == "" || len(add.GetHost()) > maxIdentity {
		return nil, invalidArgument("a member needs a host name of at most %d bytes", maxIdentity)
	}
	if _, err := netip.ParseAddrPort(add.GetAddress()); err != nil {
		return nil, invalidArgument("the address must be an IP address and a port: %s", err)
	}
	if n := len(o.group.Status().Members.GetReplicas()); n >= maxMembers {
		return nil, invalidArgument("there are %d control hosts already; remove one first", n)
	}
	members, err := o.group.Add(ctx, add)
	if err != nil {
		return nil, connectError(err)
	}
	return members, nil
}

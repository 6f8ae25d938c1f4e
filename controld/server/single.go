package server

import (
	"context"

	"github.com/samber/oops"

	"lycheelift.example/controld/operator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
	settings "lycheelift.example/schema/gen/settings/controld"
)

// single is the control group of a host that runs without the replicated log.
type single struct{ settings settings.Control }

// Status names the host as its own leader.
func (s single) Status() operator.GroupStatus {
	members := &statev1.Members{Replicas: []*statev1.Replica{{Host: s.settings.Name, Address: s.settings.Listen.Peers}}}
	return operator.GroupStatus{Host: s.settings.Name, Leader: s.settings.Name, Term: 1, Members: members}
}

// Add is refused.
func (single) Add(context.Context, *statev1.Replica) (*statev1.Members, error) {
	return nil, oops.Wrapf(operator.ErrMember, "this host runs without the replicated log")
}

// Remove is refused.
func (single) Remove(context.Context, string) (*statev1.Members, error) {
	return nil, oops.Wrapf(operator.ErrMember, "this host runs without the replicated log")
}

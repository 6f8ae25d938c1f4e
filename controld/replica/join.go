package replica

import (
	"context"
	"time"

	"lycheelift.example/lib/repeater"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// membershipInterval is the time between two checks of whether this host is a member of the group.
const membershipInterval = 250 * time.Millisecond

// maintainMembership asks the leader to add this host whenever it is not a member of the group or knows no leader.
func (r *Replica) maintainMembership(ctx context.Context) {
	repeater.Every(ctx, membershipInterval, func() {
		if !r.isMember(r.Status().Members) || r.Status().Leader == "" {
			r.join(ctx)
		}
	})
}

// isMember reports whether a member set includes this host.
func (r *Replica) isMember(m *statev1.Members) bool {
	for _, x := range m.GetReplicas() {
		if x.GetHost() == r.config.Host {
			return true
		}
	}
	return false
}

// join finds the leader through the control hosts and asks it to add this host.
func (r *Replica) join(ctx context.Context) {
	for _, address := range r.config.JoinAddresses() {
		report := r.fetchReport(ctx, address)
		if report == nil || report.GetLeader() == "" {
			continue
		}
		if r.isMember(report.GetMembers()) {
			return
		}
		for _, m := range report.GetMembers().GetReplicas() {
			if m.GetHost() == report.GetLeader() && r.requestJoin(ctx, m.GetAddress()) {
				return
			}
		}
	}
}

// requestJoin asks a leader to add this host, and reports whether it did.
func (r *Replica) requestJoin(ctx context.Context, leader string) bool {
	conn, err := r.dialer.dial(leader)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	add := &statev1.Replica{Host: r.config.Host, Address: r.config.Address, Center: r.config.Center}
	_, err = peerv1.NewReplicaServiceClient(conn.client).Change(ctx, &peerv1.ChangeRequest{Add: add})
	return err == nil
}

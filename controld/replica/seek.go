package replica

import (
	"context"
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// seekInterval is the time between two looks whether this host belongs to the group.
const seekInterval = 250 * time.Millisecond

// seek asks the leader to add this host, whenever it does not belong to the group.
func (r *Replica) seek(ctx context.Context) {
	ticker := time.NewTicker(seekInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !r.member(r.Status().Members) || r.Status().Leader == "" {
			r.join(ctx)
		}
	}
}

// member reports whether a member set names this host.
func (r *Replica) member(m *statev1.Members) bool {
	for _, x := range m.GetReplicas() {
		if x.GetHost() == r.config.Host {
			return true
		}
	}
	return false
}

// join asks the control hosts for the leader, and the leader to add this host.
func (r *Replica) join(ctx context.Context) {
	for _, address := range r.config.Seek() {
		report := r.query(ctx, address)
		if report == nil || report.GetLeader() == "" {
			continue
		}
		if r.member(report.GetMembers()) {
			return
		}
		for _, m := range report.GetMembers().GetReplicas() {
			if m.GetHost() == report.GetLeader() && r.enter(ctx, m.GetAddress()) {
				return
			}
		}
	}
}

// enter asks a leader to add this host.
func (r *Replica) enter(ctx context.Context, leader string) bool {
	l, err := r.dialer.dial(leader)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	add := &statev1.Replica{Host: r.config.Host, Address: r.config.Address, Center: r.config.Center}
	_, err = peerv1.NewReplicaServiceClient(l.conn).Change(ctx, &peerv1.ChangeRequest{Add: add})
	return err == nil
}

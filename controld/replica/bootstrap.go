package replica

import (
	"context"
	"slices"
	"time"

	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// bootstrapInterval is the time between two attempts to bootstrap a group.
	bootstrapInterval = 200 * time.Millisecond
	// warnAfterAttempts is the number of attempts after which a warning is logged.
	warnAfterAttempts = 25
)

// bootstrap creates a new group. Of the configured members that may create one, only the first by name does so, and only
// when all members have reported an empty data folder. A host that has lost its disk therefore creates no second group
// while another member still has its log or is unreachable.
func (r *Replica) bootstrap(ctx context.Context) {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for attempt := 1; ; attempt++ {
		if s := r.Status(); s.Failure == nil && !s.Blank {
			return
		}
		if m := r.initialMembers(ctx); m != nil {
			_ = r.submit(ctx, func() { r.createGroup(m) })
		}
		if attempt == warnAfterAttempts {
			eventer.WaitingForGroup.Log(r.config.Clock(), "host", r.config.Host, "join", r.config.Join)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Replica) createGroup(m *statev1.Members) {
	if r.failure != nil || !r.core.Blank() {
		return
	}
	r.core.Bootstrap(r.config.Clock(), m)
	eventer.GroupBootstrapped.Log(r.config.Clock(), "members", describe(m))
}

// initialMembers returns the initial members with their incarnations if this host is to create the group and the data
// folders of all members are empty; otherwise it returns nil.
func (r *Replica) initialMembers(ctx context.Context) *statev1.Members {
	if r.config.Join || !slices.ContainsFunc(r.config.Members, func(p Peer) bool { return p.Host == r.config.Host }) {
		return nil
	}
	out := &statev1.Members{}
	for _, p := range r.config.Members {
		incarnation, center := r.Status().Incarnation, r.config.Center
		if p.Host != r.config.Host {
			report := r.fetchReport(ctx, p.Address)
			if !report.GetBlank() || report.GetHost() != p.Host || report.GetFounding() && p.Host < r.config.Host {
				return nil
			}
			incarnation, center = report.GetIncarnation(), report.GetCenter()
		}
		out.Replicas = append(out.Replicas, &statev1.Replica{Host: p.Host, Address: p.Address, Incarnation: incarnation, Center: center})
	}
	return out
}

// fetchReport returns nil when the host does not respond.
func (r *Replica) fetchReport(ctx context.Context, address string) *peerv1.ReportResponse {
	conn, err := r.dialer.dial(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	out, err := peerv1.NewReplicaServiceClient(conn.client).Report(ctx, &peerv1.ReportRequest{})
	if err != nil {
		return nil
	}
	return out
}

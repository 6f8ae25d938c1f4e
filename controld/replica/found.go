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
	// foundInterval is the time between two attempts to found a group.
	foundInterval = 200 * time.Millisecond
	// awaitedAfter is the number of attempts after which the operator is told.
	awaitedAfter = 25
)

// found begins a new group. Only the first of the configured members that may found does so, and only when every one
// of them has answered that its data folder is blank. A host that lost its disk therefore founds nothing while any other
// member still has its log, or cannot be asked.
func (r *Replica) found(ctx context.Context) {
	ticker := time.NewTicker(foundInterval)
	defer ticker.Stop()
	for attempt := 1; ; attempt++ {
		if r.Status().Term > 0 || r.Status().Last > 0 {
			return
		}
		if m := r.unanimous(ctx); m != nil {
			_ = r.do(ctx, func() { r.begin(m) })
		}
		if attempt == awaitedAfter {
			eventer.GroupAwaited.Log(r.config.Clock(), "host", r.config.Host, "join", r.config.Join)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Replica) begin(m *statev1.Members) {
	if r.failed != nil || !r.core.Blank() {
		return
	}
	r.core.Found(r.config.Clock(), m)
	eventer.GroupFounded.Log(r.config.Clock(), "members", describe(m))
}

// unanimous returns the first members with their incarnations when this host is to found the group and all are blank.
func (r *Replica) unanimous(ctx context.Context) *statev1.Members {
	if r.config.Join || !slices.ContainsFunc(r.config.Members, func(p Peer) bool { return p.Host == r.config.Host }) {
		return nil
	}
	out := &statev1.Members{}
	for _, p := range r.config.Members {
		incarnation, center := r.Status().Incarnation, r.config.Center
		if p.Host != r.config.Host {
			report := r.query(ctx, p.Address)
			if !report.GetBlank() || report.GetHost() != p.Host || report.GetFounding() && p.Host < r.config.Host {
				return nil
			}
			incarnation, center = report.GetIncarnation(), report.GetCenter()
		}
		out.Replicas = append(out.Replicas, &statev1.Replica{Host: p.Host, Address: p.Address, Incarnation: incarnation, Center: center})
	}
	return out
}

// query returns nil when the host does not answer.
func (r *Replica) query(ctx context.Context, address string) *peerv1.ReportResponse {
	l, err := r.dialer.dial(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	out, err := peerv1.NewReplicaServiceClient(l.conn).Report(ctx, &peerv1.ReportRequest{})
	if err != nil {
		return nil
	}
	return out
}

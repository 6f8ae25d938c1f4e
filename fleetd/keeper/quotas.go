package keeper

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	"lycheelift.example/fleetd/linker"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/quoter"
	"lycheelift.example/lib/repeater"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// leadershipInterval is the time between checks whether this host has become the leader.
	leadershipInterval = 20 * time.Millisecond
	// suspensionTolerance is the difference between the two clocks of a host above which it was suspended.
	suspensionTolerance = 20 * time.Millisecond
)

// Quotas serves the quotas of tenants: on the leader it grants tokens, on other control hosts it passes requests on to the
// leader. It is safe for concurrent use.
type Quotas struct {
	peerv1.UnimplementedQuotaServiceServer

	log       Log
	documents func() store.View
	decode    func(body []byte) (*router.Document, error)
	// clock is the clock of the log, which does not count suspended time; bootClock counts it.
	clock, bootClock func() time.Time

	mu          sync.Mutex
	coordinator *quoter.Coordinator
	// term is that of the present epoch, and version the version of the configuration whose quotas are in force in it.
	// applied is the index of the log up to which its configuration was read.
	term, version, applied uint64
	// suspended is the difference between the two clocks, and resumed the time by clock at which it was last seen to change.
	suspended time.Duration
	resumed   time.Time

	// leader is the connection to the leader.
	leader linker.Link
}

// NewQuotas returns the quota service of a control host. decode decodes the body of a configuration.
func NewQuotas(log Log, documents func() store.View, decode func([]byte) (*router.Document, error), bounds quoter.Bounds, clock, bootClock func() time.Time) *Quotas {
	return &Quotas{
		log: log, documents: documents, decode: decode, clock: clock, bootClock: bootClock, coordinator: quoter.NewCoordinator(bounds),
		suspended: bootClock().Sub(clock()),
	}
}

// Run prepares grants as soon as this host leads, until ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	repeater.Every(ctx, leadershipInterval, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.update(q.log.Status(), q.bootClock())
	})
	q.leader.Close()
}

// Acquire grants tokens, or passes the request on to the leader.
func (q *Quotas) Acquire(ctx context.Context, in *peerv1.AcquireRequest) (*peerv1.AcquireResponse, error) {
	s := q.log.Status()
	if s.Leading {
		return q.grant(in)
	}
	address := ""
	for _, m := range s.Members.GetReplicas() {
		if m.GetHost() == s.Leader {
			address = m.GetAddress()
		}
	}
	if in.GetForwarded() || address == "" {
		return nil, status.Error(codes.Unavailable, quoter.ErrNotLeading.Error())
	}
	conn, err := q.leader.Dial(address)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	in.Forwarded = true
	return peerv1.NewQuotaServiceClient(conn).Acquire(ctx, in)
}

// grant answers a request on the leader.
func (q *Quotas) grant(in *peerv1.AcquireRequest) (*peerv1.AcquireResponse, error) {
	request, err := quoter.DecodeRequest(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	// The status is read after the clock, so that a round cannot seem older than it is.
	now := q.bootClock()
	s := q.log.Status()
	q.update(s, now)
	if !s.Leading || !s.Current || s.Term != q.term || !s.LastMajority.After(q.resumed) {
		return nil, status.Error(codes.Unavailable, quoter.ErrNotLeading.Error())
	}
	response, err := q.coordinator.Acquire(request, s.LastMajority.Add(q.suspended), now)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return quoter.EncodeResponse(response), nil
}

// update begins an epoch when this host has become the leader, and takes over the quotas of a new configuration. The caller
// must hold q.mu.
func (q *Quotas) update(s replica.Status, now time.Time) {
	if suspended := now.Sub(q.clock()); suspended-q.suspended > suspensionTolerance {
		// Rounds that were sent before the host was suspended say nothing about the present.
		q.suspended, q.resumed = suspended, q.clock()
	}
	if !s.Leading {
		return
	}
	if s.Term != q.term {
		q.term, q.version, q.applied = s.Term, 0, 0
		q.coordinator.Lead(s.Term, now)
	}
	if !s.Current || s.Applied == q.applied {
		return
	}
	q.applied = s.Applied
	if document := q.documents().Document; document.GetVersion() != q.version {
		q.version = document.GetVersion()
		q.setLimits(document, now)
	}
}

// setLimits takes over the quotas of a configuration. The caller must hold q.mu.
func (q *Quotas) setLimits(document *statev1.Document, now time.Time) {
	d, err := q.decode(document.GetBody())
	if err != nil {
		eventer.QuotasUnreadable.Log(q.clock(), "version", document.GetVersion(), "error", err.Error())
		return
	}
	limits := make(map[string]quoter.Limit, len(d.Tenants))
	limited := 0
	for i := range d.Tenants {
		t := &d.Tenants[i]
		limits[t.Name] = quoter.Limit{Rate: t.Rate, Burst: t.Burst}
		if t.Limited() {
			limited++
		}
	}
	q.coordinator.SetLimits(limits, now)
	if limited > 0 {
		eventer.QuotasInForce.Log(q.clock(), "term", q.term, "version", q.version, "tenants", len(limits), "limited", limited)
	}
}

package acceptor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/ranker"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// hopCost is taken off the deadline for each hop, so that a reply still arrives in time.
const hopCost = time.Millisecond

// Dispatcher sends leaf calls to the hosts that own the leaves.
type Dispatcher interface {
	Send(owner string, call *peerv1.Call, results chan<- *peerv1.CallResult)
	Cancel(owner, attempt string)
}

// Acceptor serves the query service.
type Acceptor struct {
	host        string
	center      string
	incarnation int64
	sequence    atomic.Uint64
	table       *cataloguer.Table
	follow      *follower.Follower
	dispatch    Dispatcher
	clock       func() time.Time
	body        int
	timeout     time.Duration
}

// Option changes an acceptor.
type Option func(*Acceptor)

// WithBody sets the largest request body, in bytes.
func WithBody(n int) Option {
	return func(a *Acceptor) { a.body = n }
}

// WithTimeout sets the deadline of queries that carry none.
func WithTimeout(d time.Duration) Option {
	return func(a *Acceptor) { a.timeout = d }
}

// Defaults of an acceptor.
const (
	defaultBody    = 1 << 20
	defaultTimeout = time.Second
)

// New returns an acceptor for the named host of a data centre.
func New(host, center string, table *cataloguer.Table, follow *follower.Follower, dispatch Dispatcher, clock func() time.Time, options ...Option) *Acceptor {
	a := &Acceptor{
		host: host, center: center, incarnation: clock().UnixNano(), table: table, follow: follow,
		dispatch: dispatch, clock: clock, body: defaultBody, timeout: defaultTimeout,
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// Query answers one question.
func (a *Acceptor) Query(ctx context.Context, in *callerv1.QueryRequest) (*callerv1.QueryResponse, error) {
	now := a.clock()
	view := a.follow.View()
	out, refused := a.answer(ctx, in, view, now)
	if refused != nil {
		eventer.QueryRefused.Log(now, "id", in.GetId(), "service", in.GetService(), "reason", refused.reason.String())
		return nil, a.encode(in.GetId(), refused, view.Number)
	}
	out.Id = in.GetId()
	out.Version = view.Number
	out.Age = durationpb.New(a.follow.Age(now))
	out.Host = a.host
	out.Center = a.center
	return out, nil
}

func (a *Acceptor) answer(ctx context.Context, in *callerv1.QueryRequest, view *follower.View, now time.Time) (*callerv1.QueryResponse, *refusal) {
	r, refused := a.parse(ctx, in, now)
	if refused != nil {
		return nil, refused
	}
	snapshot, refused := a.pin(r.service, now)
	if refused != nil {
		return nil, refused
	}
	return a.fan(ctx, r, snapshot, view, now)
}

// fan sends one call a shard and merges the replies.
func (a *Acceptor) fan(ctx context.Context, r *request, snapshot *cataloguer.Snapshot, view *follower.View, now time.Time) (*callerv1.QueryResponse, *refusal) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(-hopCost))
	defer cancel()
	results := make(chan *peerv1.CallResult, snapshot.Shards)
	owners := make(map[string]string)
	shards := make(map[string]uint32)
	missing := make(map[uint32]callerv1.Reason)
	fingerprint := xxhash.Sum64String(r.tenant + "\x00" + r.service + "\x00" + string(r.body))
	for shard := range snapshot.Shards {
		leaf, owner, ok := a.choose(snapshot.Holders[shard], view)
		missing[shard] = callerv1.Reason_REASON_NO_REPLICA
		if !ok {
			continue
		}
		missing[shard] = callerv1.Reason_REASON_DEADLINE
		attempt := fmt.Sprintf("%s/%d/%d", a.host, a.incarnation, a.sequence.Add(1))
		owners[attempt] = owner
		shards[attempt] = shard
		a.dispatch.Send(owner, &peerv1.Call{
			Attempt: attempt, Service: r.service, Snapshot: snapshot.Number, Shard: shard, Leaf: leaf.Name, Body: r.body,
			Timeout: durationpb.New(r.deadline.Sub(now) - 2*hopCost), Tenant: r.tenant, Fingerprint: fingerprint, Version: view.Number,
		}, results)
	}
	out := &callerv1.QueryResponse{Snapshot: snapshot.Number}
	for len(shards) > 0 {
		select {
		case <-ctx.Done():
			for attempt := range shards {
				a.dispatch.Cancel(owners[attempt], attempt)
			}
			return a.merge(r, snapshot, out, missing)
		case result := <-results:
			shard, ok := shards[result.GetAttempt()]
			if !ok {
				continue
			}
			delete(shards, result.GetAttempt())
			if result.GetReason() != callerv1.Reason_REASON_UNSPECIFIED {
				missing[shard] = result.GetReason()
				continue
			}
			delete(missing, shard)
			out.Parts = append(out.Parts, &callerv1.Part{Shard: shard, Body: result.GetBody()})
		}
	}
	return a.merge(r, snapshot, out, missing)
}

// merge states the coverage and refuses a reply that covers less than the caller accepts.
func (a *Acceptor) merge(r *request, snapshot *cataloguer.Snapshot, out *callerv1.QueryResponse, missing map[uint32]callerv1.Reason) (*callerv1.QueryResponse, *refusal) {
	out.Coverage = &callerv1.Coverage{Answered: snapshot.Shards - uint32(len(missing)), Total: snapshot.Shards} //nolint:gosec // At most Shards.
	for shard := range snapshot.Shards {
		if reason, ok := missing[shard]; ok {
			out.Coverage.Missing = append(out.Coverage.Missing, &callerv1.Missing{Shard: shard, Reason: reason})
		}
	}
	out.Outcome = callerv1.Outcome_OUTCOME_WHOLE
	if len(missing) > 0 {
		out.Outcome = callerv1.Outcome_OUTCOME_PARTIAL
	}
	if float64(out.GetCoverage().GetAnswered()) < r.least*float64(snapshot.Shards) || out.GetCoverage().GetAnswered() == 0 {
		return nil, &refusal{
			outcome: callerv1.Outcome_OUTCOME_FAILED, reason: callerv1.Reason_REASON_COVERAGE,
			text: "the coverage is below what the caller accepts", coverage: out.GetCoverage(),
		}
	}
	return out, nil
}

// choose picks a leaf of a shard and its preferred owner.
func (a *Acceptor) choose(holders []*cataloguer.Leaf, view *follower.View) (*cataloguer.Leaf, string, bool) {
	if len(holders) == 0 {
		return nil, "", false
	}
	leaf := holders[rand.IntN(len(holders))] //nolint:gosec // Load balancing needs no secure randomness.
	if leaf.Owner != "" {
		return leaf, leaf.Owner, true
	}
	cell, ok := ranker.Locate(leaf.Name, leaf.Center, view.Cells)
	if !ok {
		return nil, "", false
	}
	return leaf, ranker.Order(leaf.Name, cell.Hosts)[0], true
}

// encode turns a refusal into the protocol's error with its detail.
func (a *Acceptor) encode(id string, r *refusal, version uint64) error {
	code, ok := codes[r.reason]
	if !ok {
		code = connect.CodeUnavailable
	}
	text := r.text
	if r.outcome == callerv1.Outcome_OUTCOME_REFUSED {
		text = "not run: " + text
	}
	out := connect.NewError(code, errors.New(text))
	detail, err := connect.NewErrorDetail(&callerv1.Refusal{
		Id: id, Outcome: r.outcome, Reason: r.reason, Coverage: r.coverage, Text: text, Version: version, Wait: durationpb.New(r.wait),
	})
	if err == nil {
		out.AddDetail(detail)
	}
	return out
}

var codes = map[callerv1.Reason]connect.Code{
	callerv1.Reason_REASON_MALFORMED:       connect.CodeInvalidArgument,
	callerv1.Reason_REASON_OVERSIZED:       connect.CodeInvalidArgument,
	callerv1.Reason_REASON_UNKNOWN_SERVICE: connect.CodeNotFound,
	callerv1.Reason_REASON_DEADLINE:        connect.CodeDeadlineExceeded,
	callerv1.Reason_REASON_OVERLOADED:      connect.CodeResourceExhausted,
	callerv1.Reason_REASON_QUARANTINED:     connect.CodeFailedPrecondition,
	callerv1.Reason_REASON_KEY_EXPIRED:     connect.CodeFailedPrecondition,
	callerv1.Reason_REASON_KEY_CONFLICT:    connect.CodeAlreadyExists,
	callerv1.Reason_REASON_FORBIDDEN:       connect.CodePermissionDenied,
}

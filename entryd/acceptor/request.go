// Package acceptor answers callers' queries.
package acceptor

import (
	"context"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/cataloguer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// maxName bounds identities and names in a request, in bytes.
const maxName = 256

// request is a query that has passed all checks.
type request struct {
	id       string
	service  string
	tenant   string
	key      string
	body     []byte
	issued   time.Time
	least    float64
	deadline time.Time
}

// refusal is the typed error of a query.
type refusal struct {
	outcome  callerv1.Outcome
	reason   callerv1.Reason
	text     string
	wait     time.Duration
	coverage *callerv1.Coverage
}

// Error returns the reason and the text.
func (r *refusal) Error() string {
	return r.reason.String() + ": " + r.text
}

// notRun refuses a query of which no leaf received any part.
func notRun(reason callerv1.Reason, text string) *refusal {
	return &refusal{outcome: callerv1.Outcome_OUTCOME_REFUSED, reason: reason, text: text}
}

// parse checks a request whole before any work is done for it.
func (a *Acceptor) parse(ctx context.Context, in *callerv1.QueryRequest, now time.Time) (*request, *refusal) {
	switch {
	case in.GetId() == "" || len(in.GetId()) > maxName:
		return nil, notRun(callerv1.Reason_REASON_MALFORMED, "id must have 1 to 256 bytes")
	case in.GetService() == "" || len(in.GetService()) > maxName:
		return nil, notRun(callerv1.Reason_REASON_MALFORMED, "service must have 1 to 256 bytes")
	case len(in.GetTenant()) > maxName || len(in.GetKey()) > maxName:
		return nil, notRun(callerv1.Reason_REASON_MALFORMED, "tenant and key must have at most 256 bytes")
	case in.GetLeast() < 0 || in.GetLeast() > 1 || in.GetLeast() != in.GetLeast():
		return nil, notRun(callerv1.Reason_REASON_MALFORMED, "least must be 0 to 1")
	case len(in.GetBody()) > a.body:
		return nil, notRun(callerv1.Reason_REASON_OVERSIZED, "body is larger than this host accepts")
	case in.GetKey() != "" && !in.GetIssued().IsValid():
		return nil, notRun(callerv1.Reason_REASON_MALFORMED, "a key needs the time at which it was issued")
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(a.timeout)
	}
	if !deadline.After(now) {
		return nil, notRun(callerv1.Reason_REASON_DEADLINE, "the deadline has passed")
	}
	return &request{
		id: in.GetId(), service: in.GetService(), tenant: in.GetTenant(), key: in.GetKey(), body: in.GetBody(),
		issued: in.GetIssued().AsTime(), least: in.GetLeast(), deadline: deadline,
	}, nil
}

// pin chooses the snapshot that the whole answer will come from.
func (a *Acceptor) pin(service string, now time.Time) (*cataloguer.Snapshot, *refusal) {
	snapshot := a.table.Pin(service, 0, now)
	if snapshot != nil {
		return snapshot, nil
	}
	if a.table.Starting(now) {
		r := notRun(callerv1.Reason_REASON_STARTING, "this host has just started and does not know all backend servers yet")
		r.wait = cataloguer.Lease
		return nil, r
	}
	if _, ok := a.follow.View().Document.Services[service]; ok {
		return nil, notRun(callerv1.Reason_REASON_NO_REPLICA, "no backend server of the service is live")
	}
	return nil, notRun(callerv1.Reason_REASON_UNKNOWN_SERVICE, oops.Errorf("no service is named %q", service).Error())
}

package acceptor

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/settings/configuration"
)

// maxName bounds each identity and name in a request, in bytes.
const maxName = 256

// request is a validated query.
type request struct {
	id          string
	service     string
	tenant      string
	key         string
	body        []byte
	issued      time.Time
	minCoverage float64
	deadline    time.Time
	policy      configuration.Service
}

// parse validates the entire request before any work is done for it.
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
	case len(in.GetBody()) > a.maxBody:
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
		issued: in.GetIssued().AsTime(), minCoverage: in.GetLeast(), deadline: deadline,
	}, nil
}

// fingerprint returns a hash of tenant, service and body.
func (r *request) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.tenant)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(r.service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.body)
	return d.Sum64()
}

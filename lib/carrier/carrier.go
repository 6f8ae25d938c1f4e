// Package carrier defines the messages that carry a request from a caller to leaves and its answer back. HTTP's method,
// target and header pass through unchanged, because leaves of other systems read them.
package carrier

import (
	"net/http"
	"net/netip"
	"time"
)

// Request is a caller's request that has been read completely.
type Request struct {
	// ID identifies one attempt of the caller.
	ID     string
	Method string
	// Host and Path select the route. Path excludes the query.
	Host, Path string
	// Target is the path and query as sent by the caller.
	Target string
	// Header holds the fields that are forwarded to leaves.
	Header http.Header
	// Withheld holds the fields that carry a key or a tenant. They are forwarded too, but the answerer discards them if the
	// configuration has tenants. They are never logged.
	Withheld http.Header
	Body     []byte
	// Received is when the first bytes of the request arrived.
	Received time.Time
	// Timeout is how long the caller waits after Received; 0 if the caller did not specify it.
	Timeout time.Duration
	// Key is the API key that the caller sent; empty without one. It is never sent to leaves or hosts and never logged. The
	// answerer clears it as soon as it has computed the digest.
	Key string
	// Tenant is the name of the tenant that holds the key; empty if the request has none. It is sent to leaves.
	Tenant string
}

// Call is one request to one leaf.
type Call struct {
	Request *Request
	// Leaf is the name of the intended leaf. Another leaf at its address must refuse the call.
	Leaf    string
	Address netip.AddrPort
	// Deadline is when the leaf should stop processing the request.
	Deadline time.Time
	// NewConnection requires a new connection for this call.
	NewConnection bool
	// MaxConnections is the maximum number of connections from this host to the leaf.
	MaxConnections int
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// MaxBody is the maximum size of the answer's body in bytes.
	MaxBody int64
	// Linger is how long the call may still use its connection after another call has answered in its place. The connection
	// can be reused if the answer arrives in this time. 0 closes the connection at once.
	Linger time.Duration
	// Gate must be passed before the first byte is sent.
	Gate Gate
	// Withdrawn, if set, reports that the call must not be sent any more. It is asked once there is a connection.
	Withdrawn func() bool
}

// Load is the load that a leaf reports.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is the time that work currently takes on the leaf's host, relative to the usual time; 0 if it is unknown.
	Slowness float64
}

// Answer is one leaf's response.
type Answer struct {
	Status int
	// Header holds the fields that are forwarded to the caller.
	Header http.Header
	Body   []byte
	// Stamp is the leaf's signature on the response; empty if there is none.
	Stamp string
	// ID is the ID of the request that the leaf says it answers; empty if the leaf sends none.
	ID string
	// Instance is the name that the answering leaf reports; empty if it reports none.
	Instance string
	// Encoded is true when the body's bytes differ from the leaf's own because of a content coding.
	Encoded bool
	// NotRun is true when the leaf reports that it did not run the request and never will.
	NotRun bool
	// ImpliesNotRun is true when the status code implies to a caller that the request has not run. Without NotRun such a status
	// must not be forwarded.
	ImpliesNotRun bool
	// AddressReassigned is true when another leaf now uses the address.
	AddressReassigned bool
	// RetryAfter is the time for which a refusing leaf wants no more requests from this host; 0 if it does not say so.
	RetryAfter time.Duration
	// Leaving is true when the leaf says that it is leaving.
	Leaving bool
	// Load is nil if the leaf does not report it.
	Load *Load
	// Close is true when the connection must not be reused.
	Close bool
	// Idle is how long the leaf keeps an idle connection open; 0 if it does not specify it.
	Idle time.Duration
}

// Outcome is the final result of a request.
type Outcome int

// Outcomes.
const (
	// Answered means that one leaf's response is forwarded.
	Answered Outcome = iota + 1
	// Gathered means that the answer is merged from the parts of several shards.
	Gathered
	// Refused means that the request has not run and never will.
	Refused
	// Unrouted means that no route matches.
	Unrouted
	// Failed means that no leaf returned a usable answer.
	Failed
	// TimedOut means that no answer arrived before the deadline.
	TimedOut
	// Abandoned means that the caller has disconnected or cancelled the request.
	Abandoned
	// Unauthorized means that the request needs a key and has none that the configuration holds.
	Unauthorized
	// OverQuota means that the request exceeds the quota of its tenant. It has not run and never will.
	OverQuota
)

// Reply is the response to the caller.
type Reply struct {
	Outcome Outcome
	// Answer is set with Answered.
	Answer *Answer
	// Stamps are the signatures of the parts in a gathered answer.
	Stamps []string
	// Missing is the number of shards without a part.
	Missing int
	// Body holds the merged records.
	Body []byte
	// RetryAfter is the time after which the caller should retry. It is set with Refused; 0 gives no advice.
	RetryAfter time.Duration
	// Reason explains why there is no answer.
	Reason string
}

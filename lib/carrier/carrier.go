// Package carrier holds the messages of one request on its way from a caller to leaves and back. They carry HTTP's
// method, target and header unchanged, because leaves of other systems read them.
package carrier

import (
	"net/http"
	"net/netip"
	"time"
)

// Request is a caller's request that has been read whole.
type Request struct {
	// ID identifies one attempt of the caller.
	ID     string
	Method string
	// Host and Path select the route. Path has no query.
	Host, Path string
	// Target is path and query as they were sent.
	Target string
	// Header holds what is passed on to leaves.
	Header http.Header
	Body   []byte
	// Received is when the request began to arrive.
	Received time.Time
	// Wait is how long the caller waits after Received; 0 when the caller did not say.
	Wait time.Duration
}

// Call is one request to one leaf.
type Call struct {
	Request *Request
	// Leaf is the name of the leaf that is meant; another one at its address must refuse.
	Leaf    string
	Address netip.AddrPort
	// Deadline is when the leaf should stop working on the request.
	Deadline time.Time
	// Fresh asks for a connection that was opened for this call.
	Fresh bool
	// Share bounds this host's connections to the leaf.
	Share int
	// Hold is how long an unused connection is kept.
	Hold time.Duration
	// Most bounds the body of the answer, in bytes.
	Most int64
	// Gate is passed before the first byte is sent.
	Gate Gate
}

// Load is what a leaf says of its own load.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is one leaf's response.
type Answer struct {
	Status int
	// Header holds what is passed back to the caller.
	Header http.Header
	Body   []byte
	// Stamp is the leaf's signature on the response; empty when it has none.
	Stamp string
	// ID is the request that the leaf answers, by its own statement; empty when it states none.
	ID string
	// Instance is the name of the answering leaf, when it states it.
	Instance string
	// Encoded marks a body that is not the leaf's own bytes.
	Encoded bool
	// NotRun is true when the leaf states that it did not run the request and never will.
	NotRun bool
	// Promise is true when the status tells a caller that the request has not run. Without NotRun it must not be
	// passed on.
	Promise bool
	// Moved is true when another leaf has the address.
	Moved bool
	// Load is nil when the leaf does not state it.
	Load *Load
	// Close is true when the connection must not be used again.
	Close bool
	// Idle is how long the leaf keeps an unused connection; 0 when it does not say.
	Idle time.Duration
}

// Outcome says how a request ended.
type Outcome int

// Outcomes.
const (
	// Answered passes on one leaf's response.
	Answered Outcome = iota + 1
	// Gathered is an answer merged from the parts of several shards.
	Gathered
	// Refused means that the request has not run and never will.
	Refused
	// Unrouted means that no route matches.
	Unrouted
	// Failed means that no leaf gave a usable answer.
	Failed
	// TimedOut means that no answer came in time.
	TimedOut
	// Abandoned means that the caller no longer waits.
	Abandoned
)

// Reply ends a request.
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
	// Wait is when the caller should try again, with Refused; 0 gives no advice.
	Wait time.Duration
	// Reason explains what is not an answer.
	Reason string
}

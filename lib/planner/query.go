// Package planner decides one query: which snapshot it is answered from, which leaves are called and when, what is
// hedged or retried, and the one reply. It does no I/O: events and the time go in, actions come out.
package planner

import (
	"time"

	"lycheelift.example/lib/cataloguer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// Reason is the typed cause of a missing shard or of an error.
type Reason = callerv1.Reason

// Hop is taken off the deadline for each hop, so that a reply still arrives in time.
const Hop = time.Millisecond

const (
	// maxSends bounds the calls for one shard: a primary call, two hedges and three retries.
	maxSends = 6
	// maxHedges is 2 because at a fan-out of 990 with 1% of slow calls about 0.1 hedges of a query are slow too.
	maxHedges = 2
	// maxCanaryHedges is 1, so that a request that crashes servers meets at most two before it is known.
	maxCanaryHedges = 1
)

// Query is what the planner needs to know of a request.
type Query struct {
	// Identity is the unique prefix of the query's attempts: entry host, incarnation and sequence.
	Identity string
	// Keyed marks a request that is not idempotent: one call a shard, no hedge, no retry of what may have run.
	Keyed bool
	// Canary sends one call first and the others after its reply.
	Canary bool
	// Alone makes the canary run alone on its leaf, because the request is suspected of crashing servers.
	Alone bool
	// Least is the least coverage that the caller accepts, 0 to 1.
	Least float64
	// Attempts bounds the leaves that one shard's calls may reach; zero means the planner's own bound.
	Attempts int
	// Received and Deadline bound the time of the query.
	Received time.Time
	Deadline time.Time
	// Target is when an answer loses most of its worth: from then on the parts that are in suffice if they reach
	// Least. Zero means that all parts are awaited until the deadline.
	Target time.Time
}

// Target is a leaf and the host that owns it.
type Target struct {
	Leaf  *cataloguer.Leaf
	Owner string
}

// World answers the planner's questions about the state that the queries of a host share.
type World interface {
	// Pin returns the newest complete snapshot above a number, else the one with most shards held. It returns nil
	// and the reason when there is none.
	Pin(above uint64, now time.Time) (*cataloguer.Snapshot, Reason)
	// Choose picks one of the holders whose name is not in tried.
	Choose(shard uint32, holders []*cataloguer.Leaf, tried []string, now time.Time) (Target, bool)
	// Trigger returns the age at which a call is hedged; zero turns hedging off.
	Trigger() time.Duration
	// Primary earns hedge and retry budget for n primary calls.
	Primary(n int)
	// Hedge and Retry spend budget for one call and report whether there was any.
	Hedge(shard uint32) bool
	Retry(shard uint32) bool
}

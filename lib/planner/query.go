// Package planner is the state machine of one query. It decides which snapshot answers the query, which leaves are
// called and when, which calls are hedged or retried, and what the reply is. It does no I/O: it maps events and the
// current time to actions.
package planner

import (
	"time"

	"lycheelift.example/lib/cataloguer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// Reason is the typed cause of a missing shard or of an error.
type Reason = callerv1.Reason

// HopMargin is subtracted from the deadline at each network hop, so that the reply still arrives in time.
const HopMargin = time.Millisecond

// MaxSends is the maximum number of calls for one shard of a snapshot, whatever the query permits: a primary call, two hedges
// and three retries.
const MaxSends = 6

const (
	// maxHedges is 2 because at a fan-out of 990 with 1% slow calls, about 0.1 hedges per query are slow too.
	maxHedges = 2
	// maxCanaryHedges is 1, so that a request that crashes servers reaches at most two of them before it is reported.
	maxCanaryHedges = 1
)

// Query holds the parameters of a request.
type Query struct {
	// Identity is the unique prefix of the query's attempts: entry host, incarnation and sequence.
	Identity string
	// NonIdempotent marks a request that is not idempotent: each shard is called once, without hedges, and a call that may have run
	// is not retried.
	NonIdempotent bool
	// Canary sends one call first, and the others after its reply.
	Canary bool
	// Exclusive makes the canary run while its leaf runs no other call, because the request is suspected of crashing servers.
	Exclusive bool
	// MinCoverage is the minimum coverage that the caller accepts, from 0 to 1.
	MinCoverage float64
	// Attempts is the maximum number of leaves that one shard's calls may reach; zero means the planner's default.
	Attempts int
	// Received is when the request arrived, and Deadline is when the caller stops waiting.
	Received time.Time
	Deadline time.Time
	// Target is when an answer loses most of its value: from then on the parts received so far are returned if they reach
	// MinCoverage. Zero means to wait for all parts until the deadline.
	Target time.Time
}

// Target is a leaf and the host that owns it.
type Target struct {
	Leaf  *cataloguer.Leaf
	Owner string
}

// Environment provides the state that all queries of a host share.
type Environment interface {
	// Pin returns the newest complete snapshot with a number above the given one, else the one with the most shards held.
	// It returns nil and the reason when there is none.
	Pin(above uint64, now time.Time) (*cataloguer.Snapshot, Reason)
	// Choose picks one of the holders whose name is not in tried. It reports false when there is none.
	Choose(shard uint32, holders []*cataloguer.Leaf, tried []string, now time.Time) (Target, bool)
	// Trigger returns the age at which a call is hedged; zero disables hedging.
	Trigger() time.Duration
	// Primary adds the hedge and retry budget that n primary calls earn.
	Primary(n int)
	// Hedge and Retry take the budget for one call and report whether there was enough.
	Hedge(shard uint32) bool
	Retry(shard uint32) bool
}

// Package acceptor answers callers' queries: it checks a request, runs its planner and gives the one reply.
package acceptor

import (
	"context"
	"sync/atomic"
	"time"

	tally "github.com/uber-go/tally/v4"

	"lycheelift.example/entryd/dispatcher"
	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/balancer"
	"lycheelift.example/lib/budgeter"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/estimator"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/quarantiner"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Dispatcher sends leaf calls to the hosts that own the leaves.
type Dispatcher interface {
	Send(owner string, call *peerv1.Call, box *dispatcher.Mailbox)
	Cancel(owner, attempt string)
}

// Owners knows which host owns a leaf.
type Owners interface {
	Owner(leaf *cataloguer.Leaf) (host string, ok bool)
	// Hint notes the owner that another host has named.
	Hint(leaf, host string)
}

// Isolator keeps requests that crash backend servers away from them.
type Isolator interface {
	// Enter decides how a request runs, waiting at most until ctx ends.
	Enter(ctx context.Context, fingerprint uint64, probe bool) quarantiner.Ticket
	// Leave ends the canary that a ticket stands for; it may be called twice.
	Leave(fingerprint uint64, ticket quarantiner.Ticket)
	// Cleared notes a good reply.
	Cleared(fingerprint uint64)
	// Crashed notes a crash and calls done when the other hosts know.
	Crashed(fingerprint uint64, call *planner.Call, done func())
}

// Acceptor serves the query service. It is safe for concurrent use.
type Acceptor struct {
	host        string
	center      string
	incarnation int64
	sequence    atomic.Uint64
	running     atomic.Int64

	table    *cataloguer.Table
	cache    *cataloguer.Cache
	follow   *follower.Follower
	dispatch Dispatcher
	owners   Owners
	submit   Submitter
	record   Recorder
	isolate  Isolator
	clock    func() time.Time

	balance  *balancer.Table
	estimate *estimator.Estimator
	budget   *budgeter.Budgeter
	metrics  *metrics

	traces string
	traced atomic.Int64

	body    int
	queries int64
	timeout time.Duration
}

// Option changes an acceptor.
type Option func(*Acceptor)

// WithBody sets the largest request body, in bytes.
func WithBody(n int) Option {
	return func(a *Acceptor) { a.body = n }
}

// WithQueries sets the most queries at one time.
func WithQueries(n int) Option {
	return func(a *Acceptor) { a.queries = int64(n) }
}

// WithTimeout sets the deadline of queries that carry none.
func WithTimeout(d time.Duration) Option {
	return func(a *Acceptor) { a.timeout = d }
}

// WithOwners sets what knows the owners of leaves; the default is the static rendezvous order.
func WithOwners(o Owners) Option {
	return func(a *Acceptor) { a.owners = o }
}

// WithIsolator sets what keeps harmful requests away; without it every request runs as usual.
func WithIsolator(i Isolator) Option {
	return func(a *Acceptor) { a.isolate = i }
}

// WithTraces sets the folder for traces of queries that are not answered whole; empty keeps none.
func WithTraces(folder string) Option {
	return func(a *Acceptor) { a.traces = folder }
}

// WithScope sets where metrics are counted.
func WithScope(s tally.Scope) Option {
	return func(a *Acceptor) { a.metrics = newMetrics(s) }
}

// Defaults of an acceptor.
const (
	defaultBody    = 1 << 20
	defaultQueries = 4096
	defaultTimeout = time.Second
)

// New returns an acceptor for the named host of a data centre.
func New(host, center string, table *cataloguer.Table, follow *follower.Follower, dispatch Dispatcher, clock func() time.Time, options ...Option) *Acceptor {
	a := &Acceptor{
		host: host, center: center, incarnation: clock().UnixNano(),
		table: table, cache: cataloguer.NewCache(table), follow: follow, dispatch: dispatch, clock: clock,
		owners:  NewRendezvous(follow),
		balance: balancer.New(), estimate: estimator.New(), budget: budgeter.New(), metrics: newMetrics(tally.NoopScope),
		body: defaultBody, queries: defaultQueries, timeout: defaultTimeout,
	}
	for _, o := range options {
		o(a)
	}
	return a
}

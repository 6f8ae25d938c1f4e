// Package acceptor serves callers' queries: it validates a request, drives the planner of the query and returns exactly
// one reply.
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

// Owners maps leaves to the hosts that own them.
type Owners interface {
	Owner(leaf *cataloguer.Leaf) (host string, ok bool)
	// Hint records an owner that another host reported.
	Hint(leaf, host string)
}

// Isolator keeps requests that crash backend servers away from them.
type Isolator interface {
	// Enter decides how a request runs. It may block until ctx is done.
	Enter(ctx context.Context, fingerprint uint64, probe bool) quarantiner.Ticket
	// Leave ends the canary run of a ticket. Calling it twice is safe.
	Leave(fingerprint uint64, ticket quarantiner.Ticket)
	// Cleared records that the request was answered without a crash.
	Cleared(fingerprint uint64)
	// Crashed records a crash and calls done when the reports to the other hosts have ended.
	Crashed(fingerprint uint64, call *planner.Call, done func())
}

// Acceptor serves the query service. It is safe for concurrent use.
type Acceptor struct {
	host        string
	center      string
	incarnation int64
	sequence    atomic.Uint64
	active      atomic.Int64

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

	traceFolder   string
	tracesWritten atomic.Int64

	maxBody    int
	maxQueries int64
	timeout    time.Duration
}

// Option configures an Acceptor.
type Option func(*Acceptor)

// WithMaxBody sets the maximum size of a request body, in bytes.
func WithMaxBody(n int) Option {
	return func(a *Acceptor) { a.maxBody = n }
}

// WithMaxConcurrentQueries sets the maximum number of concurrent queries.
func WithMaxConcurrentQueries(n int) Option {
	return func(a *Acceptor) { a.maxQueries = int64(n) }
}

// WithDefaultTimeout sets the timeout of queries that carry no deadline.
func WithDefaultTimeout(d time.Duration) Option {
	return func(a *Acceptor) { a.timeout = d }
}

// WithOwners sets the lookup of leaf owners. The default is the static rendezvous order.
func WithOwners(o Owners) Option {
	return func(a *Acceptor) { a.owners = o }
}

// WithIsolator sets the isolator of requests that crash backend servers. Without it every request runs normally.
func WithIsolator(i Isolator) Option {
	return func(a *Acceptor) { a.isolate = i }
}

// WithTraces sets the folder in which traces of incompletely answered queries are written. If empty, none are written.
func WithTraces(folder string) Option {
	return func(a *Acceptor) { a.traceFolder = folder }
}

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option {
	return func(a *Acceptor) { a.metrics = newMetrics(s) }
}

const (
	defaultMaxBody    = 1 << 20
	defaultMaxQueries = 4096
	defaultTimeout    = time.Second
)

// New returns an acceptor for the given host of the data centre center.
func New(host, center string, table *cataloguer.Table, follow *follower.Follower, dispatch Dispatcher, clock func() time.Time, options ...Option) *Acceptor {
	a := &Acceptor{
		host: host, center: center, incarnation: clock().UnixNano(),
		table: table, cache: cataloguer.NewCache(table), follow: follow, dispatch: dispatch, clock: clock,
		owners:  NewRendezvous(follow),
		balance: balancer.New(), estimate: estimator.New(), budget: budgeter.New(), metrics: newMetrics(tally.NoopScope),
		maxBody: defaultMaxBody, maxQueries: defaultMaxQueries, timeout: defaultTimeout,
	}
	for _, o := range options {
		o(a)
	}
	return a
}

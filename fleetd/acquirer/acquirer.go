// Package acquirer obtains tokens for requests of tenants with a quota from the coordinator of quotas, through the control host
// that this entry host follows.
package acquirer

import (
	"context"
	"errors"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"lycheelift.example/fleetd/linker"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/quoter"
	"lycheelift.example/lib/repeater"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// maxWait bounds the wait for a token, and targetDivisor limits it to a fraction of the route's target, so that a request
	// that gets none is rejected before a quarter of its target has passed.
	maxWait       = 250 * time.Millisecond
	targetDivisor = 5
	// hedgeDelay is the time without an answer after which the tokens are asked for by another control host too: twice a usual
	// call. A lost packet or a frozen control host delays an answer by 200 ms or more.
	hedgeDelay = 8 * time.Millisecond
	// sweepInterval is the time between checks whether something is to be asked without a request that waits.
	sweepInterval = 50 * time.Millisecond
	// acquireTimeout bounds a call. Its answer is of use for the stock after the requests that waited for it have been refused.
	acquireTimeout = 500 * time.Millisecond
	// maxFlights bounds the calls in progress.
	maxFlights = 4
	// silenceTimeout is the time without an answer after which the connection is replaced and event 5027 is logged.
	silenceTimeout = 200 * time.Millisecond
	// failurePause is the wait after a failed call before the next one. All hosts call while there is no leader, and must leave the
	// control hosts time to elect one.
	failurePause = 25 * time.Millisecond
	// electionWait is the retry delay of requests that were refused because no coordinator has answered for silenceTimeout: an
	// election usually takes so long.
	electionWait = time.Second
	// lateWait is the retry delay while the coordinator may only be late: it has answered within silenceTimeout.
	lateWait = 250 * time.Millisecond
)

// errNoControl means that no control host is followed yet.
var errNoControl = errors.New("no control host is followed")

// Outcome is the result for one request.
type Outcome int

// Outcomes.
const (
	// Permitted means that the request may run.
	Permitted Outcome = iota + 1
	// OverQuota means that the coordinator has no token for the tenant.
	OverQuota
	// Unavailable means that no coordinator can be asked.
	Unavailable
)

// Permit is the result for one request. RetryAfter is set unless the request may run.
type Permit struct {
	Outcome    Outcome
	RetryAfter time.Duration
	token      quoter.Token
}

// Acquirer obtains tokens. It is safe for concurrent use.
type Acquirer struct {
	// control returns the address of the control host that is followed, empty if there is none, and others returns those of
	// the other control hosts.
	control func() string
	others  func() []string
	// bootClock also counts the time for which the host was suspended.
	bootClock func() time.Time
	metrics   *metrics

	mu      sync.Mutex
	stock   *quoter.Stock
	waiting map[uint64]chan quoter.Verdict
	flights int
	// unanswered is the sending time of the first call since the last answer, or since the connection was replaced; zero after
	// an answer. silent is the sending time of the first call without an answer when event 5027 was logged, otherwise zero.
	unanswered, silent time.Time
	// followed is the connection to the control host that is followed, and other one to another control host.
	followed, other linker.Link
	// turn counts the hedges that failed; it chooses the other control host.
	turn int
}

type metrics struct {
	stocked, acquired, denied, unavailable, returned, calls, failures, hedges tally.Counter
}

// Option configures an Acquirer.
type Option func(*Acquirer)

// WithOthers sets the function that returns the addresses of the control hosts that are not followed.
func WithOthers(others func() []string) Option {
	return func(a *Acquirer) { a.others = others }
}

// WithScope sets the scope in which metrics are reported.
func WithScope(s tally.Scope) Option {
	return func(a *Acquirer) { a.metrics = newMetrics(s) }
}

func newMetrics(s tally.Scope) *metrics {
	tokens := func(result string) tally.Counter {
		return s.Tagged(map[string]string{"result": result}).Counter("quota_requests")
	}
	return &metrics{
		stocked: tokens("stock"), acquired: tokens("coordinator"), denied: tokens("denied"), unavailable: tokens("unavailable"),
		returned: s.Counter("quota_returned"), calls: s.Counter("quota_calls"), failures: s.Counter("quota_call_failures"),
		hedges: s.Counter("quota_hedges"),
	}
}

// New returns an acquirer without tokens.
func New(control func() string, bootClock func() time.Time, options ...Option) *Acquirer {
	a := &Acquirer{
		control: control, others: func() []string { return nil }, bootClock: bootClock, metrics: newMetrics(tally.NoopScope), stock: quoter.NewStock(),
		waiting: make(map[uint64]chan quoter.Verdict),
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// Run keeps tokens in stock for the tenants that send requests, until ctx ends.
func (a *Acquirer) Run(ctx context.Context) {
	repeater.Every(ctx, sweepInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ask()
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followed.Close()
	a.other.Close()
}

// Acquire obtains a token for a request of a tenant. target is that of its route, 0 if it has none.
func (a *Acquirer) Acquire(ctx context.Context, tenant string, target time.Duration) Permit {
	a.mu.Lock()
	if token, ok := a.stock.Take(tenant, a.bootClock()); ok {
		a.mu.Unlock()
		a.metrics.stocked.Inc(1)
		return Permit{Outcome: Permitted, token: token}
	}
	id := a.stock.Wait(tenant)
	verdicts := make(chan quoter.Verdict, 1)
	a.waiting[id] = verdicts
	a.ask()
	a.mu.Unlock()
	wait := maxWait
	if target > 0 {
		wait = min(wait, target/targetDivisor)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case v := <-verdicts:
		return a.permit(v)
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case v := <-verdicts: // It came in the meantime.
		return a.permit(v)
	default:
	}
	delete(a.waiting, id)
	a.stock.Cancel(id)
	a.metrics.unavailable.Inc(1)
	if a.silent.IsZero() && a.control() != "" {
		return Permit{Outcome: Unavailable, RetryAfter: lateWait}
	}
	return Permit{Outcome: Unavailable, RetryAfter: electionWait}
}

// permit converts a verdict.
func (a *Acquirer) permit(v quoter.Verdict) Permit {
	switch {
	case v.Granted:
		a.metrics.acquired.Inc(1)
		return Permit{Outcome: Permitted, token: v.Token}
	case v.RetryAfter > 0:
		a.metrics.denied.Inc(1)
		return Permit{Outcome: OverQuota, RetryAfter: v.RetryAfter}
	}
	a.metrics.unavailable.Inc(1)
	return Permit{Outcome: Unavailable, RetryAfter: electionWait}
}

// State is what a host knows of a tenant's quota.
type State struct {
	// Tokens is the number of valid tokens in stock, and Left the time until the first of them expire, 0 if there are none.
	Tokens int
	Left   time.Duration
	// Silence is the time since the first call that no coordinator has answered, 0 if the latest ones were answered.
	Silence time.Duration
	// Isolated is true if this host follows no control host and knows no other one, so that no coordinator can be asked.
	Isolated bool
}

// Inspect returns the state of a tenant's quota. It asks no coordinator, counts no request and changes nothing.
func (a *Acquirer) Inspect(tenant string) State {
	out := State{Isolated: a.control() == "" && len(a.others()) == 0}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.bootClock()
	tokens, expires := a.stock.Inspect(tenant, now)
	if out.Tokens = tokens; tokens > 0 {
		out.Left = expires.Sub(now)
	}
	if !a.silent.IsZero() {
		out.Silence = now.Sub(a.silent)
	}
	return out
}

// Unavailability returns the permit of a request for which no coordinator can be asked.
func Unavailability() Permit {
	return Permit{Outcome: Unavailable, RetryAfter: electionWait}
}

// Release returns the token of a request that has not run and never will.
func (a *Acquirer) Release(p Permit) {
	a.metrics.returned.Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stock.Release(p.token, a.bootClock())
}

// ask starts a call to the coordinator if one is due. The caller must hold a.mu.
func (a *Acquirer) ask() {
	now := a.bootClock()
	if !a.unanswered.IsZero() && now.Sub(a.unanswered) >= silenceTimeout {
		a.reportSilence(now)
	}
	if a.flights >= maxFlights {
		return
	}
	f := a.stock.Next(now)
	if f == nil {
		return
	}
	if a.unanswered.IsZero() {
		a.unanswered = now
	}
	a.flights++
	conn, err := a.dial()
	go a.call(f, conn, err)
	if len(a.waiting) > 0 {
		time.AfterFunc(hedgeDelay, func() { a.hedge(f) })
	}
}

// dial returns the connection to the control host that is followed.
func (a *Acquirer) dial() (*grpc.ClientConn, error) {
	address := a.control()
	if address == "" {
		return nil, errNoControl
	}
	return a.followed.Dial(address)
}

// hedge asks another control host for the tokens that a call has not brought yet.
func (a *Acquirer) hedge(f *quoter.Flight) {
	a.mu.Lock()
	defer a.mu.Unlock()
	others := a.others()
	if len(others) == 0 {
		return
	}
	second := a.stock.Hedge(f, a.bootClock())
	if second == nil {
		return
	}
	conn, err := a.other.Dial(others[a.turn%len(others)])
	if err == nil {
		a.metrics.hedges.Inc(1)
		go a.callOther(second, conn)
	}
}

// callOther sends a hedge and processes its answer. After a failure the next one goes to another control host.
func (a *Acquirer) callOther(f *quoter.Flight, conn *grpc.ClientConn) {
	response, err := acquire(f, conn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.turn++
		a.stock.Fail(f, a.bootClock())
		return
	}
	a.deliver(f, response)
}

// reportSilence logs that no coordinator answers, and closes the connection: the network may have lost its state. The caller
// must hold a.mu.
func (a *Acquirer) reportSilence(now time.Time) {
	if a.silent.IsZero() {
		a.silent = a.unanswered
		eventer.CoordinatorSilent.Log(now, "control", a.followed.Address())
	}
	a.unanswered = now
	a.followed.Close()
}

// acquire sends a request to the coordinator.
func acquire(f *quoter.Flight, conn *grpc.ClientConn) (*quoter.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	// A connection that is being opened is waited for, as the call's timeout permits.
	out, err := peerv1.NewQuotaServiceClient(conn).Acquire(ctx, quoter.EncodeRequest(f.Request), grpc.WaitForReady(true))
	if err != nil {
		return nil, err
	}
	return quoter.DecodeResponse(out)
}

// call sends a request to the coordinator and processes its answer.
func (a *Acquirer) call(f *quoter.Flight, conn *grpc.ClientConn, err error) {
	a.metrics.calls.Inc(1)
	var response *quoter.Response
	if err == nil {
		response, err = acquire(f, conn)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flights--
	now := a.bootClock()
	if err != nil {
		a.metrics.failures.Inc(1)
		a.stock.Fail(f, now)
		time.AfterFunc(failurePause, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.ask()
		})
		return
	}
	if !a.silent.IsZero() {
		eventer.CoordinatorAnswered.Log(now, "control", a.followed.Address(), "silent", now.Sub(a.silent))
	}
	a.unanswered, a.silent = time.Time{}, time.Time{}
	a.deliver(f, response)
	a.ask()
}

// deliver passes the results of an answer to the requests that wait for them. The caller must hold a.mu.
func (a *Acquirer) deliver(f *quoter.Flight, response *quoter.Response) {
	for _, v := range a.stock.Answer(f, response, a.bootClock()) {
		if waiting, ok := a.waiting[v.ID]; ok {
			delete(a.waiting, v.ID)
			waiting <- v
		}
	}
}

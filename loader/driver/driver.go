// Package driver sends open-loop load to entry hosts and records the replies.
package driver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"

	"lycheelift.example/lib/transporter"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/lycheelift/caller/v1/callerv1connect"
)

// Largest value and precision of the latency histogram.
const (
	maxLatencyMicros  = int64(60 * time.Second / time.Microsecond)
	significantDigits = 3
)

// Load describes one load run.
type Load struct {
	// Name labels the run in the report.
	Name string
	// Services are queried in turn.
	Services []string
	Tenant   string
	Body     string
	// Distinct is the number of different bodies, which are sent in turn. With 1, Body is sent unchanged.
	Distinct int
	Entries  []string
	// Rate is the number of queries per second. Queries are sent on schedule even if earlier ones are still open.
	Rate        float64
	Duration    time.Duration
	Deadline    time.Duration
	MinCoverage float64
}

// Result is the result of a load run.
type Result struct {
	Name       string                  `json:"name"`
	Sent       int64                   `json:"sent"`
	Complete   int64                   `json:"whole"`
	Partial    int64                   `json:"partial"`
	Failed     int64                   `json:"failed"`
	Reasons    map[string]int64        `json:"reasons"`
	Coverage   float64                 `json:"coverage"`
	Mismatched int64                   `json:"crossed"`
	Latency    *hdrhistogram.Histogram `json:"-"`
}

// Driver sends load to entry hosts.
type Driver struct {
	client   *http.Client
	security *transporter.Security
}

// New returns a driver that uses the TLS identity of a caller.
func New(security *transporter.Security) *Driver {
	const pingInterval = 5 * time.Second
	return &Driver{security: security, client: security.Client(transporter.PingPolicy{Interval: pingInterval, Timeout: pingInterval})}
}

// resultCollector accumulates the result of one load run.
type resultCollector struct {
	mu          sync.Mutex
	result      *Result
	coverageSum float64
}

// Run sends the load and waits for every reply. Latency is measured from the time at which a query was scheduled, so that
// it includes delays of the sender.
func (d *Driver) Run(ctx context.Context, load Load) *Result {
	r := &resultCollector{result: &Result{
		Name: load.Name, Reasons: make(map[string]int64),
		Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}}
	clients := make([]callerv1connect.QueryServiceClient, 0, len(load.Entries))
	for _, e := range load.Entries {
		clients = append(clients, callerv1connect.NewQueryServiceClient(d.client, d.security.URL(e)))
	}
	total := int(load.Rate * load.Duration.Seconds())
	start := time.Now()
	var wait sync.WaitGroup
	var sequence atomic.Int64
	for i := range total {
		due := start.Add(time.Duration(float64(i) / load.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			wait.Wait()
			return r.finish()
		case <-time.After(time.Until(due)):
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			n := sequence.Add(1)
			r.sendQuery(ctx, clients[int(n)%len(clients)], load, n, due)
		}()
	}
	wait.Wait()
	return r.finish()
}

func (r *resultCollector) sendQuery(ctx context.Context, client callerv1connect.QueryServiceClient, load Load, n int64, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(load.Deadline))
	defer cancel()
	body := load.Body
	if load.Distinct > 1 {
		body = fmt.Sprintf("%s-%d", load.Body, n%int64(load.Distinct))
	}
	id := fmt.Sprintf("%s-%d", load.Name, n)
	out, err := client.Query(ctx, &callerv1.QueryRequest{Id: id, Service: load.Services[int(n)%len(load.Services)], Body: []byte(body), Least: load.MinCoverage, Tenant: load.Tenant})
	r.record(id, out, err, time.Since(due))
}

func (r *resultCollector) record(id string, out *callerv1.QueryResponse, err error, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	if err != nil {
		r.result.Failed++
		r.result.Reasons[failureReason(err)]++
		return
	}
	_ = r.result.Latency.RecordValue(max(1, latency.Microseconds()))
	if out.GetId() != id {
		r.result.Mismatched++
	}
	r.coverageSum += float64(out.GetCoverage().GetAnswered()) / float64(out.GetCoverage().GetTotal())
	if out.GetOutcome() == callerv1.Outcome_OUTCOME_WHOLE {
		r.result.Complete++
		return
	}
	r.result.Partial++
	for _, m := range out.GetCoverage().GetMissing() {
		r.result.Reasons["missing "+m.GetReason().String()]++
	}
}

// finish computes the mean coverage of all queries sent. A failed query has a coverage of 0.
func (r *resultCollector) finish() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result.Sent > 0 {
		r.result.Coverage = r.coverageSum / float64(r.result.Sent)
	}
	return r.result
}

// failureReason returns the reason given in an error's refusal, or else its Connect code. Errors of other kinds are
// returned as text.
func failureReason(err error) string {
	var c *connect.Error
	if !errors.As(err, &c) {
		return err.Error()
	}
	for _, detail := range c.Details() {
		if value, e := detail.Value(); e == nil {
			if refusal, ok := value.(*callerv1.Refusal); ok {
				return refusal.GetReason().String()
			}
		}
	}
	return c.Code().String()
}

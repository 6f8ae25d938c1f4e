// Package driver sends open-loop load to entry hosts and records what comes back.
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

// Bounds of the latency histogram.
const (
	histogramMost   = int64(60 * time.Second / time.Microsecond)
	histogramDigits = 3
)

// Load describes the load of one run.
type Load struct {
	// Name labels the run in the report.
	Name string
	// Services are asked in turn.
	Services []string
	Tenant   string
	Body     string
	// Distinct is the number of different bodies in turn; 1 sends Body as it is.
	Distinct int
	Entries  []string
	// Rate is the number of queries a second, sent on time whether or not earlier ones have ended.
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	Least    float64
}

// Result is what a run showed.
type Result struct {
	Name     string                  `json:"name"`
	Sent     int64                   `json:"sent"`
	Whole    int64                   `json:"whole"`
	Partial  int64                   `json:"partial"`
	Failed   int64                   `json:"failed"`
	Reasons  map[string]int64        `json:"reasons"`
	Coverage float64                 `json:"coverage"`
	Crossed  int64                   `json:"crossed"`
	Latency  *hdrhistogram.Histogram `json:"-"`
}

// Driver runs loads.
type Driver struct {
	client *http.Client
	secure *transporter.Security
}

// New returns a driver with a caller's TLS identity.
func New(secure *transporter.Security) *Driver {
	const silence = 5 * time.Second
	return &Driver{secure: secure, client: secure.Client(transporter.Silence{Idle: silence, Answer: silence})}
}

// run collects the results of one load.
type run struct {
	mu       sync.Mutex
	result   *Result
	answered float64
}

// Run sends the load and waits for every reply. Latency counts from the time at which a query was due,
// so that a stall of the sender is not left out.
func (d *Driver) Run(ctx context.Context, load Load) *Result {
	r := &run{result: &Result{
		Name: load.Name, Reasons: make(map[string]int64),
		Latency: hdrhistogram.New(1, histogramMost, histogramDigits),
	}}
	clients := make([]callerv1connect.QueryServiceClient, 0, len(load.Entries))
	for _, e := range load.Entries {
		clients = append(clients, callerv1connect.NewQueryServiceClient(d.client, d.secure.URL(e)))
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
			return r.end()
		case <-time.After(time.Until(due)):
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			n := sequence.Add(1)
			r.ask(ctx, clients[int(n)%len(clients)], load, n, due)
		}()
	}
	wait.Wait()
	return r.end()
}

func (r *run) ask(ctx context.Context, client callerv1connect.QueryServiceClient, load Load, n int64, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(load.Deadline))
	defer cancel()
	body := load.Body
	if load.Distinct > 1 {
		body = fmt.Sprintf("%s-%d", load.Body, n%int64(load.Distinct))
	}
	id := fmt.Sprintf("%s-%d", load.Name, n)
	out, err := client.Query(ctx, &callerv1.QueryRequest{Id: id, Service: load.Services[int(n)%len(load.Services)], Body: []byte(body), Least: load.Least, Tenant: load.Tenant})
	r.note(id, out, err, time.Since(due))
}

func (r *run) note(id string, out *callerv1.QueryResponse, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	if err != nil {
		r.result.Failed++
		r.result.Reasons[reason(err)]++
		return
	}
	_ = r.result.Latency.RecordValue(max(1, took.Microseconds()))
	if out.GetId() != id {
		r.result.Crossed++
	}
	r.answered += float64(out.GetCoverage().GetAnswered()) / float64(out.GetCoverage().GetTotal())
	if out.GetOutcome() == callerv1.Outcome_OUTCOME_WHOLE {
		r.result.Whole++
		return
	}
	r.result.Partial++
	for _, m := range out.GetCoverage().GetMissing() {
		r.result.Reasons["missing "+m.GetReason().String()]++
	}
}

// end computes the mean coverage over all queries sent; a failed query covers nothing.
func (r *run) end() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result.Sent > 0 {
		r.result.Coverage = r.answered / float64(r.result.Sent)
	}
	return r.result
}

// reason returns the stated reason of an error, else the protocol's code.
func reason(err error) string {
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

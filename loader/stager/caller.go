package stager

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/lycheelift/caller/v1/callerv1connect"
)

// LoadGenerator sends queries in turn to the hosts that report ready, as the load balancer of the platform does.
type LoadGenerator struct {
	d      *Deployment
	ready  []atomic.Bool
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex
	sent     int
	failures map[string]int
	maxAge   time.Duration
}

const (
	// readinessInterval is the time between two readiness checks of a host.
	readinessInterval = 100 * time.Millisecond
	// queryTimeout is far above any expected latency, so that queries do not time out only because the machine is busy.
	queryTimeout = 10 * time.Second
)

// StartLoad starts to send load at a rate in queries per second. Stop ends it.
func (d *Deployment) StartLoad(ctx context.Context, rate int) *LoadGenerator {
	ctx, cancel := context.WithCancel(ctx)
	c := &LoadGenerator{d: d, cancel: cancel, ready: make([]atomic.Bool, len(d.Hosts)), failures: make(map[string]int)}
	for i, h := range d.Hosts {
		c.ready[i].Store(d.Ready(ctx, h))
		c.wait.Go(func() {
			for ctx.Err() == nil {
				c.ready[i].Store(d.Ready(ctx, h))
				time.Sleep(readinessInterval)
			}
		})
	}
	c.wait.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if h := c.pickReady(n); h != nil {
				c.wait.Go(func() { c.sendQuery(context.WithoutCancel(ctx), h, n) })
			} else {
				c.record("no host is ready", 0)
			}
		}
	})
	return c
}

func (c *LoadGenerator) pickReady(n int) *Host {
	for i := range c.d.Hosts {
		j := (n + i) % len(c.d.Hosts)
		if c.ready[j].Load() {
			return c.d.Hosts[j]
		}
	}
	return nil
}

func (c *LoadGenerator) sendQuery(ctx context.Context, h *Host, n int) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	out, err := callerv1connect.NewQueryServiceClient(c.d.client, "http://"+h.CallerAddress).Query(ctx, &callerv1.QueryRequest{
		Id: fmt.Sprint(n), Service: "desk", Body: []byte("name=Lotca"),
	})
	switch {
	case err != nil:
		var e *connect.Error
		text := err.Error()
		if errors.As(err, &e) {
			text = e.Message()
		}
		c.record("failed at "+h.Name+": "+text, 0)
	case out.GetOutcome() != callerv1.Outcome_OUTCOME_WHOLE:
		c.record(fmt.Sprintf("partial at %s: %v", h.Name, out.GetCoverage().GetMissing()), out.GetAge().AsDuration())
	default:
		c.record("", out.GetAge().AsDuration())
	}
}

func (c *LoadGenerator) record(failure string, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.maxAge = max(c.maxAge, age)
	if failure != "" {
		c.failures[failure]++
	}
}

// Failures returns the numbers of failed and partial queries so far, by cause.
func (c *LoadGenerator) Failures() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.failures)
}

// Stop ends the load and waits for every reply. It returns the number of queries sent, the numbers of failed and partial
// queries by cause, and the largest age of a configuration in any reply.
func (c *LoadGenerator) Stop() (int, map[string]int, time.Duration) {
	c.cancel()
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.failures, c.maxAge
}

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

// Caller sends queries in turn to the hosts that say that they are ready, as the platform's balancer does.
type Caller struct {
	d      *Deployment
	ready  []atomic.Bool
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	sent    int
	faults  map[string]int
	largest time.Duration
}

const (
	// readyInterval is the time between two looks at a host's readiness.
	readyInterval = 100 * time.Millisecond
	// deadline is far above any latency, so that a loaded machine does not fail queries that the system would answer.
	deadline = 10 * time.Second
)

// Call starts the load, in queries a second. Stop ends it.
func (d *Deployment) Call(ctx context.Context, rate int) *Caller {
	ctx, cancel := context.WithCancel(ctx)
	c := &Caller{d: d, cancel: cancel, ready: make([]atomic.Bool, len(d.Hosts)), faults: make(map[string]int)}
	for i, h := range d.Hosts {
		c.ready[i].Store(d.Ready(ctx, h))
		c.wait.Go(func() {
			for ctx.Err() == nil {
				c.ready[i].Store(d.Ready(ctx, h))
				time.Sleep(readyInterval)
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
			if h := c.pick(n); h != nil {
				c.wait.Go(func() { c.ask(context.WithoutCancel(ctx), h, n) })
			} else {
				c.note("no host is ready", 0)
			}
		}
	})
	return c
}

func (c *Caller) pick(n int) *Host {
	for i := range c.d.Hosts {
		j := (n + i) % len(c.d.Hosts)
		if c.ready[j].Load() {
			return c.d.Hosts[j]
		}
	}
	return nil
}

func (c *Caller) ask(ctx context.Context, h *Host, n int) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	out, err := callerv1connect.NewQueryServiceClient(c.d.client, "http://"+h.Callers).Query(ctx, &callerv1.QueryRequest{
		Id: fmt.Sprint(n), Service: "desk", Body: []byte("name=Lotca"),
	})
	switch {
	case err != nil:
		var e *connect.Error
		text := err.Error()
		if errors.As(err, &e) {
			text = e.Message()
		}
		c.note("failed at "+h.Name+": "+text, 0)
	case out.GetOutcome() != callerv1.Outcome_OUTCOME_WHOLE:
		c.note(fmt.Sprintf("partial at %s: %v", h.Name, out.GetCoverage().GetMissing()), out.GetAge().AsDuration())
	default:
		c.note("", out.GetAge().AsDuration())
	}
}

func (c *Caller) note(fault string, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.largest = max(c.largest, age)
	if fault != "" {
		c.faults[fault]++
	}
}

// Faults returns a copy of the failed and partial queries so far, by cause.
func (c *Caller) Faults() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.faults)
}

// Stop ends the load, waits for every reply and returns the number sent, the faults by cause and the largest age stated.
func (c *Caller) Stop() (int, map[string]int, time.Duration) {
	c.cancel()
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.faults, c.largest
}

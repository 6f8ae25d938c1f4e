// Package confirmer keeps the state of an entry host confirmed by the control hosts, so that API keys that have been removed
// open nothing on a host that is cut off, was frozen or suspended, or has just started.
package confirmer

import (
	"context"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"

	"lycheelift.example/fleetd/follower"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/timekeeper"
	"lycheelift.example/lib/verifier"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Viewer provides the state of this host. A view is never older than an earlier one.
type Viewer interface {
	View() *follower.View
}

// Source names the control host that this host follows.
type Source interface {
	// Followed returns its address, empty before the first, and a channel that is closed when one is followed next.
	Followed() (string, <-chan struct{})
}

// Control asks control hosts for the position of the newest state. An urgent call is answered as soon as possible.
type Control interface {
	Confirm(ctx context.Context, address string, urgent bool) (*peerv1.ConfirmResponse, error)
}

// Confirmer decides whether this host's state may be relied on. It is safe for concurrent use.
type Confirmer struct {
	viewer  Viewer
	source  Source
	control Control
	clock   func() time.Time
	// uptime is a clock that counts the time for which the system was suspended.
	uptime  func() time.Duration
	metrics metrics
	// wake makes Run look at the verifier again.
	wake chan struct{}

	mu       sync.Mutex
	verifier *verifier.Verifier
	failure  error
}

type metrics struct {
	answered, failed tally.Counter
	// confirmed is 1 while the state is confirmed, and age the time in seconds since the moment as of which it is.
	confirmed, age tally.Gauge
}

// Option configures a Confirmer.
type Option func(*Confirmer)

// WithScope sets the scope in which metrics are reported.
func WithScope(s tally.Scope) Option {
	return func(c *Confirmer) { c.metrics = newMetrics(s) }
}

// WithUptime sets the clock that counts the time for which the system was suspended.
func WithUptime(uptime func() time.Duration) Option {
	return func(c *Confirmer) { c.uptime = uptime }
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		answered:  s.Tagged(map[string]string{"result": "answered"}).Counter("confirm_calls"),
		failed:    s.Tagged(map[string]string{"result": "failed"}).Counter("confirm_calls"),
		confirmed: s.Gauge("confirmed"), age: s.Gauge("confirmation_age_seconds"),
	}
}

// New returns a confirmer of an unconfirmed state. Revoke is the time after the acknowledgement of a configuration after
// which the keys that it removed must open nothing. Clock is used for log lines only.
func New(revoke time.Duration, viewer Viewer, source Source, control Control, clock func() time.Time, options ...Option) *Confirmer {
	c := &Confirmer{
		viewer: viewer, source: source, control: control, clock: clock, uptime: timekeeper.SinceBoot, metrics: newMetrics(tally.NoopScope),
		wake: make(chan struct{}, 1), verifier: verifier.New(revoke),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Confirmed reports whether a view that is taken after the call may be relied on.
func (c *Confirmer) Confirmed() bool {
	now := c.uptime()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold()
	return c.verifier.Confirmed(now)
}

// hold tells the verifier which state this host holds. The caller must hold c.mu.
func (c *Confirmer) hold() {
	view := c.viewer.View()
	c.verifier.Hold(verifier.Position{Version: view.Version(), Index: view.Index})
}

// Serves reports whether this host can serve all routes of its configuration: the state is confirmed, or no route needs a
// key.
func (c *Confirmer) Serves() bool {
	table := c.viewer.View().Table
	return table == nil || !table.NeedsKeys() || c.Confirmed()
}

// Run keeps the state confirmed until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	confirmed := false
	for {
		address, changed := c.source.Followed()
		wait := idleWait
		if address != "" && c.isNeeded() {
			wait = c.send(ctx, address)
		}
		confirmed = c.observe(confirmed, address)
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.wake:
		case <-changed:
			c.mu.Lock()
			c.verifier.Follow(c.uptime())
			c.mu.Unlock()
		}
	}
}

// idleWait is the time between two checks whether a confirmation is needed. It delays the service of a host that has just
// received its configuration.
const idleWait = 20 * time.Millisecond

// isNeeded reports whether this host holds a configuration with routes that need a key. Without one there is nothing to confirm, and
// hundreds of hosts that start together would keep the control hosts from electing a leader.
func (c *Confirmer) isNeeded() bool {
	table := c.viewer.View().Table
	return table != nil && table.NeedsKeys()
}

// send sends a call if one is due. It returns the time until the next one is.
func (c *Confirmer) send(ctx context.Context, address string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.uptime()
	call, due := c.verifier.Send(now)
	wait, timeout, urgent := c.verifier.Wait(now), c.verifier.Timeout(), !c.verifier.Confirmed(now)
	if !due {
		return wait
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		answer, err := c.control.Confirm(ctx, address, urgent)
		c.receive(call, answer, err)
	}()
	return wait
}

// receive passes the result of a call to the verifier.
func (c *Confirmer) receive(call uint64, answer *peerv1.ConfirmResponse, err error) {
	c.mu.Lock()
	c.failure = err
	if err != nil {
		c.metrics.failed.Inc(1)
		c.verifier.Fail(call, c.uptime())
	} else {
		c.metrics.answered.Inc(1)
		c.hold()
		c.verifier.Answer(call, verifier.Position{Version: answer.GetVersion(), Index: answer.GetIndex()})
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // Run is about to look anyway.
	}
}

// observe reports the state in metrics and logs its changes. It returns whether the state is confirmed.
func (c *Confirmer) observe(before bool, address string) bool {
	now := c.uptime()
	confirmed := c.Confirmed()
	c.mu.Lock()
	age, ever := c.verifier.Age(now)
	failure := c.failure
	c.mu.Unlock()
	c.metrics.confirmed.Update(0)
	if confirmed {
		c.metrics.confirmed.Update(1)
	}
	if ever {
		c.metrics.age.Update(age.Seconds())
	}
	switch {
	case confirmed && !before:
		eventer.ConfirmationRegained.Log(c.clock(), "control", address, "age", age, "version", c.viewer.View().Version())
	case !confirmed && before:
		text := ""
		if failure != nil {
			text = failure.Error()
		}
		eventer.ConfirmationLost.Log(c.clock(), "control", address, "age", age, "version", c.viewer.View().Version(), "error", text)
	}
	return confirmed
}

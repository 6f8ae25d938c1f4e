package follower

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lycheelift.example/fleetd/linker"
	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// retryInterval is the wait before control hosts are tried again, after a stream has ended or none could be opened.
	retryInterval = 100 * time.Millisecond
	// headStart is the delay between the connection attempts to one candidate and the next.
	headStart = 150 * time.Millisecond
	// leaderPreference is how long only a control host in contact with a leader is accepted.
	leaderPreference = 700 * time.Millisecond
	// leaderlessTimeout is how long an entry host stays with a control host that is not in contact with a leader before it
	// looks for another one.
	leaderlessTimeout = 300 * time.Millisecond
)

// Errors that end a stream.
var (
	// errNoLeader means that the control host has had no contact with a leader for leaderlessTimeout.
	errNoLeader = errors.New("the control host is not in contact with a leader")
	// errRemote means that the followed control host is remote and one in the own data centre is to be tried.
	errRemote = errors.New("the control host is in another data centre although the own data centre has one")
)

// Client follows one control host at a time and switches to another one when it fails.
type Client struct {
	follower *Follower
	host     string
	center   string
	// address is where this host gathers portions of other hosts' queries.
	address string
	seeds   func() []string
	clock   func() time.Time

	mu sync.Mutex
	// controls are the control hosts listed in the last message that had a list.
	controls []control
	home     homeBackoff
	// followed is the address of the control host followed last, empty before the first. refollowed is closed and replaced
	// whenever a control host is followed, be it the same one.
	followed   string
	refollowed chan struct{}
	counts     *linker.Counts
}

type control struct {
	address, center string
}

// NewClient returns a client that passes the messages of control hosts to a follower. address is where this host gathers
// portions of other hosts' queries, empty if it does not; seeds returns addresses of control hosts.
func NewClient(f *Follower, host, center, address string, seeds func() []string, clock func() time.Time) *Client {
	return &Client{
		follower: f, host: host, center: center, address: address, seeds: seeds, clock: clock, home: newHomeBackoff(host),
		refollowed: make(chan struct{}), counts: &linker.Counts{},
	}
}

// Run follows control hosts until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.race(ctx, c.candidates())
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// race connects to the candidates in order, each headStart after the one before, and follows the first that answers and is
// in contact with a leader, or after leaderPreference the first that answers. It returns when the stream to that one ends
// or when none answers.
func (c *Client) race(ctx context.Context, candidates []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var winner atomic.Int32
	began := c.clock()
	ended := make(chan struct{}, len(candidates))
	started := 0
	start := func() {
		number, address := int32(started+1), candidates[started] //nolint:gosec // A few candidates.
		started++
		go func() {
			claim := func(hasLeader bool) decision {
				if winner.Load() == 0 && !hasLeader && c.clock().Sub(began) < leaderPreference {
					return undecided
				}
				if winner.CompareAndSwap(0, number) || winner.Load() == number {
					return accepted
				}
				return rejected
			}
			err := c.follow(ctx, address, claim)
			if winner.Load() == number {
				cancel()
			}
			if !errors.Is(err, linker.ErrDone) && !errors.Is(err, context.Canceled) {
				eventer.ControlLost.Log(c.clock(), "control", address, "version", c.follower.View().Version(),
					"stale", c.follower.View().Age(c.clock()), "error", err.Error())
			}
			ended <- struct{}{}
		}()
	}
	running := 0
	for started < len(candidates) || running > 0 {
		if started < len(candidates) && winner.Load() == 0 && ctx.Err() == nil {
			start()
			running++
		} else if running == 0 {
			return
		}
		select {
		case <-ended:
			running--
		case <-time.After(headStart):
		}
	}
}

// decision says whether to follow a control host that has answered.
type decision int

const (
	// undecided means that a control host in contact with a leader may still answer.
	undecided decision = iota
	accepted
	// rejected means that another control host was accepted.
	rejected
)

// candidates returns the known control hosts, those of the own data centre first. Each group is rotated by the host name,
// so that different hosts start with different control hosts.
func (c *Client) candidates() []string {
	var own, others []string
	add := func(address, center string) {
		switch {
		case slices.Contains(own, address) || slices.Contains(others, address):
		case center == c.center:
			own = append(own, address)
		default:
			others = append(others, address)
		}
	}
	c.mu.Lock()
	known := c.controls
	c.mu.Unlock()
	for _, k := range known {
		add(k.address, k.center)
	}
	for _, address := range c.seeds() {
		add(address, "")
	}
	rotate(own, c.host)
	rotate(others, c.host)
	return append(own, others...)
}

// rotate rotates a list by an offset that depends on the host name.
func rotate(list []string, host string) {
	if len(list) == 0 {
		return
	}
	n := 0
	for _, b := range []byte(host) {
		n = (n*31 + int(b)) % len(list)
	}
	rotated := append(slices.Clone(list[n:]), list[:n]...)
	copy(list, rotated)
}

// follow follows one control host until it goes silent or loses contact with its leader.
// claim is called for each message and decides whether to accept the stream. The state of a control host that is not in
// contact with a leader may be older than the state that this process had before its last restart, so messages are
// buffered until the control host is accepted.
func (c *Client) follow(ctx context.Context, address string, claim func(hasLeader bool) decision) error {
	request := &peerv1.FollowRequest{Host: c.host, Center: c.center, Address: c.address, Version: c.follower.View().Version()}
	began, first := c.clock(), true
	lastLeaderContact := began
	var buffered []*peerv1.FollowResponse
	return linker.Follow(ctx, address, request, func(m *peerv1.FollowResponse) error {
		buffered = append(buffered, m)
		switch claim(m.GetSettled()) {
		case rejected:
			return linker.ErrDone
		case undecided:
			c.follower.SetIsolated(m.GetAlone(), c.clock())
			return nil
		case accepted:
		}
		now := c.clock()
		for _, m := range buffered {
			c.follower.Apply(m, now)
			if k := m.GetControls(); len(k) > 0 {
				c.setControls(k)
			}
		}
		buffered = nil
		if first {
			first = false
			c.setFollowed(address)
			eventer.ControlFollowed.Log(now, "control", address, "settled", m.GetSettled(), "index", m.GetIndex(), "leaves", len(m.GetLeaves()))
		}
		if m.GetSettled() {
			lastLeaderContact = now
		}
		if now.Sub(lastLeaderContact) >= leaderlessTimeout {
			return errNoLeader
		}
		if c.shouldReturn(address, began, now) {
			return errRemote
		}
		return nil
	})
}

// setFollowed records which control host is followed.
func (c *Client) setFollowed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followed = address
	close(c.refollowed)
	c.refollowed = make(chan struct{})
}

// Followed returns the address of the control host followed last, empty before the first, and a channel that is closed when
// a control host is followed next.
func (c *Client) Followed() (string, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followed, c.refollowed
}

// Control returns the address of the control host followed last, empty before the first.
func (c *Client) Control() string {
	address, _ := c.Followed()
	return address
}

// Others returns the addresses of the listed control hosts that are not followed. Different hosts begin with different ones.
func (c *Client) Others() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.controls))
	for _, k := range c.controls {
		if k.address != c.followed {
			out = append(out, k.address)
		}
	}
	rotate(out, c.host)
	return out
}

var errNeverFollowed = errors.New("no control host has been followed yet")

// Report reports requests that are suspected of crashing the leaves that run them to the followed control host.
func (c *Client) Report(ctx context.Context, losses []*peerv1.Loss) error {
	address := c.Control()
	if address == "" {
		return errNeverFollowed
	}
	return linker.Report(ctx, address, losses)
}

// ReportCounts sends counts of calls to services with a running rollout to the followed control host.
func (c *Client) ReportCounts(ctx context.Context, counts []*peerv1.ServiceCounts) error {
	address := c.Control()
	if address == "" {
		return errNeverFollowed
	}
	return c.counts.Send(ctx, address, counts)
}

// CloseCounts closes the connection over which counts are sent.
func (c *Client) CloseCounts() {
	c.counts.Close()
}

// shouldReturn reports whether to leave a control host of another data centre and try one in the own data centre.
func (c *Client) shouldReturn(address string, since, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.ContainsFunc(c.controls, func(k control) bool { return k.address == address && k.center == c.center }) {
		c.home.reset()
		return false
	}
	return slices.ContainsFunc(c.controls, func(k control) bool { return k.center == c.center }) && c.home.due(since, now)
}

func (c *Client) setControls(in []*peerv1.ControlHost) {
	known := make([]control, 0, len(in))
	for _, k := range in {
		known = append(known, control{address: k.GetAddress(), center: k.GetCenter()})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controls = known
}

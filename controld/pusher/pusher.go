// Package pusher sends accepted configuration versions to the entry hosts, through one host of each cell.
package pusher

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/configurator"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// checkInterval is the time between two checks for cells that are behind.
	checkInterval = 250 * time.Millisecond
	// pushTimeout bounds one push, including the relay to the other hosts of the cell.
	pushTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the wait between two pushes of one version to one cell. An unreachable host
	// costs its cell one push per maxRetryDelay.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// warnAfterTries is the number of pushes after which the hosts that are still behind are logged.
	warnAfterTries = 3
)

// Source is the configuration as this control host knows it.
type Source interface {
	// Current returns the newest accepted version.
	Current() *statev1.Version
	// Leading reports whether this host is the leader of the log; only the leader pushes.
	Leading() bool
	// Report stores the versions in force that hosts returned in response to a push.
	Report(hosts []*statev1.InForce)
}

// Dialer opens a connection to an entry host's peer address.
type Dialer interface {
	DialAddress(address string) (*grpc.ClientConn, error)
}

// Pusher pushes versions and collects the reports of versions in force. It is safe for concurrent use.
type Pusher struct {
	source Source
	dial   Dialer
	clock  func() time.Time
	wake   chan struct{}

	mu      sync.Mutex
	reports map[string]*statev1.InForce
	cells   map[string]*progress
	plan    *plan
}

// progress is the state of the pushes of one version to one cell.
type progress struct {
	number  uint64
	running bool
	tries   int
	nextTry time.Time
}

// plan is a version with the cells of its hosts.
type plan struct {
	version  *statev1.Version
	document *configurator.Document
	cells    []ranker.Cell
}

// New returns a pusher; Run starts it.
func New(source Source, dial Dialer, clock func() time.Time) *Pusher {
	return &Pusher{
		source: source, dial: dial, clock: clock, wake: make(chan struct{}, 1),
		reports: make(map[string]*statev1.InForce), cells: make(map[string]*progress),
	}
}

// Wake makes the pusher check the source immediately. Call it after a version was accepted.
func (p *Pusher) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Report stores versions in force, as reported by entry hosts when they fetch.
func (p *Pusher) Report(hosts []*statev1.InForce) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		p.reports[h.GetHost()] = h
	}
}

// InForce returns the last report of each host of the configuration, sorted by host.
func (p *Pusher) InForce() []*statev1.InForce {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*statev1.InForce, 0, len(p.reports))
	for _, r := range p.reports {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *statev1.InForce) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	return out
}

// Run pushes until ctx ends.
func (p *Pusher) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-ticker.C:
		}
		if p.source.Leading() {
			p.check(ctx)
		}
	}
}

// check starts a push to every cell that has hosts behind and whose retry delay has passed.
func (p *Pusher) check(ctx context.Context) {
	plan, err := p.currentPlan()
	if err != nil {
		eventer.PushFailed.Log(p.clock(), "error", err.Error())
		return
	}
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range plan.cells {
		behind := p.hostsBehind(c, plan.version.GetNumber())
		state := p.cellProgress(c.Name, plan.version.GetNumber())
		if len(behind) == 0 || state.running || now.Before(state.nextTry) {
			continue
		}
		state.running = true
		go p.push(ctx, plan, c, behind, state)
	}
}

// currentPlan returns the newest version with its cells. It removes the reports of hosts that the version does not
// contain.
func (p *Pusher) currentPlan() (*plan, error) {
	v := p.source.Current()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plan != nil && p.plan.version.GetNumber() == v.GetNumber() {
		return p.plan, nil
	}
	document, err := configurator.Parse(v.GetDocument())
	if err != nil {
		return nil, oops.In("pusher").Wrapf(err, "version %d", v.GetNumber())
	}
	for host := range p.reports {
		if _, ok := document.Hosts[host]; !ok {
			delete(p.reports, host)
		}
	}
	p.plan = &plan{version: v, document: document, cells: ranker.Cells(document.Placement())}
	return p.plan, nil
}

func (p *Pusher) hostsBehind(c ranker.Cell, number uint64) []string {
	var out []string
	for _, host := range c.Hosts {
		if p.reports[host].GetVersion() < number {
			out = append(out, host)
		}
	}
	return out
}

func (p *Pusher) cellProgress(cell string, number uint64) *progress {
	s, ok := p.cells[cell]
	if !ok || s.number != number {
		s = &progress{number: number}
		p.cells[cell] = s
	}
	return s
}

// push sends the version to the hosts of a cell that are behind, through the first of them that responds.
func (p *Pusher) push(ctx context.Context, plan *plan, c ranker.Cell, behind []string, state *progress) {
	rand.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] }) //nolint:gosec // Spreading load needs no secure randomness.
	for i, host := range behind {
		relay := slices.Concat(behind[:i], behind[i+1:])
		if p.sendVersion(ctx, plan, host, relay) {
			break
		}
	}
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	state.running = false
	state.nextTry = now.Add(min(minRetryDelay<<min(state.tries, 10), maxRetryDelay))
	state.tries++
	if remaining := p.hostsBehind(c, plan.version.GetNumber()); len(remaining) > 0 && state.tries == warnAfterTries {
		eventer.PushFailed.Log(now, "version", plan.version.GetNumber(), "cell", c.Name, "hosts", strings.Join(remaining, " "))
	}
}

// sendVersion sends the difference and, if the host lacks the previous version, the complete version.
func (p *Pusher) sendVersion(ctx context.Context, plan *plan, host string, relay []string) bool {
	address, ok := plan.document.Address(host)
	if !ok {
		return false
	}
	conn, err := p.dial.DialAddress(address.String())
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	peer := peerv1.NewPeerServiceClient(conn)
	change := proto.CloneOf(plan.version)
	change.Document = nil
	for _, v := range []*statev1.Version{change, plan.version} {
		out, err := peer.Apply(ctx, &peerv1.ApplyRequest{Version: v, Relay: relay})
		if err != nil {
			return false
		}
		p.Report(out.GetHosts())
		p.source.Report(out.GetHosts())
		if !p.isBehind(host, plan.version.GetNumber()) {
			return true
		}
	}
	return false
}

func (p *Pusher) isBehind(host string, number uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reports[host].GetVersion() < number
}

// Package prober runs the failure detector for the hosts of a cell over the network.
package prober

import (
	"context"
	"math"
	"sync"
	"time"

	"google.golang.org/grpc"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/detector"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/repeater"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// tickInterval is the time between two steps of the detector.
	tickInterval = 25 * time.Millisecond
	// leaveTimeout bounds the messages that announce a graceful stop to the cell.
	leaveTimeout = 500 * time.Millisecond
)

// Dialer returns connections to hosts by name.
type Dialer interface {
	Dial(host string) (*grpc.ClientConn, error)
	// Wake reconnects immediately to a host that is known to run, because a message from it has arrived.
	Wake(host string)
}

// Digester provides the hash of the cell's catalogue records. FetchHome is called when another host's hash differs.
type Digester interface {
	HomeHash() uint64
	FetchHome(host string)
}

// Prober maintains the membership of this host's cell. It is safe for concurrent use.
type Prober struct {
	self        string
	incarnation uint64
	follow      *follower.Follower
	dial        Dialer
	digest      Digester
	clock       func() time.Time

	mu     sync.RWMutex
	detect *detector.Detector
	cell   []string
}

// New returns a prober for the named host. The incarnation must increase with each start of the host.
func New(self string, incarnation uint64, follow *follower.Follower, dial Dialer, clock func() time.Time) *Prober {
	return &Prober{
		self: self, incarnation: incarnation, follow: follow, dial: dial, clock: clock,
		detect: detector.New(self, incarnation, incarnation, clock()),
	}
}

// Connect sets the digester. Call it before the host serves.
func (p *Prober) Connect(d Digester) { p.digest = d }

// Reconfigure sets the hosts of this host's cell from a view.
func (p *Prober) Reconfigure(v *follower.View) {
	cell, _ := v.Cell(p.self)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cell = cell.Hosts
	p.detect.SetHosts(cell.Hosts, p.clock())
}

// Run probes the hosts of the cell until ctx is done.
func (p *Prober) Run(ctx context.Context) {
	repeater.Every(ctx, tickInterval, func() {
		now := p.clock()
		p.mu.Lock()
		actions := p.detect.Tick(now)
		changes := p.detect.Changes()
		p.mu.Unlock()
		for _, c := range changes {
			stateEvents[c.State].Log(now, "host", c.Host, "incarnation", c.Incarnation, "before", c.Before.String())
		}
		for _, a := range actions {
			go p.perform(ctx, a)
		}
	})
}

var stateEvents = map[detector.State]eventer.Event{
	detector.Alive: eventer.HostAlive, detector.Suspect: eventer.HostSuspect,
	detector.Dead: eventer.HostDead, detector.Left: eventer.HostLeft,
}

func (p *Prober) perform(ctx context.Context, a detector.Action) {
	ctx, cancel := context.WithTimeout(ctx, detector.ProbeTimeout)
	defer cancel()
	if a.Kind == detector.Probe {
		if incarnation, ok := p.probe(ctx, a.Target); ok {
			p.recordAck(a.Target, incarnation)
		}
		return
	}
	conn, err := p.dial.Dial(a.Via)
	if err != nil {
		return
	}
	out, err := peerv1.NewPeerServiceClient(conn).ProbeVia(ctx, &peerv1.ProbeViaRequest{Host: p.self, Target: a.Target})
	if err == nil && out.GetAlive() {
		p.recordAck(a.Target, out.GetIncarnation())
	}
}

func (p *Prober) recordAck(host string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detect.Acked(host, incarnation, p.clock())
}

// probe sends one probe and processes the response.
func (p *Prober) probe(ctx context.Context, target string) (uint64, bool) {
	conn, err := p.dial.Dial(target)
	if err != nil {
		return 0, false
	}
	request := &peerv1.ProbeRequest{Host: p.self, Version: p.follow.View().Number, Brief: p.newBrief()}
	p.mu.Lock()
	request.Incarnation, request.Members = p.detect.Self().Incarnation, encode(p.detect.Updates(target))
	p.mu.Unlock()
	out, err := peerv1.NewPeerServiceClient(conn).Probe(ctx, request)
	if err != nil {
		return 0, false
	}
	p.receive(target, out.GetIncarnation(), out.GetVersion(), out.GetMembers(), out.GetBrief())
	return out.GetIncarnation(), true
}

// newBrief returns the data that every probe and response carries besides membership. The digester calls this prober to
// find out which hosts are live, so newBrief must be called without holding mu.
func (p *Prober) newBrief() *peerv1.Brief {
	age := p.follow.Age(p.clock()).Milliseconds()
	return &peerv1.Brief{Digest: p.digest.HomeHash(), Age: uint64(age), Removal: p.follow.View().Removal} //nolint:gosec // Not negative.
}

func (p *Prober) receive(host string, incarnation, version uint64, members []*peerv1.Member, brief *peerv1.Brief) {
	now := p.clock()
	p.mu.Lock()
	p.detect.Received(host, incarnation, decode(members), now)
	p.mu.Unlock()
	p.follow.UpdatePeer(host, version, time.Duration(min(brief.GetAge(), math.MaxInt32))*time.Millisecond, now)
	p.follow.ApplyRemoval(brief.GetRemoval(), now)
	if brief.GetDigest() != p.digest.HomeHash() {
		p.digest.FetchHome(host)
	}
}

// Probe answers a probe from another host.
func (p *Prober) Probe(_ context.Context, in *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	p.dial.Wake(in.GetHost())
	p.receive(in.GetHost(), in.GetIncarnation(), in.GetVersion(), in.GetMembers(), in.GetBrief())
	out := &peerv1.ProbeResponse{Version: p.follow.View().Number, Brief: p.newBrief()}
	p.mu.Lock()
	defer p.mu.Unlock()
	out.Incarnation, out.Members = p.detect.Self().Incarnation, encode(p.detect.Updates(in.GetHost()))
	return out, nil
}

// ProbeVia probes a host on behalf of another host.
func (p *Prober) ProbeVia(ctx context.Context, in *peerv1.ProbeViaRequest) (*peerv1.ProbeViaResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, detector.ProbeTimeout-detector.DirectTimeout)
	defer cancel()
	incarnation, ok := p.probe(ctx, in.GetTarget())
	return &peerv1.ProbeViaResponse{Alive: ok, Incarnation: incarnation}, nil
}

// Leave announces to every host of the cell that this host stops. It returns when they have answered, or after
// leaveTimeout.
func (p *Prober) Leave(ctx context.Context) {
	p.mu.Lock()
	p.detect.Leave()
	self, cell := p.detect.Self(), p.cell
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, host := range cell {
		conn, err := p.dial.Dial(host)
		if host == p.self || err != nil {
			continue
		}
		wait.Go(func() {
			_, _ = peerv1.NewPeerServiceClient(conn).Probe(ctx, &peerv1.ProbeRequest{
				Host: p.self, Incarnation: self.Incarnation, Version: p.follow.View().Number,
				Members: encode([]detector.Update{self}), Brief: p.newBrief(),
			})
		})
	}
	wait.Wait()
}

// Live reports whether a host of the cell is live, and so may own leaves.
func (p *Prober) Live(host string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.detect.Live(host)
}

// AcceptsCalls reports whether the leaves that a host publishes may be called: the host is live or left recently.
func (p *Prober) AcceptsCalls(host string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.detect.AcceptsCalls(host, p.clock())
}

// IsStable reports whether a host has been live continuously for some seconds.
func (p *Prober) IsStable(host string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.detect.IsStable(host, p.clock())
}

// Members returns the state of this host and of every other host of the cell.
func (p *Prober) Members() []detector.Update {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return append(p.detect.Members(), p.detect.Self())
}

func encode(in []detector.Update) []*peerv1.Member {
	out := make([]*peerv1.Member, 0, len(in))
	for _, u := range in {
		out = append(out, &peerv1.Member{Host: u.Host, Incarnation: u.Incarnation, State: peerv1.MemberState(u.State)}) //nolint:gosec // 1 to 4.
	}
	return out
}

// decode converts at most detector.MaxUpdates members and ignores the rest.
func decode(in []*peerv1.Member) []detector.Update {
	in = in[:min(len(in), detector.MaxUpdates)]
	out := make([]detector.Update, 0, len(in))
	for _, m := range in {
		out = append(out, detector.Update{Host: m.GetHost(), Incarnation: m.GetIncarnation(), State: detector.State(m.GetState())})
	}
	return out
}

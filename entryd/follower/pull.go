package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// pullInterval is the least time between two pulls of a cell. Push brings versions into force; pull is repair.
	pullInterval = 5 * time.Second
	// silence is the age above which hosts other than the cell's puller ask control too.
	silence = 3 * pullInterval
	// pullTimeout bounds one request to control.
	pullTimeout = time.Second
	// syncTimeout bounds one request to another entry host.
	syncTimeout = time.Second
	// startInterval is the time between two requests to seeds while the host has no version.
	startInterval = 200 * time.Millisecond
	// startStep spreads the first requests to control over the hosts of one list of seeds, so that usually one of
	// them asks control and the others get the version from it.
	startStep = time.Second
	// startSeeds is the number of seeds asked at one time.
	startSeeds = 3
	// relayTimeout bounds the passing on of a version inside the cell.
	relayTimeout = time.Second
)

// Dialer opens connections by host name and by address.
type Dialer interface {
	Dial(host string) (*grpc.ClientConn, error)
	DialAddress(address string) (*grpc.ClientConn, error)
}

// Source says where a host without a version gets one.
type Source struct {
	// Self is this host's peer address.
	Self string
	// Control and Seeds are the peer addresses of control hosts and of other entry hosts.
	Control []string
	Seeds   []string
}

// Run gets a first version and then keeps up by repair until ctx ends.
func (f *Follower) Run(ctx context.Context, s Source) {
	f.begin(ctx, s)
	next := f.clock().Add(jitter(pullInterval))
	ticker := time.NewTicker(startInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := f.clock()
		if now.Before(next) {
			continue
		}
		wait, due := f.due(now)
		if due && !f.pull(ctx, s.Control) {
			eventer.ControlSilent.Log(now, "age", f.Age(now))
		}
		next = now.Add(wait + jitter(wait/4))
	}
}

// due reports whether this host asks control now, and the time until the next decision. The puller of a cell is its
// first live host in rendezvous order; the others ask, more seldom, only when the cell has not heard of control for long.
func (f *Follower) due(now time.Time) (time.Duration, bool) {
	cell, ok := f.View().Cell(f.host)
	if !ok {
		return pullInterval, true
	}
	for _, host := range ranker.Order("pull/"+cell.Name, cell.Hosts) {
		if host == f.host {
			return pullInterval, true
		}
		if f.live(host) {
			break
		}
	}
	if f.Age(now) < silence {
		return time.Second, false
	}
	return pullInterval * time.Duration(len(cell.Hosts)), true
}

// begin asks seeds often and control seldom until one of them gives a version.
func (f *Follower) begin(ctx context.Context, s Source) {
	started := f.clock()
	group := append(slices.Clone(s.Seeds), s.Self)
	slices.Sort(group)
	group = slices.Compact(group)
	control := started.Add(startStep*time.Duration(slices.Index(group, s.Self)) + jitter(startInterval))
	wait := 2 * startInterval
	for f.View().Number == 0 && ctx.Err() == nil {
		f.askSeeds(ctx, s)
		now := f.clock()
		if f.View().Number > 0 {
			if f.Age(now) > silence {
				eventer.StartedFromPeers.Log(now, "version", f.View().Number, "age", f.Age(now))
			}
			return
		}
		if !now.Before(control) {
			if f.pull(ctx, s.Control) {
				continue
			}
			eventer.ControlSilent.Log(now, "age", f.Age(now))
			// A request that no control host answers costs control nothing, so the first repeats come soon.
			control = f.clock().Add(wait + jitter(wait))
			wait = min(2*wait, pullInterval)
		}
		sleep(ctx, startInterval/2+jitter(startInterval))
	}
}

// askSeeds asks some seeds at random and takes the newest version that they have.
func (f *Follower) askSeeds(ctx context.Context, s Source) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	done := make(chan struct{}, startSeeds)
	asked := 0
	for _, i := range rand.Perm(len(s.Seeds)) { //nolint:gosec // Spreading load needs no secure randomness.
		if asked == startSeeds || s.Seeds[i] == s.Self {
			continue
		}
		conn, err := f.dial.DialAddress(s.Seeds[i])
		if err != nil {
			continue
		}
		asked++
		go func() {
			f.sync(ctx, peerv1.NewPeerServiceClient(conn))
			done <- struct{}{}
		}()
	}
	for range asked {
		<-done
	}
}

// sync takes the version of another host if it is newer.
func (f *Follower) sync(ctx context.Context, peer peerv1.PeerServiceClient) {
	out, err := peer.Sync(ctx, &peerv1.SyncRequest{Host: f.host, Version: f.View().Number})
	if err == nil {
		f.Synced(out)
	}
}

// Synced takes the version, the age and the local removal of a reply to Sync.
func (f *Follower) Synced(out *peerv1.SyncResponse) {
	now := f.clock()
	first := f.View().Number == 0
	if v := out.GetVersion(); v != nil {
		applied, err := f.Apply(v, now)
		if err != nil {
			eventer.VersionRejected.Log(now, "version", v.GetNumber(), "error", err.Error())
			return
		}
		at := now.Add(-out.GetAge().AsDuration())
		if applied && first {
			// Before the first version the age counted from the start of the process.
			f.heard.Store(at.UnixNano())
		}
		f.Heard(at)
	}
	f.Removed(out.GetRemoval(), now)
}

// pull asks control hosts in random order. It reports whether one answered.
func (f *Follower) pull(ctx context.Context, control []string) bool {
	for _, i := range rand.Perm(len(control)) { //nolint:gosec // Spreading load needs no secure randomness.
		conn, err := f.dial.DialAddress(control[i])
		if err != nil {
			continue
		}
		request, cancel := context.WithTimeout(ctx, pullTimeout)
		out, err := peerv1.NewControlServiceClient(conn).Fetch(request, &peerv1.FetchRequest{Version: f.View().Number, Hosts: f.Reports()})
		cancel()
		if err != nil {
			continue
		}
		now := f.clock()
		if v := out.GetVersion(); v != nil {
			if _, err := f.Apply(v, now); err != nil {
				eventer.VersionRejected.Log(now, "version", v.GetNumber(), "error", err.Error())
				return true
			}
		}
		if n := out.GetNewest(); n != 0 && n < f.View().Number {
			// A control host that is cut off from the others may answer from an old state; the next may be better.
			continue
		}
		f.Heard(now)
		return true
	}
	return false
}

// Relay applies a pushed version and passes it to other hosts of the cell. It returns the versions in force there.
func (f *Follower) Relay(ctx context.Context, in *peerv1.ApplyRequest) *peerv1.ApplyResponse {
	now := f.clock()
	if _, err := f.Apply(in.GetVersion(), now); err != nil {
		eventer.VersionRejected.Log(now, "version", in.GetVersion().GetNumber(), "error", err.Error())
		return &peerv1.ApplyResponse{Hosts: []*statev1.InForce{f.Report()}}
	}
	if in.GetVersion().GetNumber() == f.View().Number {
		f.Heard(now)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	replies := make(chan []*statev1.InForce, len(in.GetRelay()))
	for _, host := range in.GetRelay() {
		go func() { replies <- f.pass(ctx, host, in.GetVersion()) }()
	}
	out := &peerv1.ApplyResponse{Hosts: []*statev1.InForce{f.Report()}}
	for range in.GetRelay() {
		out.Hosts = append(out.Hosts, <-replies...)
	}
	return out
}

// pass gives a version to one host, as it came and then, if that host lacks the version before, whole.
func (f *Follower) pass(ctx context.Context, host string, v *statev1.Version) []*statev1.InForce {
	conn, err := f.dial.Dial(host)
	if err != nil {
		return nil
	}
	peer := peerv1.NewPeerServiceClient(conn)
	out, err := peer.Apply(ctx, &peerv1.ApplyRequest{Version: v})
	if err != nil {
		return nil
	}
	if view := f.View(); len(out.GetHosts()) == 1 && out.GetHosts()[0].GetVersion() < view.Number {
		if again, err := peer.Apply(ctx, &peerv1.ApplyRequest{Version: view.Version}); err == nil {
			return again.GetHosts()
		}
	}
	return out.GetHosts()
}

// jitter returns a random part of d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(max(d, 1)))) //nolint:gosec // Spreading load needs no secure randomness.
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

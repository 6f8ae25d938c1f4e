package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/ranker"
	"lycheelift.example/lib/repeater"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// pullInterval is the minimum time between two pulls of a cell. Versions normally arrive by push; pulls repair losses.
	pullInterval = 5 * time.Second
	// controlStaleAge is the time since the last contact with control after which hosts other than the cell's puller also
	// pull.
	controlStaleAge = 3 * pullInterval
	// pullTimeout bounds one request to control.
	pullTimeout = time.Second
	// syncTimeout bounds one request to another entry host.
	syncTimeout = time.Second
	// seedInterval is the average time between two rounds of requests to seeds while the host has no version.
	seedInterval = 200 * time.Millisecond
	// controlStagger is the offset between the first control requests of the hosts in one seed list, so that usually one
	// of them asks control and the others get the version from it.
	controlStagger = time.Second
	// seedsPerRound is the number of seeds that are queried concurrently.
	seedsPerRound = 3
	// relayTimeout bounds the relaying of a version inside the cell.
	relayTimeout = time.Second
)

// Dialer returns connections by host name or by address.
type Dialer interface {
	Dial(host string) (*grpc.ClientConn, error)
	DialAddress(address string) (*grpc.ClientConn, error)
}

// Source lists where a host can fetch the configuration from.
type Source struct {
	// Self is this host's peer address.
	Self string
	// Control and Seeds are the peer addresses of control hosts and of other entry hosts.
	Control []string
	Seeds   []string
}

// Run fetches a first version and then pulls periodically to repair missed pushes, until ctx is done.
func (f *Follower) Run(ctx context.Context, s Source) {
	f.fetchFirstVersion(ctx, s)
	next := f.clock().Add(jitter(pullInterval))
	repeater.Every(ctx, seedInterval, func() {
		now := f.clock()
		if now.Before(next) {
			return
		}
		wait, due := f.pullDue(now)
		if due && !f.pull(ctx, s.Control) {
			eventer.ControlUnreachable.Log(now, "age", f.Age(now))
		}
		next = now.Add(wait + jitter(wait/4))
	})
}

// pullDue returns the time until the next decision and whether this host should pull from control now. The puller of a
// cell is its first live host in rendezvous order. The other hosts pull, less often, only when the last contact with
// control is older than controlStaleAge.
func (f *Follower) pullDue(now time.Time) (time.Duration, bool) {
	cell, ok := f.View().Cell(f.host)
	if !ok {
		return pullInterval, true
	}
	for _, host := range ranker.Order("pull/"+cell.Name, cell.Hosts) {
		if host == f.host {
			return pullInterval, true
		}
		if f.isLive(host) {
			break
		}
	}
	if f.Age(now) < controlStaleAge {
		return time.Second, false
	}
	return pullInterval * time.Duration(len(cell.Hosts)), true
}

// fetchFirstVersion queries seeds often and control rarely until one of them returns a version.
func (f *Follower) fetchFirstVersion(ctx context.Context, s Source) {
	started := f.clock()
	addresses := append(slices.Clone(s.Seeds), s.Self)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	nextControlPull := started.Add(controlStagger*time.Duration(slices.Index(addresses, s.Self)) + jitter(seedInterval))
	backoff := 2 * seedInterval
	for f.View().Number == 0 && ctx.Err() == nil {
		f.querySeeds(ctx, s)
		now := f.clock()
		if f.View().Number > 0 {
			if f.Age(now) > controlStaleAge {
				eventer.StartedFromPeers.Log(now, "version", f.View().Number, "age", f.Age(now))
			}
			return
		}
		if !now.Before(nextControlPull) {
			if f.pull(ctx, s.Control) {
				continue
			}
			eventer.ControlUnreachable.Log(now, "age", f.Age(now))
			// An unanswered request puts no load on control, so the first retries come early.
			nextControlPull = f.clock().Add(backoff + jitter(backoff))
			backoff = min(2*backoff, pullInterval)
		}
		sleep(ctx, seedInterval/2+jitter(seedInterval))
	}
}

// querySeeds queries up to seedsPerRound random seeds and applies the newest version that they return.
func (f *Follower) querySeeds(ctx context.Context, s Source) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	done := make(chan struct{}, seedsPerRound)
	queried := 0
	for _, i := range rand.Perm(len(s.Seeds)) { //nolint:gosec // Spreading load needs no secure randomness.
		if queried == seedsPerRound || s.Seeds[i] == s.Self {
			continue
		}
		conn, err := f.dial.DialAddress(s.Seeds[i])
		if err != nil {
			continue
		}
		queried++
		go func() {
			f.syncFrom(ctx, peerv1.NewPeerServiceClient(conn))
			done <- struct{}{}
		}()
	}
	for range queried {
		<-done
	}
}

// syncFrom fetches and applies another host's version if it is newer.
func (f *Follower) syncFrom(ctx context.Context, peer peerv1.PeerServiceClient) {
	out, err := peer.Sync(ctx, &peerv1.SyncRequest{Host: f.host, Version: f.View().Number})
	if err == nil {
		f.ApplySyncResponse(out)
	}
}

// ApplySyncResponse applies the version, age and local removal in a response to Sync.
func (f *Follower) ApplySyncResponse(out *peerv1.SyncResponse) {
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
			// Until the first version, the age is measured from the start of the process.
			f.lastContact.Store(at.UnixNano())
		}
		f.RecordControlContact(at)
	}
	f.ApplyRemoval(out.GetRemoval(), now)
}

// pull fetches the newest version from the control hosts, trying them in random order. It reports whether one answered
// that was not behind this host.
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
			// A partitioned control host may answer with outdated state; try the next one.
			continue
		}
		f.RecordControlContact(now)
		return true
	}
	return false
}

// Relay applies a pushed version and forwards it to the requested hosts of the cell. It returns the versions in force on
// this host and on those that answered.
func (f *Follower) Relay(ctx context.Context, in *peerv1.ApplyRequest) *peerv1.ApplyResponse {
	now := f.clock()
	if _, err := f.Apply(in.GetVersion(), now); err != nil {
		eventer.VersionRejected.Log(now, "version", in.GetVersion().GetNumber(), "error", err.Error())
		return &peerv1.ApplyResponse{Hosts: []*statev1.InForce{f.Report()}}
	}
	if in.GetVersion().GetNumber() == f.View().Number {
		f.RecordControlContact(now)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	replies := make(chan []*statev1.InForce, len(in.GetRelay()))
	for _, host := range in.GetRelay() {
		go func() { replies <- f.forward(ctx, host, in.GetVersion()) }()
	}
	out := &peerv1.ApplyResponse{Hosts: []*statev1.InForce{f.Report()}}
	for range in.GetRelay() {
		out.Hosts = append(out.Hosts, <-replies...)
	}
	return out
}

// forward sends a version to one host as it was received. If that host then still has an older version, because the
// version is a difference from one that the host lacks, forward sends the complete version.
func (f *Follower) forward(ctx context.Context, host string, v *statev1.Version) []*statev1.InForce {
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
		if retried, err := peer.Apply(ctx, &peerv1.ApplyRequest{Version: view.Version}); err == nil {
			return retried.GetHosts()
		}
	}
	return out.GetHosts()
}

// jitter returns a random duration below d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(max(d, 1)))) //nolint:gosec // Spreading load needs no secure randomness.
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var now = time.Unix(1000, 0)

// version returns a configuration version with the data centres a and b; outOfService sets whether a is out of service.
func version(number uint64, outOfService bool, services ...string) *statev1.Version {
	named := map[string]any{}
	for _, s := range services {
		named[s] = map[string]any{}
	}
	document, err := json.Marshal(map[string]any{
		"centers":  map[string]any{"a": map[string]any{"region": "r", "out": outOfService}, "b": map[string]any{"region": "r"}},
		"hosts":    map[string]any{"a-1": map[string]any{"center": "a", "address": "127.0.0.1:1"}, "a-2": map[string]any{"center": "a", "address": "127.0.0.1:2"}},
		"services": named,
	})
	if err != nil {
		panic(err)
	}
	return &statev1.Version{Number: number, Document: document}
}

// Guards against a host that reverts to an older version offered by a stale peer or control host.
func TestOlderVersionIsNeverApplied(t *testing.T) {
	f := follower.New(now, follower.WithHost("a-1", "a"))
	for _, step := range []struct{ offered, want uint64 }{{3, 3}, {2, 3}, {3, 3}, {5, 5}, {4, 5}, {1, 5}} {
		_, err := f.Apply(version(step.offered, false), now)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.View().Number, qt.Equals, step.want)
	}
}

// Guards against applying a difference to a version other than its base version.
func TestDifferenceNeedsItsBase(t *testing.T) {
	c := qt.New(t)
	f := follower.New(now, follower.WithHost("a-1", "a"))
	change := func(number uint64) *statev1.Version {
		return &statev1.Version{Number: number, Difference: []byte(`{"services":{"desk":{}}}`)}
	}
	_, err := f.Apply(change(1), now)
	c.Assert(err, qt.ErrorIs, follower.ErrGap)
	_, err = f.Apply(version(3, true), now)
	c.Assert(err, qt.IsNil)
	_, err = f.Apply(change(5), now)
	c.Assert(err, qt.ErrorIs, follower.ErrGap)
	applied, err := f.Apply(change(4), now)
	c.Assert(err, qt.IsNil)
	c.Assert(applied, qt.IsTrue)
	c.Assert(f.View().Excluded("a"), qt.IsTrue)
	c.Assert(f.View().Document.Services, qt.HasLen, 1)
}

// Guards against a local removal that is lifted by an unrelated version, that persists after the data centre's out value
// has changed, or that is set again by an outdated removal from another host.
func TestLocalRemovalHoldsUntilTheOutValueChanges(t *testing.T) {
	c := qt.New(t)
	f := follower.New(now, follower.WithHost("a-1", "a"))
	apply := func(v *statev1.Version) {
		_, err := f.Apply(v, now)
		c.Assert(err, qt.IsNil)
	}
	apply(version(1, false))
	removal := f.Remove(true, "ana", "power work", now).Removal
	c.Assert(f.View().Excluded("a"), qt.IsTrue)
	c.Assert(f.View().Excluded("b"), qt.IsFalse)
	apply(version(2, false, "desk"))
	c.Assert(f.View().Excluded("a"), qt.IsTrue)
	apply(version(3, true))
	apply(version(4, false))
	c.Assert(f.View().Excluded("a"), qt.IsFalse)
	f.ApplyRemoval(removal, now)
	c.Assert(f.View().Excluded("a"), qt.IsFalse)
	f.Remove(true, "ana", "again", now)
	c.Assert(f.View().Excluded("a"), qt.IsTrue)
	f.Remove(false, "ana", "done", now)
	c.Assert(f.View().Excluded("a"), qt.IsFalse)
}

// control is a control host that counts Fetch requests.
type control struct {
	peerv1.UnimplementedControlServiceServer

	pulls atomic.Int64
}

func (s *control) Fetch(context.Context, *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	s.pulls.Add(1)
	return &peerv1.FetchResponse{Version: version(7, false), Newest: 7}, nil
}

// peer answers Sync with its follower's version.
type peer struct {
	peerv1.UnimplementedPeerServiceServer

	follower *follower.Follower
}

func (p *peer) Sync(_ context.Context, in *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	out := &peerv1.SyncResponse{}
	if v := p.follower.View(); v.Number > in.GetVersion() {
		out.Version = v.Version
	}
	return out, nil
}

type dialer struct{}

func (dialer) Dial(host string) (*grpc.ClientConn, error) {
	return nil, fmt.Errorf("%s is not used", host)
}

func (dialer) DialAddress(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

func serve(t *testing.T, register func(*grpc.Server)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := grpc.NewServer()
	register(s)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// Guards against a thundering herd: 45 hosts, with 5 seed lists of 9 hosts each, start at the same time and all of them
// fetch from control.
func TestStartAtOnceAsksControlOncePerSeeds(t *testing.T) {
	c := qt.New(t)
	s := &control{}
	address := serve(t, func(g *grpc.Server) { peerv1.RegisterControlServiceServer(g, s) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all []*follower.Follower
	const lists, size = 5, 9
	// All hosts use the name of a host that is not its cell's puller, so that only pulls at startup are counted.
	name := ranker.Order("pull/a/0", []string{"a-1", "a-2"})[1]
	for range lists {
		var group []*follower.Follower
		var seeds []string
		for range size {
			f := follower.New(time.Now(), follower.WithHost(name, "a"))
			f.Connect(dialer{}, func(string) bool { return true })
			group = append(group, f)
			seeds = append(seeds, serve(t, func(g *grpc.Server) { peerv1.RegisterPeerServiceServer(g, &peer{follower: f}) }))
		}
		for i, f := range group {
			go f.Run(ctx, follower.Source{Self: seeds[i], Control: []string{address}, Seeds: seeds})
		}
		all = append(all, group...)
	}
	for _, f := range all {
		for f.View().Number != 7 {
			time.Sleep(time.Millisecond)
		}
	}
	c.Logf("%d hosts have the version after %d pulls from control", len(all), s.pulls.Load())
	c.Assert(s.pulls.Load() <= 2*lists, qt.IsTrue)
}

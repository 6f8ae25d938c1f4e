package server

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	"lycheelift.example/fleetd/keeper"
	"lycheelift.example/fleetd/linker"
	"lycheelift.example/fleetd/receiver"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/exporter"
	"lycheelift.example/lib/journaler"
	"lycheelift.example/platform"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// heartbeat is the time between two messages of the leader, and election the least time without one before an
	// election. A leader that is lost is replaced within 1 s.
	heartbeat = 100 * time.Millisecond
	election  = 500 * time.Millisecond
	// compact is the number of records after which a snapshot is taken. A record may hold a document of 100 KB, and
	// memory has a price.
	compact = 32
	// absence is the time out of contact after which a control host is removed from the group.
	absence = 3 * time.Second
	// mostVoters bounds the voters; further control hosts follow the log without a vote.
	mostVoters = 9
	// handOverTime bounds the wait for another host to take over the lead on a graceful stop.
	handOverTime = 1500 * time.Millisecond
	// callsTime bounds the time in which the calls of leaves and operators end on a graceful stop.
	callsTime = 2500 * time.Millisecond
	// logFolder is the part of the data folder that holds the replicated log.
	logFolder = "log"
	// rosterFolder is the part that holds the leaves heard before a restart.
	rosterFolder = "roster"
)

// Control serves a control host until ctx ends.
func Control(ctx context.Context, s *Settings, clock func() time.Time) error {
	metrics := exporter.New("lycheelift")
	defer func() { _ = metrics.Close() }()
	control, err := netip.ParseAddrPort(s.Listen.Control)
	if err != nil {
		return errors.Join(ErrSettings, err)
	}
	machine := store.NewMachine()
	log, err := replica.Open(configure(s, clock), filepath.Join(s.Data, logFolder), machine)
	if err != nil {
		return err
	}
	folder, err := journaler.OpenFolder(filepath.Join(s.Data, rosterFolder))
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	running, stop := context.WithCancel(context.Background())
	logged := make(chan error, 1)
	go func() { logged <- log.Run(running) }()
	keep := keeper.New(s.Name, s.Center, control, s.peers.String(), store.New(machine, proposer{log}, clock), log, clock)
	go keep.Run(running, folder)
	go keep.FollowPeers(running, s.controls)
	go serveMetrics(running, s.Listen.Metrics, metrics, clock)
	err = serveControl(ctx, s, log, keep, clock)
	stop()
	return errors.Join(err, <-logged)
}

func configure(s *Settings, clock func() time.Time) replica.Config {
	out := replica.Config{
		Host: s.address.String(), Address: s.peers.String(), Center: s.Center, Join: !s.First, Election: election, Heartbeat: heartbeat,
		Compact: compact, Clock: clock, Seed: seed(s.Name, clock()), Seek: s.controls,
		Voters: mostVoters, Absence: absence, Least: max(2*s.tolerance+1, 3), //nolint:mnd // A majority survives the loss of as many hosts.
	}
	dial, _ := linker.Options()
	out.Dial = dial
	for _, seed := range s.seeds {
		out.Members = append(out.Members, replica.Peer{Host: seed.Addr().String(), Address: netip.AddrPortFrom(seed.Addr(), s.peers.Port()).String()})
	}
	return out
}

// seed differs between hosts and starts, so that election times do too.
func seed(host string, now time.Time) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	return h.Sum64() ^ uint64(now.UnixNano())
}

// proposer offers a replica to the store and turns its errors into those of the store.
type proposer struct{ *replica.Replica }

// Propose commits a command.
func (p proposer) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	result, err := p.Replica.Propose(ctx, c)
	if errors.Is(err, replica.ErrNoLeader) || errors.Is(err, replica.ErrFailed) || errors.Is(err, replica.ErrStopped) {
		return nil, oops.Wrapf(store.ErrNotProposed, "%s", err)
	}
	return result, err
}

// serveControl serves leaves, operators and other hosts until ctx ends.
func serveControl(ctx context.Context, s *Settings, log *replica.Replica, keep *keeper.Keeper, clock func() time.Time) error {
	stopping := make(chan struct{})
	_, options := linker.Options()
	peers := grpc.NewServer(append(options, linker.Watch())...)
	peerv1.RegisterReplicaServiceServer(peers, log.Service())
	peerv1.RegisterFollowServiceServer(peers, keeper.NewService(keep, stopping))
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.bind)
	if err != nil {
		return oops.In("server").Wrapf(err, "listen on %s", s.bind)
	}
	failed, served := make(chan error, 1), make(chan error, 1)
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { failed <- peers.Serve(listener) }()
	receive := receiver.New(func() time.Duration { return 0 }, callsTime, clock, receiver.WithNotice(0))
	go func() { served <- receive.Run(serving, s.Listen.Control, platform.NewControl(keep, clock)) }()
	eventer.Started.Log(clock(), "host", s.Name, "role", "control", "center", s.Center, "control", s.Listen.Control, "seeds", s.Seeds, "first", s.First)
	select {
	case err := <-failed:
		return oops.In("server").Wrapf(err, "serve")
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	eventer.Draining.Log(clock(), "host", s.Name)
	yield, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	// Without a successor the group elects a leader by itself.
	_ = log.HandOver(yield)
	stop()
	err = <-served // The calls of leaves and operators that have arrived are answered.
	close(stopping)
	peers.Stop()
	eventer.Stopped.Log(clock(), "host", s.Name)
	return err
}

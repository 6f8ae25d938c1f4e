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
	"lycheelift.example/lib/router"
	"lycheelift.example/platform"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// heartbeatInterval is the time between messages of the leader, and electionTimeout the minimum time without one before
	// an election starts. A failed leader is replaced within 1 s.
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 500 * time.Millisecond
	// compactionRecords is the number of log records after which a snapshot is taken. It is small to save memory, because a
	// record may hold a document of 100 KB.
	compactionRecords = 32
	// removalTimeout is the time without contact after which a control host is removed from the replication group.
	removalTimeout = 3 * time.Second
	// maxVoters bounds the number of voters; further control hosts replicate the log without a vote.
	maxVoters = 9
	// handOverTimeout bounds the wait for another host to become leader during a graceful stop.
	handOverTimeout = 1500 * time.Millisecond
	// drainTimeout bounds the wait for requests of leaves and operators to finish during a graceful stop.
	drainTimeout = 2500 * time.Millisecond
	// readSpacingDivisor divides the time after which removed keys must be refused to get the minimum time between two reads
	// that confirm the state of entry hosts. The delay shortens a confirmation by at most that part of the time.
	readSpacingDivisor = 50
	// logFolder is the subfolder of the data folder for the replicated log.
	logFolder = "log"
	// rosterFolder is the subfolder of the data folder for the leaves known before a restart.
	rosterFolder = "roster"
)

// Control runs a control host until ctx ends.
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
	logDone := make(chan error, 1)
	go func() { logDone <- log.Run(running) }()
	state := store.New(machine, proposer{log}, clock)
	controlKeeper := keeper.New(s.Name, s.Center, control, s.peers.String(), state, log, clock,
		keeper.WithReadSpacing(s.revoke/readSpacingDivisor), keeper.WithRollouts(s.exposure, s.Bounds.Exposure > 0),
		keeper.WithDecoder(platform.DecodeDocument))
	quotas := keeper.NewQuotas(log, state.View, platform.DecodeDocument, s.quotaBounds(), clock, newBootClock())
	if s.quotaWindow > 0 {
		go quotas.Run(running) // Otherwise grants are prepared by the first request for one.
	}
	go controlKeeper.Run(running, folder)
	go controlKeeper.RunRollouts(running)
	go controlKeeper.RunBlocks(running)
	go controlKeeper.FollowPeers(running, s.controls)
	go serveMetrics(running, s.Listen.Metrics, metrics, clock)
	err = serveControl(ctx, s, log, controlKeeper, quotas, clock)
	stop()
	return errors.Join(err, <-logDone)
}

func configure(s *Settings, clock func() time.Time) replica.Config {
	out := replica.Config{
		Host: s.address.String(), Address: s.peers.String(), Center: s.Center, Join: !s.First, Election: electionTimeout, Heartbeat: heartbeatInterval,
		SnapshotInterval: compactionRecords, Clock: clock, Seed: seed(s.Name, clock()), JoinAddresses: s.controls,
		MaxVoters: maxVoters, RemoveAfter: removalTimeout, MinVoters: max(2*s.tolerance+1, 3), //nolint:mnd // A majority survives the loss of tolerance hosts.
	}
	dial, _ := linker.Options()
	out.Dial = dial
	for _, seed := range s.seeds {
		out.Members = append(out.Members, replica.Peer{Host: seed.Addr().String(), Address: netip.AddrPortFrom(seed.Addr(), s.peers.Port()).String()})
	}
	return out
}

// seed returns a random seed that differs between hosts and restarts, so that their election timeouts differ too.
func seed(host string, now time.Time) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	return h.Sum64() ^ uint64(now.UnixNano())
}

// proposer adapts a replica to the store and converts its errors to those of the store.
type proposer struct{ *replica.Replica }

// Propose commits a command to the replicated log.
func (p proposer) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	result, err := p.Replica.Propose(ctx, c)
	if errors.Is(err, replica.ErrNoLeader) || errors.Is(err, replica.ErrFailed) || errors.Is(err, replica.ErrStopped) {
		return nil, oops.Wrapf(store.ErrNotProposed, "%s", err)
	}
	return result, err
}

// serveControl serves leaves, operators and other hosts until ctx ends.
func serveControl(ctx context.Context, s *Settings, log *replica.Replica, controlKeeper *keeper.Keeper, quotas *keeper.Quotas, clock func() time.Time) error {
	stopping := make(chan struct{})
	_, options := linker.Options()
	peers := grpc.NewServer(append(options, linker.KeepaliveOption())...)
	peerv1.RegisterReplicaServiceServer(peers, log.Service())
	service := keeper.NewService(controlKeeper, stopping)
	peerv1.RegisterFollowServiceServer(peers, service)
	peerv1.RegisterTrialServiceServer(peers, service)
	peerv1.RegisterQuotaServiceServer(peers, quotas)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.bind)
	if err != nil {
		return oops.In("server").Wrapf(err, "listen on %s", s.bind)
	}
	failed, served := make(chan error, 1), make(chan error, 1)
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { failed <- peers.Serve(listener) }()
	requestReceiver := receiver.New(func() router.Limits { return router.Limits{} }, drainTimeout, clock, receiver.WithNotice(0))
	go func() {
		served <- requestReceiver.Run(serving, s.Listen.Control, platform.NewControl(controlKeeper, clock))
	}()
	eventer.Started.Log(clock(), "host", s.Name, "role", "control", "center", s.Center, "control", s.Listen.Control, "seeds", s.Seeds, "first", s.First)
	select {
	case err := <-failed:
		return oops.In("server").Wrapf(err, "serve")
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	eventer.Draining.Log(clock(), "host", s.Name)
	handOver, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	// If no successor takes over, the group elects a leader on its own.
	_ = log.HandOver(handOver)
	stop()
	err = <-served // Received requests of leaves and operators are still answered.
	close(stopping)
	peers.Stop()
	eventer.Stopped.Log(clock(), "host", s.Name)
	return err
}

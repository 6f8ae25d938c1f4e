// Package command implements the command line of the stand-in backend servers.
package command

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"lycheelift.example/leafd/leaf"
	"lycheelift.example/leafd/switcher"
	"lycheelift.example/lib/transporter"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
)

type options struct {
	service          string
	centers          []string
	entries          []string
	shards           int
	replicas         int
	slots            int
	connections      int
	snapshot         uint64
	controlAddress   string
	seed             uint64
	announceInterval time.Duration
	shardsPerLeaf    int
	tlsFiles         transporter.Files
	security         *transporter.Security
	behaviour        leaf.Behaviour
}

// New returns the leafd command.
func New() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use:     "leafd",
		Short:   "Run stand-in backend servers",
		Example: "  leafd --service desk --shards 3 --centers gal-1,gal-2 --entries 127.0.0.1:7001",
		Args:    cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd, o) },
	}
	f := c.Flags()
	f.StringVar(&o.service, "service", "desk", "service of the leaves")
	f.StringSliceVar(&o.centers, "centers", nil, "data centres of the replicas, assigned in turn")
	f.StringSliceVar(&o.entries, "entries", nil, "addresses of entry hosts to announce to")
	f.IntVar(&o.shards, "shards", 3, "shards of the index")
	f.IntVar(&o.replicas, "replicas", 2, "replicas of each shard")
	f.IntVar(&o.shardsPerLeaf, "pack", 1, "shards that a leaf holds")
	f.IntVar(&o.slots, "slots", 2, "concurrent calls of a leaf")
	f.IntVar(&o.connections, "connections", 25, "connection limit of a leaf")
	f.Uint64Var(&o.snapshot, "snapshot", 1, "index snapshot")
	f.StringVar(&o.controlAddress, "control", "127.0.0.1:0", "address of the HTTP control interface")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the random latencies")
	f.DurationVar(&o.announceInterval, "announce", 500*time.Millisecond, "time between two announcements of a leaf; the lease is 2s")
	f.StringVar(&o.tlsFiles.Certificate, "certificate", "", "file with the certificate to announce with, PEM; without one TLS is off")
	f.StringVar(&o.tlsFiles.Key, "key-file", "", "file with the private key, PEM")
	f.StringVar(&o.tlsFiles.Authority, "authority", "", "file with the authority of the entry hosts, PEM")
	f.DurationVar(&o.behaviour.Latency, "latency", 2*time.Millisecond, "usual time of a call")
	f.Float64Var(&o.behaviour.SlowFraction, "slow", 0, "fraction of calls that are slow, 0 to 1")
	f.Float64Var(&o.behaviour.SlowFactor, "factor", 20, "how many times longer a slow call takes")
	f.IntVar(&o.behaviour.ColdCapacity, "bearing", 1, "concurrent calls that a cold server can handle")
	f.IntVar(&o.behaviour.WarmUpCalls, "warm", 0, "calls after which a cold server is warm")
	f.BoolVar(&o.behaviour.HideCold, "silent", false, "announce a cold server as warm")
	f.DurationVar(&o.behaviour.AcceptDelay, "dial", 0, "delay of a new connection")
	f.StringVar(&o.behaviour.CrashBody, "crash", "", "request body that crashes a server")
	return c
}

func run(cmd *cobra.Command, o *options) error {
	if o.shardsPerLeaf < 1 {
		return oops.Errorf("--pack must be at least 1")
	}
	if len(o.centers) == 0 || len(o.entries) == 0 {
		return oops.Errorf("--centers and --entries are required")
	}
	var err error
	if o.security, err = transporter.NewSecurity(o.tlsFiles.Certificate == "", o.tlsFiles, time.Now, o.entries...); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	leaves := make([]*leaf.Leaf, 0, o.shards*o.replicas)
	for replica := range o.replicas {
		for shard := 0; shard < o.shards; shard += o.shardsPerLeaf {
			l := leaf.New(o.config(shard, replica))
			if err := l.Start(ctx, time.Now()); err != nil {
				return err
			}
			leaves = append(leaves, l)
			go l.Announce(ctx)
		}
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.controlAddress)
	if err != nil {
		return oops.Wrapf(err, "listen on the control address")
	}
	fmt.Fprintf(cmd.OutOrStdout(), "control %s\n", listener.Addr())
	server := transporter.NewServer(switcher.Handler(leaves))
	go func() { _ = server.Serve(listener) }()
	<-ctx.Done()
	for _, l := range leaves {
		l.Stop()
	}
	return oops.Wrap(server.Shutdown(context.Background()))
}

func (o *options) config(shard, replica int) leaf.Config {
	return leaf.Config{
		Name:   fmt.Sprintf("%s-%d-%d", o.service, shard, replica),
		Center: o.centers[replica%len(o.centers)], Service: o.service, Slots: o.slots, Connections: o.connections,
		Holdings: o.holdings(shard),
		Address:  "127.0.0.1:0", Entries: o.entries, Seed: o.seed + uint64(shard*o.replicas+replica), //nolint:gosec // Small numbers from flags.
		Security: o.security, Behaviour: o.behaviour, AnnounceInterval: o.announceInterval,
	}
}

// holdings returns the shards of the leaf whose first shard is first.
func (o *options) holdings(first int) []*backendv1.Holding {
	var out []*backendv1.Holding
	for shard := first; shard < min(first+o.shardsPerLeaf, o.shards); shard++ {
		out = append(out, &backendv1.Holding{Snapshot: o.snapshot, Shard: uint32(shard), Shards: uint32(o.shards)}) //nolint:gosec // Small numbers from flags.
	}
	return out
}

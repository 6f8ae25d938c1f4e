// Package command is the command line of the stand-in backend servers.
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
	service     string
	centers     []string
	entries     []string
	shards      int
	replicas    int
	slots       int
	connections int
	snapshot    uint64
	control     string
	seed        uint64
	announce    time.Duration
	pack        int
	files       transporter.Files
	secure      *transporter.Security
	behave      leaf.Behaviour
}

// New returns the command.
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
	f.StringSliceVar(&o.centers, "centers", nil, "data centre of each replica, taken in turn")
	f.StringSliceVar(&o.entries, "entries", nil, "addresses of entry hosts to announce to")
	f.IntVar(&o.shards, "shards", 3, "shards of the index")
	f.IntVar(&o.replicas, "replicas", 2, "replicas of each shard")
	f.IntVar(&o.pack, "pack", 1, "shards that a leaf holds")
	f.IntVar(&o.slots, "slots", 2, "calls at one time")
	f.IntVar(&o.connections, "connections", 25, "connection limit")
	f.Uint64Var(&o.snapshot, "snapshot", 1, "index snapshot")
	f.StringVar(&o.control, "control", "127.0.0.1:0", "address for switches and records")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the random latencies")
	f.DurationVar(&o.announce, "announce", 500*time.Millisecond, "time between two announcements of a leaf; the lease is 2s")
	f.StringVar(&o.files.Certificate, "certificate", "", "file with the certificate to announce with, PEM; without one TLS is off")
	f.StringVar(&o.files.Key, "key-file", "", "file with the private key, PEM")
	f.StringVar(&o.files.Authority, "authority", "", "file with the authority of the entry hosts, PEM")
	f.DurationVar(&o.behave.Latency, "latency", 2*time.Millisecond, "usual time of a call")
	f.Float64Var(&o.behave.Slow, "slow", 0, "part of calls that are slow")
	f.Float64Var(&o.behave.Factor, "factor", 20, "how many times longer a slow call takes")
	f.IntVar(&o.behave.Bearing, "bearing", 1, "calls at one time that a cold server can bear")
	f.IntVar(&o.behave.Warm, "warm", 0, "calls after which a cold server is warm")
	f.BoolVar(&o.behave.Silent, "silent", false, "announce coldness as warm")
	f.DurationVar(&o.behave.Dial, "dial", 0, "time that a new connection costs")
	f.StringVar(&o.behave.Crash, "crash", "", "request body that crashes a server")
	return c
}

func run(cmd *cobra.Command, o *options) error {
	if o.pack < 1 {
		return oops.Errorf("--pack must be at least 1")
	}
	if len(o.centers) == 0 || len(o.entries) == 0 {
		return oops.Errorf("centers and entries are required")
	}
	var err error
	if o.secure, err = transporter.NewSecurity(o.files.Certificate == "", o.files, time.Now, o.entries...); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	leaves := make([]*leaf.Leaf, 0, o.shards*o.replicas)
	for replica := range o.replicas {
		for shard := 0; shard < o.shards; shard += o.pack {
			l := leaf.New(o.config(shard, replica))
			if err := l.Start(ctx, time.Now()); err != nil {
				return err
			}
			leaves = append(leaves, l)
			go l.Announce(ctx)
		}
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.control)
	if err != nil {
		return oops.Wrapf(err, "listen for switches")
	}
	fmt.Fprintf(cmd.OutOrStdout(), "control %s\n", listener.Addr())
	server := transporter.Server(switcher.Handler(leaves))
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
		Secure: o.secure, Behaviour: o.behave, Announce: o.announce,
	}
}

// holdings returns the shards of the leaf that begins with one.
func (o *options) holdings(first int) []*backendv1.Holding {
	var out []*backendv1.Holding
	for shard := first; shard < min(first+o.pack, o.shards); shard++ {
		out = append(out, &backendv1.Holding{Snapshot: o.snapshot, Shard: uint32(shard), Shards: uint32(o.shards)}) //nolint:gosec // Small numbers from flags.
	}
	return out
}

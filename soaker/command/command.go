// Package command is the command line of the soak test.
package command

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"lycheelift.example/soaker/runner"
)

type options struct {
	seed, count   uint64
	faultDuration time.Duration
	subnet        int
	binary        string
	logFolder     string
	quiet         bool
}

// New returns the root command.
func New() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use: "soaker", Short: "Run real hosts under random faults and check the results that callers and leaves observe",
		Example: "  soaker --seed 1 --count 50\n  soaker --seed 17 --faults 1m", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	f := c.Flags()
	f.Uint64Var(&o.seed, "seed", 1, "first seed")
	f.Uint64Var(&o.count, "count", 1, "number of seeds")
	f.DurationVar(&o.faultDuration, "faults", 20*time.Second, "duration of fault injection for each seed")
	f.IntVar(&o.subnet, "subnet", 42, "second octet of the loopback addresses")
	f.StringVar(&o.binary, "binary", "", "path of the fleetd program; it is built when none is given")
	f.StringVar(&o.logFolder, "keep", "", "folder for the logs of failed seeds; empty keeps none")
	f.BoolVar(&o.quiet, "quiet", false, "do not list the faults that are injected")
	return c
}

func (o *options) run(cmd *cobra.Command) error {
	if o.binary == "" {
		folder, err := os.MkdirTemp("", "soaker-")
		if err != nil {
			return oops.Wrap(err)
		}
		defer func() { _ = os.RemoveAll(folder) }()
		o.binary = filepath.Join(folder, "fleetd")
		if out, err := exec.CommandContext(cmd.Context(), "go", "build", "-race", "-o", o.binary, "lycheelift.example/fleetd").CombinedOutput(); err != nil { //nolint:gosec // The program under test.
			return oops.Wrapf(err, "build fleetd: %s", out)
		}
	}
	failed := 0
	for seed := o.seed; seed < o.seed+o.count; seed++ {
		ok, err := o.runSeed(cmd, seed)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return oops.Errorf("%d of %d seeds failed", failed, o.count)
	}
	return nil
}

// runSeed runs the soak test with one seed and reports whether it passed.
func (o *options) runSeed(cmd *cobra.Command, seed uint64) (bool, error) {
	folder, err := os.MkdirTemp("", "soaker-")
	if err != nil {
		return false, oops.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	// A system that does not recover must fail the seed instead of blocking the run for ever.
	ctx, cancel := context.WithTimeout(cmd.Context(), o.faultDuration+2*time.Minute)
	defer cancel()
	out := cmd.OutOrStdout()
	start := time.Now()
	result, err := runner.Run(ctx, runner.Config{
		Binary: o.binary, Folder: folder, Seed: seed, Subnet: o.subnet, FaultDuration: o.faultDuration, Controls: 3 + int(seed%2), Entries: 3, Shards: 5,
		Callers: 6, CheckTiming: true, Log: func(text string) {
			if !o.quiet {
				fmt.Fprintf(out, "%8.3f %s\n", time.Since(start).Seconds(), text)
			}
		},
	})
	if err != nil {
		fmt.Fprintf(out, "seed %d: %v\n", seed, err)
	} else {
		fmt.Fprintf(out, "seed %d: %d of %d requests answered, %d findings\n", seed, result.Answered, result.Sent, len(result.Violations))
		for _, f := range result.Violations {
			fmt.Fprintln(out, "  "+f)
		}
	}
	if err == nil && len(result.Violations) == 0 {
		return true, nil
	}
	if o.logFolder != "" {
		target := filepath.Join(o.logFolder, fmt.Sprintf("seed-%d", seed))
		if err := os.CopyFS(target, os.DirFS(folder)); err != nil {
			return false, oops.Wrapf(err, "copy the logs")
		}
	}
	return false, nil
}

// Package command is the command line of the soak.
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
	seed, count uint64
	faults      time.Duration
	subnet      int
	binary      string
	keep        string
	quiet       bool
}

// New returns the command.
func New() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use: "soaker", Short: "Run real hosts under random faults and check what callers and leaves see",
		Example: "  soaker --seed 1 --count 50\n  soaker --seed 17 --faults 1m", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	f := c.Flags()
	f.Uint64Var(&o.seed, "seed", 1, "first seed")
	f.Uint64Var(&o.count, "count", 1, "number of seeds")
	f.DurationVar(&o.faults, "faults", 20*time.Second, "time for which faults are injected, for each seed")
	f.IntVar(&o.subnet, "subnet", 42, "second part of the loopback addresses")
	f.StringVar(&o.binary, "binary", "", "program fleetd; it is built when none is given")
	f.StringVar(&o.keep, "keep", "", "folder for the logs of seeds that found something; empty keeps none")
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
	found := 0
	for seed := o.seed; seed < o.seed+o.count; seed++ {
		ok, err := o.one(cmd, seed)
		if err != nil {
			return err
		}
		if !ok {
			found++
		}
	}
	if found > 0 {
		return oops.Errorf("%d of %d seeds broke a promise", found, o.count)
	}
	return nil
}

// one runs one seed and reports whether it found nothing.
func (o *options) one(cmd *cobra.Command, seed uint64) (bool, error) {
	folder, err := os.MkdirTemp("", "soaker-")
	if err != nil {
		return false, oops.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	// A system that does not come back is a finding, not a reason to wait for ever.
	ctx, cancel := context.WithTimeout(cmd.Context(), o.faults+2*time.Minute)
	defer cancel()
	out := cmd.OutOrStdout()
	began := time.Now()
	result, err := runner.Run(ctx, runner.Config{
		Binary: o.binary, Folder: folder, Seed: seed, Subnet: o.subnet, Faults: o.faults, Controls: 3 + int(seed%2), Entries: 3, Shards: 5,
		Callers: 6, Timed: true, Log: func(text string) {
			if !o.quiet {
				fmt.Fprintf(out, "%8.3f %s\n", time.Since(began).Seconds(), text)
			}
		},
	})
	if err != nil {
		fmt.Fprintf(out, "seed %d: %v\n", seed, err)
	} else {
		fmt.Fprintf(out, "seed %d: %d of %d requests answered, %d findings\n", seed, result.Answered, result.Asked, len(result.Faults))
		for _, f := range result.Faults {
			fmt.Fprintln(out, "  "+f)
		}
	}
	if err == nil && len(result.Faults) == 0 {
		return true, nil
	}
	if o.keep != "" {
		target := filepath.Join(o.keep, fmt.Sprintf("seed-%d", seed))
		if err := os.CopyFS(target, os.DirFS(folder)); err != nil {
			return false, oops.Wrapf(err, "keep the logs")
		}
	}
	return false, nil
}

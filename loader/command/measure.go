package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lycheelift.example/loader/stager"
)

// newMeasureCommand returns the command that measures membership and configuration dissemination with real processes.
func newMeasureCommand() *cobra.Command {
	var binaries string
	var sizes []int
	var window time.Duration
	c := &cobra.Command{
		Use:     "measure",
		Short:   "Start entry hosts and measure configuration changes, control cost and failure detection",
		Example: "  loader measure --binaries out --sizes 3,9,27,81",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintf(cmd.OutOrStdout(), "%5s %-8s %10s %10s %10s %10s %8s %10s\n", "hosts", "phase", "calls/s", "in B/s", "out B/s", "body B/s", "cpu %", "max RSS")
			for _, size := range sizes {
				if err := measureSize(cmd.Context(), cmd.OutOrStdout(), binaries, size, window); err != nil {
					return err
				}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&binaries, "binaries", "out", "folder of the programs")
	f.IntSliceVar(&sizes, "sizes", []int{3, 9, 27, 81}, "numbers of entry hosts, multiples of 3")
	f.DurationVar(&window, "window", 12*time.Second, "length of each phase")
	return c
}

// Number of data centres, number of killed hosts and time between two configuration changes, for each size.
const (
	centerCount    = 3
	killCount      = 3
	changeInterval = 3 * time.Second
)

func measureSize(ctx context.Context, w io.Writer, binaries string, size int, window time.Duration) error {
	folder, err := os.MkdirTemp("", "lycheelift-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d, err := stager.Start(ctx, stager.Layout{
		Binaries: binaries, Folder: folder, Centers: centerCount, Hosts: size / centerCount, Shards: 2 * size, Grace: time.Second,
	})
	if err != nil {
		d.Close()
		return err
	}
	defer d.Close()
	if err := d.Await(ctx, func(h *stager.Host) bool { return d.Ready(ctx, h) }); err != nil {
		return err
	}
	const settleTime = 8 * time.Second
	time.Sleep(settleTime)
	if err := measurePhase(ctx, w, d, "idle", func() error { time.Sleep(window); return nil }); err != nil {
		return err
	}
	var durations []time.Duration
	err = measurePhase(ctx, w, d, "changes", func() error {
		for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(changeInterval) {
			elapsed, err := measureChange(ctx, d)
			if err != nil {
				return err
			}
			durations = append(durations, elapsed)
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%5d in force everywhere after %s\n", size, formatDurations(durations))
	return measureDetection(ctx, w, d, size)
}

// measurePhase prints the resources that a host uses while f runs, as a mean over all hosts.
func measurePhase(ctx context.Context, w io.Writer, d *stager.Deployment, name string, f func() error) error {
	before, err := d.Usage(ctx)
	if err != nil {
		return err
	}
	if err := f(); err != nil {
		return err
	}
	after, err := d.Usage(ctx)
	if err != nil {
		return err
	}
	hostSeconds := after.At.Sub(before.At).Seconds() * float64(len(d.Hosts))
	perHostSecond := func(prefix string) float64 {
		total := 0.0
		for name, value := range after.Counters {
			if strings.HasPrefix(name, prefix) {
				total += value - before.Counters[name]
			}
		}
		return total / hostSeconds
	}
	const mib = 1 << 20
	fmt.Fprintf(w, "%5d %-8s %10.2f %10.0f %10.0f %10.0f %8.2f %7d MiB\n", len(d.Hosts), name, perHostSecond("peer_calls"), perHostSecond("peer_wire_in"),
		perHostSecond("peer_wire_out"), perHostSecond("peer_bytes_out"), 100*(after.CPU-before.CPU).Seconds()/hostSeconds, after.Resident/mib)
	var methods []string
	for counter := range after.Counters {
		if method, ok := strings.CutPrefix(counter, "peer_calls"); ok {
			methods = append(methods, method)
		}
	}
	slices.Sort(methods)
	for _, m := range methods {
		if calls := perHostSecond("peer_calls" + m); calls > 0 {
			fmt.Fprintf(w, "      %-24s %6.2f calls/s  %6.0f B out a call\n", m, calls, perHostSecond("peer_bytes_out"+m)/calls)
		}
	}
	return nil
}

// measureChange adds a service and returns the time from the acceptance of the patch until its version was in force on
// the last host.
func measureChange(ctx context.Context, d *stager.Deployment) (time.Duration, error) {
	accepted, err := d.Patch(ctx, map[string]any{"services": map[string]any{fmt.Sprintf("service-%d", d.Version()): map[string]any{}}})
	if err != nil {
		return 0, err
	}
	var lastApplied time.Time
	const pollDelay = 500 * time.Millisecond
	time.Sleep(pollDelay)
	err = d.Await(ctx, func(h *stager.Host) bool {
		out, err := d.Inspect(ctx, h)
		if err != nil || out.GetVersion() != d.Version() {
			return false
		}
		if since := out.GetSince().AsTime(); since.After(lastApplied) {
			lastApplied = since
		}
		return true
	})
	return lastApplied.Sub(accepted), err
}

// measureDetection kills hosts with SIGKILL and prints the time until every live host of the cell reports each of them
// as dead.
func measureDetection(ctx context.Context, w io.Writer, d *stager.Deployment, size int) error {
	var durations []time.Duration
	for n := range min(killCount, size/centerCount-1) {
		victim := d.Hosts[n*(size/centerCount)%size]
		out, err := d.Inspect(ctx, victim)
		if err != nil {
			return err
		}
		if err := victim.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		start := time.Now()
		for _, m := range out.GetMembers() {
			if err := awaitDetection(ctx, d, m.GetHost(), victim.Name); err != nil {
				return err
			}
		}
		durations = append(durations, time.Since(start))
	}
	fmt.Fprintf(w, "%5d dead at every host of the cell after %s\n", size, formatDurations(durations))
	return nil
}

func awaitDetection(ctx context.Context, d *stager.Deployment, observer, victim string) error {
	const interval = 10 * time.Millisecond
	for _, h := range d.Hosts {
		if h.Name != observer || observer == victim {
			continue
		}
		for {
			out, err := d.Inspect(ctx, h)
			if err != nil {
				return err
			}
			for _, m := range out.GetMembers() {
				if m.GetHost() == victim && m.GetState() == "dead" {
					return nil
				}
			}
			time.Sleep(interval)
		}
	}
	return nil
}

func formatDurations(in []time.Duration) string {
	out := make([]string, 0, len(in))
	for _, elapsed := range in {
		out = append(out, elapsed.Round(time.Millisecond).String())
	}
	return strings.Join(out, " ")
}

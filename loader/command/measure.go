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

// newMeasure measures membership and dissemination with real processes.
func newMeasure() *cobra.Command {
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
				if err := measure(cmd.Context(), cmd.OutOrStdout(), binaries, size, window); err != nil {
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

// measured centers and kills per size.
const (
	measuredCenters = 3
	measuredKills   = 3
	changeInterval  = 3 * time.Second
)

func measure(ctx context.Context, w io.Writer, binaries string, size int, window time.Duration) error {
	folder, err := os.MkdirTemp("", "lycheelift-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d, err := stager.Start(ctx, stager.Layout{
		Binaries: binaries, Folder: folder, Centers: measuredCenters, Hosts: size / measuredCenters, Shards: 2 * size, Grace: time.Second,
	})
	if err != nil {
		d.Close()
		return err
	}
	defer d.Close()
	if err := d.Until(ctx, func(h *stager.Host) bool { return d.Ready(ctx, h) }); err != nil {
		return err
	}
	const settle = 8 * time.Second
	time.Sleep(settle)
	if err := phase(ctx, w, d, "idle", func() error { time.Sleep(window); return nil }); err != nil {
		return err
	}
	var took []time.Duration
	err = phase(ctx, w, d, "changes", func() error {
		for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(changeInterval) {
			t, err := change(ctx, d)
			if err != nil {
				return err
			}
			took = append(took, t)
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%5d in force everywhere after %s\n", size, list(took))
	return kill(ctx, w, d, size)
}

// phase measures what every host uses while f runs, as a mean over hosts.
func phase(ctx context.Context, w io.Writer, d *stager.Deployment, name string, f func() error) error {
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
	seconds := after.At.Sub(before.At).Seconds() * float64(len(d.Hosts))
	sum := func(prefix string) float64 {
		total := 0.0
		for name, value := range after.Counters {
			if strings.HasPrefix(name, prefix) {
				total += value - before.Counters[name]
			}
		}
		return total / seconds
	}
	const mib = 1 << 20
	fmt.Fprintf(w, "%5d %-8s %10.2f %10.0f %10.0f %10.0f %8.2f %7d MiB\n", len(d.Hosts), name, sum("peer_calls"), sum("peer_wire_in"),
		sum("peer_wire_out"), sum("peer_bytes_out"), 100*(after.CPU-before.CPU).Seconds()/seconds, after.Resident/mib)
	var methods []string
	for counter := range after.Counters {
		if method, ok := strings.CutPrefix(counter, "peer_calls"); ok {
			methods = append(methods, method)
		}
	}
	slices.Sort(methods)
	for _, m := range methods {
		if calls := sum("peer_calls" + m); calls > 0 {
			fmt.Fprintf(w, "      %-24s %6.2f calls/s  %6.0f B out a call\n", m, calls, sum("peer_bytes_out"+m)/calls)
		}
	}
	return nil
}

// change patches something and returns the time from the acceptance until the last host had the version in force.
func change(ctx context.Context, d *stager.Deployment) (time.Duration, error) {
	accepted, err := d.Patch(ctx, map[string]any{"services": map[string]any{fmt.Sprintf("service-%d", d.Version()): map[string]any{}}})
	if err != nil {
		return 0, err
	}
	var last time.Time
	const wait = 500 * time.Millisecond
	time.Sleep(wait)
	err = d.Until(ctx, func(h *stager.Host) bool {
		out, err := d.Inspect(ctx, h)
		if err != nil || out.GetVersion() != d.Version() {
			return false
		}
		if since := out.GetSince().AsTime(); since.After(last) {
			last = since
		}
		return true
	})
	return last.Sub(accepted), err
}

// kill ends hosts by SIGKILL and measures until every live host of the cell says dead.
func kill(ctx context.Context, w io.Writer, d *stager.Deployment, size int) error {
	var took []time.Duration
	for n := range min(measuredKills, size/measuredCenters-1) {
		victim := d.Hosts[n*(size/measuredCenters)%size]
		out, err := d.Inspect(ctx, victim)
		if err != nil {
			return err
		}
		if err := victim.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		start := time.Now()
		for _, m := range out.GetMembers() {
			if err := awaitDead(ctx, d, m.GetHost(), victim.Name); err != nil {
				return err
			}
		}
		took = append(took, time.Since(start))
	}
	fmt.Fprintf(w, "%5d dead at every host of the cell after %s\n", size, list(took))
	return nil
}

func awaitDead(ctx context.Context, d *stager.Deployment, observer, victim string) error {
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

func list(in []time.Duration) string {
	out := make([]string, 0, len(in))
	for _, t := range in {
		out = append(out, t.Round(time.Millisecond).String())
	}
	return strings.Join(out, " ")
}

// Package reporter writes the results of load runs.
package reporter

import (
	"fmt"
	"io"
	"slices"
	"time"

	"lycheelift.example/loader/driver"
)

// Table writes a line per run and the reasons of what was not whole.
func Table(w io.Writer, results []*driver.Result) {
	fmt.Fprintf(w, "%-24s %8s %8s %8s %8s %9s %9s %9s %9s\n", "run", "sent", "whole", "partial", "failed", "coverage", "p50", "p99", "p99.9")
	for _, r := range results {
		fmt.Fprintf(w, "%-24s %8d %8d %8d %8d %9.5f %9s %9s %9s\n", r.Name, r.Sent, r.Whole, r.Partial, r.Failed, r.Coverage,
			quantile(r, 50), quantile(r, 99), quantile(r, 99.9))
		for _, reason := range sorted(r.Reasons) {
			fmt.Fprintf(w, "  %s: %d\n", reason, r.Reasons[reason])
		}
	}
}

func sorted(m map[string]int64) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func quantile(r *driver.Result, q float64) string {
	return (time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond).Round(10 * time.Microsecond).String()
}

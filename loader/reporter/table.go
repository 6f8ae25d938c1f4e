// Package reporter writes the results of load runs.
package reporter

import (
	"fmt"
	"io"
	"slices"
	"time"

	"lycheelift.example/loader/driver"
)

// Table writes one line for each run, followed by the reasons of its partial and failed queries.
func Table(w io.Writer, results []*driver.Result) {
	fmt.Fprintf(w, "%-24s %8s %8s %8s %8s %9s %9s %9s %9s\n", "run", "sent", "whole", "partial", "failed", "coverage", "p50", "p99", "p99.9")
	for _, r := range results {
		fmt.Fprintf(w, "%-24s %8d %8d %8d %8d %9.5f %9s %9s %9s\n", r.Name, r.Sent, r.Complete, r.Partial, r.Failed, r.Coverage,
			formatLatency(r, 50), formatLatency(r, 99), formatLatency(r, 99.9))
		for _, reason := range sortedKeys(r.Reasons) {
			fmt.Fprintf(w, "  %s: %d\n", reason, r.Reasons[reason])
		}
	}
}

func sortedKeys(m map[string]int64) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func formatLatency(r *driver.Result, percentile float64) string {
	return (time.Duration(r.Latency.ValueAtQuantile(percentile)) * time.Microsecond).Round(10 * time.Microsecond).String()
}

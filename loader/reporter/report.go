package reporter

import (
	"encoding/json"
	"os"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/loader/collector"
	"lycheelift.example/loader/driver"
)

// curvePercentiles are the percentiles of a report's latency curve.
var curvePercentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 97, 98, 99, 99.5, 99.9, 99.99}

// Point is one point of a latency curve.
type Point struct {
	Percent float64       `json:"percent"`
	Latency time.Duration `json:"latency"`
}

// Report is the result of a run in machine-readable form.
type Report struct {
	driver.Result
	// Shards is the number of shards of each query.
	Shards int `json:"shards"`
	// Leaves holds the counters of the stand-in backend servers for the run.
	Leaves collector.Counts `json:"leaves"`
	// ExtraLoad is leaf calls / (queries × shards) - 1.
	ExtraLoad float64 `json:"extra"`
	Curve     []Point `json:"curve"`
}

// NewReport returns the report of a run.
func NewReport(result *driver.Result, shards int, leaves collector.Counts) *Report {
	out := &Report{Result: *result, Shards: shards, Leaves: leaves, ExtraLoad: leaves.ExtraLoad(result.Sent, shards)}
	for _, q := range curvePercentiles {
		out.Curve = append(out.Curve, Point{Percent: q, Latency: time.Duration(result.Latency.ValueAtQuantile(q)) * time.Microsecond})
	}
	return out
}

// Write writes a report as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return oops.Wrapf(err, "report %s", path)
	}
	return oops.Wrapf(os.WriteFile(path, append(data, '\n'), 0o600), "report %s", path)
}

// ReadReport reads a report.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.Wrapf(err, "report %s", path)
	}
	out := &Report{}
	return out, oops.Wrapf(json.Unmarshal(data, out), "report %s", path)
}

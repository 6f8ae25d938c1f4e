// Package exporter exposes tally metrics on a Prometheus scrape endpoint.
package exporter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	tally "github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two reports of the tally metrics to the Prometheus registry.
const reportInterval = time.Second

// Exporter holds the root scope of a daemon's metrics and their scrape endpoint.
type Exporter struct {
	// Scope is the root scope of the metrics.
	Scope tally.Scope
	// Handler serves the scrape endpoint.
	Handler http.Handler

	closer io.Closer
}

// New returns an exporter that adds the prefix to all metric names.
func New(prefix string) *Exporter {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Exporter{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (e *Exporter) Close() error {
	return e.closer.Close()
}

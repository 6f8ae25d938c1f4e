// Package exporter exposes tally metrics for scraping.
package exporter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	tally "github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// interval is the time between two transfers of counters to the scrape endpoint.
const interval = time.Second

// Exporter holds the root scope of a daemon.
type Exporter struct {
	// Scope is the root of the daemon's metrics.
	Scope tally.Scope
	// Handler serves the scrape endpoint.
	Handler http.Handler

	closer io.Closer
}

// New returns an exporter whose metrics carry the prefix.
func New(prefix string) *Exporter {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Exporter{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops the transfer of counters.
func (e *Exporter) Close() error {
	return e.closer.Close()
}

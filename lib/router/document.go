// Package router finds the route of a request by host and longest path prefix in the active configuration document.
package router

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Document is a complete routing configuration. The operator assigns its version number.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Authenticated is true when requests need the key of one of the Tenants, except on public routes.
	Authenticated bool
	Tenants       []Tenant
}

// Route defines the destination of the requests for a host and a path prefix.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Idempotent permits running a request more than once.
	Idempotent bool
	// Timeout is the maximum time for which a request may wait for its answer.
	Timeout time.Duration
	// Target is the time within which an answer has its full value.
	Target time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Attempts is the maximum number of leaves to which one request may be sent, for each shard.
	Attempts int
	// Split lists the services among which requests are distributed by weight. It is empty when the route gathers.
	Split []Share
	// Gather lists the shards whose parts are merged into each answer. Each shard is a service.
	Gather []string
	// Top is the number of records in a gathered answer: those that sort highest.
	Top int
	// MinCoverage is the minimum coverage of a gathered answer: the fraction of shards that it must include, from 0 to 1.
	MinCoverage float64
	// Public permits requests without a key.
	Public bool
}

// Share is one service of a split and its weight.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable leaves.
type Service struct {
	Name string
	// Connections is the number of connections that one leaf accepts from all hosts combined.
	Connections int
	// Cold is how long a leaf is cold after it starts.
	Cold time.Duration
	// ColdRate is the number of requests per second that a cold leaf can handle; 0 means unspecified.
	ColdRate float64
}

// Limits are the limits on the size and the time of callers' requests.
type Limits struct {
	// Header and Body are maximum sizes in bytes; 0 means that the document sets no limit.
	Header, Body int
	// HeaderTimeout is the maximum time to receive a request's header, and IdleTimeout the maximum time between two requests; 0 means no
	// limit.
	HeaderTimeout, IdleTimeout time.Duration
}

// Faults lists all validation errors of a document.
type Faults []string

// Error returns the faults joined by semicolons.
func (f Faults) Error() string {
	return strings.Join(f, "; ")
}

// ErrDocument is the error of an invalid document.
var ErrDocument = errors.New("the configuration is not valid")

// Check validates the document. The error lists every fault, not only the first.
func (d *Document) Check() error {
	var faults Faults
	if d.Version == 0 {
		faults = append(faults, "version must be above 0")
	}
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" {
			faults = append(faults, "a service has no name")
		}
		services[s.Name] = true
	}
	faults = append(faults, checkTenants(d.Tenants)...)
	seen := make(map[routeKey]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		faults = append(faults, r.check(services)...)
		key := routeKey{strings.ToLower(r.Host), r.Prefix}
		if previous, ok := seen[key]; ok {
			faults = append(faults, fmt.Sprintf("routes %q and %q have the same host and prefix", previous, r.Name))
		}
		seen[key] = r.Name
	}
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrDocument, faults)
}

// check returns the faults of the route, given the names of the document's services.
func (r *Route) check(services map[string]bool) Faults {
	var faults Faults
	add := func(format string, args ...any) {
		faults = append(faults, fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
	}
	if r.Host == "" {
		add("host is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("prefix %q must begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		add("timeout must be above 0")
	}
	if r.MinCoverage < 0 || r.MinCoverage > 1 {
		add("least coverage must be 0 to 1")
	}
	for _, name := range r.Services() {
		if !services[name] {
			add("unknown service %q", name)
		}
	}
	if len(r.Gather) > 0 {
		seen := make(map[string]bool, len(r.Gather))
		for _, name := range r.Gather {
			if seen[name] {
				add("shard %q is named twice", name)
			}
			seen[name] = true
		}
		return faults
	}
	total := 0.0
	for _, s := range r.Split {
		if s.Weight < 0 {
			add("weight of %q is below 0", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		add("no service with a weight above 0")
	}
	return faults
}

// Services returns the names of all services that the route uses.
func (r *Route) Services() []string {
	if len(r.Gather) > 0 {
		return r.Gather
	}
	out := make([]string, 0, len(r.Split))
	for _, s := range r.Split {
		out = append(out, s.Service)
	}
	return out
}

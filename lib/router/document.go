// Package router finds the route of a request: by host and longest prefix, in the document that is in force.
package router

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Document is a whole configuration of routes under the operator's version number.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says where the requests of a host and a prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a request may wait for its answer.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth.
	Target time.Duration
	// Priority is the rank of the route; 0 comes first.
	Priority int
	// Attempts is the largest number of leaves to which one request may be sent, for each shard.
	Attempts int
	// Split lists the services that share the requests by weight; empty when the route gathers.
	Split []Share
	// Gather lists the shards, each a service, of which every answer has a part.
	Gather []string
	// Top is the number of greatest records in an answer that is gathered.
	Top int
	// Least is the share of the shards without which a gathered answer is none, 0 to 1.
	Least float64
}

// Share is one service of a route and its weight.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of leaves that answer alike.
type Service struct {
	Name string
	// Connections is the number of connections that one leaf accepts from all hosts together.
	Connections int
	// Cold is how long a leaf is cold after its start.
	Cold time.Duration
	// ColdRate is the number of requests a second that a cold leaf bears; 0 states none.
	ColdRate float64
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	// Header and Body are sizes in bytes; 0 means no bound from the document.
	Header, Body int
	// Receive bounds the time for a request's header, Idle the time between two requests; 0 means no bound.
	Receive, Idle time.Duration
}

// Faults lists everything that is wrong with a document.
type Faults []string

// Error joins the faults.
func (f Faults) Error() string {
	return strings.Join(f, "; ")
}

// ErrDocument marks a document that is not valid.
var ErrDocument = errors.New("the configuration is not valid")

// Check returns nil or every fault of the document.
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
	places := make(map[place]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		faults = append(faults, r.check(services)...)
		at := place{strings.ToLower(r.Host), r.Prefix}
		if other, ok := places[at]; ok {
			faults = append(faults, fmt.Sprintf("routes %q and %q have the same host and prefix", other, r.Name))
		}
		places[at] = r.Name
	}
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrDocument, faults)
}

// check returns the faults of one route.
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
	if r.Least < 0 || r.Least > 1 {
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

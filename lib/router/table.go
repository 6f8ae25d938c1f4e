package router

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// routeKey identifies a route.
type routeKey struct {
	host, prefix string
}

// Table finds routes in one document. It is immutable and safe for concurrent use.
type Table struct {
	document *Document
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	tenants  map[Digest]*Tenant
}

// NewTable returns the table of a document that has passed Check.
func NewTable(d *Document) *Table {
	t := &Table{document: d, hosts: make(map[string][]*Route), services: make(map[string]*Service, len(d.Services))}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	t.tenants = make(map[Digest]*Tenant)
	for i := range d.Tenants {
		for _, key := range d.Tenants[i].Keys {
			t.tenants[key] = &d.Tenants[i]
		}
	}
	return t
}

// Tenant returns the tenant that holds an API key.
func (t *Table) Tenant(key string) (*Tenant, bool) {
	if key == "" {
		return nil, false
	}
	tenant, ok := t.tenants[NewDigest(key)]
	return tenant, ok
}

// Version returns the document's version.
func (t *Table) Version() uint64 {
	return t.document.Version
}

// Document returns the document. Callers must not modify it.
func (t *Table) Document() *Document {
	return t.document
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Names reports whether the document names a service, as one of its services or in a route.
func (t *Table) Names(service string) bool {
	if _, ok := t.services[service]; ok {
		return true
	}
	return slices.ContainsFunc(t.document.Routes, func(r Route) bool {
		return slices.Contains(r.Gather, service) || slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service })
	})
}

// Find returns the route of a host with the longest prefix of the path. A port in host is ignored.
func (t *Table) Find(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pick returns the service of a split for a random number that is uniformly distributed from 0 to 1.
func (r *Route) Pick(drawn float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := drawn * total
	last := ""
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return last
}

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
	// named holds the tenants by name, the first of each.
	named map[string]*Tenant
	// needsKeys is true if requests on some route need a key.
	needsKeys bool
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
	t.needsKeys = d.Authenticated && slices.ContainsFunc(d.Routes, func(r Route) bool { return !r.Public })
	t.tenants, t.named = make(map[Digest]*Tenant), make(map[string]*Tenant, len(d.Tenants))
	for i := range d.Tenants {
		if _, ok := t.named[d.Tenants[i].Name]; !ok {
			t.named[d.Tenants[i].Name] = &d.Tenants[i]
		}
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
	return t.Holder(NewDigest(key))
}

// Holder returns the tenant that holds the API key with a digest.
func (t *Table) Holder(d Digest) (*Tenant, bool) {
	tenant, ok := t.tenants[d]
	return tenant, ok
}

// Named returns a tenant by name.
func (t *Table) Named(name string) (*Tenant, bool) {
	tenant, ok := t.named[name]
	return tenant, ok
}

// NeedsKeys reports whether requests on some route need a key.
func (t *Table) NeedsKeys() bool {
	return t.needsKeys
}

// KeyCount returns the number of API keys.
func (t *Table) KeyCount() int {
	return len(t.tenants)
}

// KeyChanges returns the number of API keys that this table has and an earlier one lacks, and the reverse. The earlier one
// may be nil.
func (t *Table) KeyChanges(earlier *Table) (added, removed int) {
	var before map[Digest]*Tenant
	if earlier != nil {
		before = earlier.tenants
	}
	for d := range t.tenants {
		if _, ok := before[d]; !ok {
			added++
		}
	}
	for d := range before {
		if _, ok := t.tenants[d]; !ok {
			removed++
		}
	}
	return added, removed
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

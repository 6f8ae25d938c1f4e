// Package authorizer decides from a peer's certificate what it may ask for.
package authorizer

import (
	"context"
	"crypto/x509"
	"net/http"
	"slices"

	"github.com/samber/oops"
)

// Role is the organizational unit of a certificate.
type Role string

// Roles that certificates may carry.
const (
	// Host is a process of the system.
	Host Role = "host"
	// Backend is a backend server.
	Backend Role = "backend"
	// Operator may change the configuration and read everything.
	Operator Role = "operator"
	// Analyst may read everything.
	Analyst Role = "analyst"
	// Caller may ask questions as the tenant that its common name states, and read that tenant's record.
	Caller Role = "caller"
)

// Peer is the other end of a connection.
type Peer struct {
	// Name is the certificate's common name.
	Name  string
	Roles []Role
	// Open is true when TLS is off: every request is then permitted, which settings allow on loopback only.
	Open bool
}

// Has reports whether the peer has one of the roles.
func (p Peer) Has(roles ...Role) bool {
	if p.Open {
		return true
	}
	for _, r := range roles {
		if slices.Contains(p.Roles, r) {
			return true
		}
	}
	return false
}

// Tenant decides whether the peer may act for a tenant.
func (p Peer) Tenant(tenant string) bool {
	if p.Open || p.Has(Operator, Analyst) {
		return true
	}
	return p.Has(Caller) && p.Name == tenant && tenant != ""
}

// FromCertificate returns the peer that a verified certificate describes.
func FromCertificate(c *x509.Certificate) Peer {
	p := Peer{Name: c.Subject.CommonName}
	for _, unit := range c.Subject.OrganizationalUnit {
		p.Roles = append(p.Roles, Role(unit))
	}
	return p
}

type key struct{}

// From returns the peer of a request. Without one nothing is permitted.
func From(ctx context.Context) Peer {
	p, _ := ctx.Value(key{}).(Peer)
	return p
}

// With returns a context that carries the peer.
func With(ctx context.Context, p Peer) context.Context {
	return context.WithValue(ctx, key{}, p)
}

// Require returns an error unless the peer of the request has one of the roles.
func Require(ctx context.Context, roles ...Role) error {
	if p := From(ctx); !p.Has(roles...) {
		return oops.In("authorizer").Errorf("%q has none of the roles %v", p.Name, roles)
	}
	return nil
}

// Handler puts the peer of each request into its context. With open set, TLS is off and every peer is permitted.
func Handler(next http.Handler, open bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer := Peer{Open: open}
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			peer = FromCertificate(r.TLS.PeerCertificates[0])
		}
		next.ServeHTTP(w, r.WithContext(With(r.Context(), peer)))
	})
}

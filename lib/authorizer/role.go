// Package authorizer decides from a peer's certificate which requests it may make.
package authorizer

import (
	"context"
	"crypto/x509"
	"net/http"
	"slices"

	"github.com/samber/oops"
)

// Role is a role of a peer: an organizational unit of its certificate.
type Role string

// Roles that a certificate may contain.
const (
	// Host is a process of the system.
	Host Role = "host"
	// Backend is a backend server.
	Backend Role = "backend"
	// Operator may change the configuration and read everything.
	Operator Role = "operator"
	// Analyst may read everything.
	Analyst Role = "analyst"
	// Caller may send queries as the tenant that its common name identifies, and read that tenant's answer records.
	Caller Role = "caller"
)

// Peer is the other end of a connection.
type Peer struct {
	// Name is the certificate's common name.
	Name  string
	Roles []Role
	// TLSDisabled is true when the process runs without TLS. Every request is then permitted; the settings allow this on
	// loopback only.
	TLSDisabled bool
}

// Has reports whether the peer has at least one of the roles.
func (p Peer) Has(roles ...Role) bool {
	if p.TLSDisabled {
		return true
	}
	for _, r := range roles {
		if slices.Contains(p.Roles, r) {
			return true
		}
	}
	return false
}

// Tenant reports whether the peer may act for a tenant.
func (p Peer) Tenant(tenant string) bool {
	if p.TLSDisabled || p.Has(Operator, Analyst) {
		return true
	}
	return p.Has(Caller) && p.Name == tenant && tenant != ""
}

// FromCertificate returns the peer that a certificate identifies. The certificate must have been verified.
func FromCertificate(c *x509.Certificate) Peer {
	p := Peer{Name: c.Subject.CommonName}
	for _, unit := range c.Subject.OrganizationalUnit {
		p.Roles = append(p.Roles, Role(unit))
	}
	return p
}

type peerContextKey struct{}

// PeerFrom returns the peer stored in the context. If there is none, the returned Peer has no permissions.
func PeerFrom(ctx context.Context) Peer {
	p, _ := ctx.Value(peerContextKey{}).(Peer)
	return p
}

// WithPeer returns a copy of the context that contains the peer.
func WithPeer(ctx context.Context, p Peer) context.Context {
	return context.WithValue(ctx, peerContextKey{}, p)
}

// Require returns an error unless the context's peer has one of the roles.
func Require(ctx context.Context, roles ...Role) error {
	if p := PeerFrom(ctx); !p.Has(roles...) {
		return oops.In("authorizer").Errorf("%q has none of the roles %v", p.Name, roles)
	}
	return nil
}

// Handler stores the peer of each request in its context. If tlsDisabled is set, every request is permitted.
func Handler(next http.Handler, tlsDisabled bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer := Peer{TLSDisabled: tlsDisabled}
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			peer = FromCertificate(r.TLS.PeerCertificates[0])
		}
		next.ServeHTTP(w, r.WithContext(WithPeer(r.Context(), peer)))
	})
}

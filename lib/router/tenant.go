package router

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// Tenant is a group of callers with keys and a quota of their own.
type Tenant struct {
	Name string
	// Keys are the digests of the keys that identify the tenant.
	Keys []Digest
	// Rate is the quota in requests per second over all hosts, and Burst the number of requests that may exceed it at one
	// time. There is no limit if both are 0.
	Rate, Burst float64
	// Priority overrides the priority of routes; nil if it does not. 0 is the highest.
	Priority *int
}

// Limited reports whether the tenant has a quota.
func (t *Tenant) Limited() bool {
	return t.Rate > 0 || t.Burst > 0
}

// Ordinal returns the position of a key among the tenant's keys, from 1, or 0 if the tenant does not hold it. Together with
// the version of the configuration it identifies the key to hosts that do not know it.
func (t *Tenant) Ordinal(d Digest) int {
	return slices.Index(t.Keys, d) + 1
}

// Key returns the digest of the key at a position of Ordinal.
func (t *Tenant) Key(ordinal int) (Digest, bool) {
	if ordinal < 1 || ordinal > len(t.Keys) {
		return Digest{}, false
	}
	return t.Keys[ordinal-1], true
}

// Digest is the keyed digest of an API key. Documents and tables hold digests only, so that no key appears in logs, metrics
// or crash output.
type Digest [sha256.Size]byte

// digestKey is drawn at the start of the process. A digest means nothing to another process.
var digestKey = newDigestKey()

func newDigestKey() []byte {
	key := make([]byte, sha256.Size)
	_, _ = rand.Read(key) // It never returns an error.
	return key
}

// NewDigest returns the digest of an API key.
func NewDigest(key string) Digest {
	h := hmac.New(sha256.New, digestKey)
	_, _ = h.Write([]byte(key))
	var out Digest
	h.Sum(out[:0])
	return out
}

// checkTenants returns the faults of the tenants of a document.
func checkTenants(tenants []Tenant) Faults {
	var faults Faults
	owners := make(map[Digest]int)
	for i, t := range tenants {
		if t.Name == "" {
			faults = append(faults, "a tenant has no name")
		}
		if strings.ContainsFunc(t.Name, unicode.IsControl) {
			// The name is sent to leaves as a header field.
			faults = append(faults, fmt.Sprintf("tenant %q: the name must not contain control characters", t.Name))
		}
		if t.Rate < 0 || t.Burst < 0 {
			faults = append(faults, fmt.Sprintf("tenant %q: rate and burst must not be below 0", t.Name))
		}
		for _, key := range t.Keys {
			if owner, ok := owners[key]; ok && owner != i {
				faults = append(faults, fmt.Sprintf("tenants %q and %q share a key", tenants[owner].Name, t.Name))
			}
			owners[key] = i
		}
	}
	return faults
}

package tenant

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// proofBytes is the length of a proof. A guess is right with a chance of 2^-96.
	proofBytes = 12
	// movedRetryAfter is the Retry-After for a request whose credential moved to
	// another tenant while it waited. The next request finds the new holder.
	movedRetryAfter = 50 * time.Millisecond
)

// Credential is a caller's credential and the tenant that holds it.
type Credential struct {
	tenant *vanillabarrow.Tenant
	digest vanillabarrow.CredentialDigest
}

// Authorize returns a request's credential, which has no tenant if the
// request needs none: the snapshot has no tenants, or the route is public and the
// credential empty. Requests that targets make on their own carry no credential and
// use such routes. The error is a refusal with ReasonUnauthorized.
func Authorize(s *vanillabarrow.Snapshot, route *vanillabarrow.Route, credential string) (Credential, error) {
	if len(s.Tenants) == 0 || credential == "" && route.Public {
		return Credential{}, nil
	}
	digest := vanillabarrow.CredentialDigest(sha256.Sum256([]byte(credential)))
	t := s.TenantsByCredential[digest]
	if credential == "" || t == nil {
		return Credential{}, unauthorized("no tenant holds the credential")
	}
	return Credential{tenant: t, digest: digest}, nil
}

func unauthorized(detail string) error {
	return vanillabarrow.NotRun(vanillabarrow.ReasonUnauthorized, detail)
}

// Apply sets what the credential and its tenant determine of a request. It does
// nothing without a tenant.
func (c Credential) Apply(r *vanillabarrow.Request) {
	if c.tenant == nil {
		return
	}
	r.Credential = c.digest
	Apply(r, c.tenant)
}

// Apply sets a tenant's name, priority and regions in a request that has those of its
// route.
func Apply(r *vanillabarrow.Request, t *vanillabarrow.Tenant) {
	r.Tenant = t.Name
	if t.Priority != nil {
		r.Priority = *t.Priority
	}
	r.Regions = intersect(r.Regions, t.Regions)
}

// intersect returns the regions that both a route and a tenant allow. Nil regions of
// the route and empty ones of the tenant allow all. The result is empty, not nil, if
// there is no common region.
func intersect(route, tenant []string) []string {
	switch {
	case len(tenant) == 0:
		return route
	case route == nil:
		return tenant
	}
	common := []string{}
	for _, region := range route {
		if slices.Contains(tenant, region) {
			common = append(common, region)
		}
	}
	return common
}

// CheckCredential refuses a request whose credential was withdrawn, or moved to another
// tenant, since the request arrived.
func CheckCredential(s *vanillabarrow.Snapshot, r *vanillabarrow.Request) error {
	if r.Tenant == "" || len(s.Tenants) == 0 {
		return nil
	}
	switch t := s.TenantsByCredential[r.Credential]; {
	case t == nil:
		return unauthorized("the credential was withdrawn")
	case t.Name != r.Tenant:
		refusal := vanillabarrow.NotRun(vanillabarrow.ReasonStaleConfig, "the credential moved to another tenant")
		refusal.RetryAfter = movedRetryAfter
		return refusal
	default:
		return nil
	}
}

// Proof returns the proof of a request's credential for one attempt, empty without a
// tenant. Only nodes that have the digest of the credential can check it, and it tells
// nobody the digest.
func Proof(r *vanillabarrow.Request, attempt string) string {
	if r.Tenant == "" {
		return ""
	}
	return proof(r.Credential, attempt)
}

func proof(digest vanillabarrow.CredentialDigest, attempt string) string {
	sum := sha256.Sum256(append(digest[:], attempt...))
	return hex.EncodeToString(sum[:proofBytes])
}

// CheckProof refuses an attempt whose credential was withdrawn after the sender chose
// the target, as may happen while the attempt waits at its gate. A gate whose
// configuration is not newer than the sender's relies on the sender's check.
func CheckProof(s *vanillabarrow.Snapshot, a *vanillabarrow.Attempt) error {
	if a.CredentialProof == "" || s.Version <= a.Version || len(s.Tenants) == 0 {
		return nil
	}
	if t := s.Tenants[a.Request.Tenant]; t != nil {
		for _, digest := range t.Credentials {
			if subtle.ConstantTimeCompare([]byte(proof(digest, a.ID)), []byte(a.CredentialProof)) == 1 {
				return nil
			}
		}
	}
	return unauthorized("the credential was withdrawn")
}

// Package route matches requests to the routes and services of a snapshot.
package route

import (
	"net"
	"slices"
	"strings"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// Match returns the most specific route for a request, or nil if there is none.
// Routes for the request's host take precedence over those for any host.
func Match(s *vanillabarrow.Snapshot, host, path, method string) *vanillabarrow.Route {
	host = normalizeHost(host)
	if r := firstMatch(s.Routes[host], path, method); r != nil || host == "" {
		return r
	}
	return firstMatch(s.Routes[""], path, method)
}

// firstMatch returns the first route that matches the path and the method.
func firstMatch(routes []*vanillabarrow.Route, path, method string) *vanillabarrow.Route {
	for _, r := range routes {
		if !matchesPath(r, path) {
			continue
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// matchesPath reports whether the path, without its query, has the route's prefix.
func matchesPath(r *vanillabarrow.Route, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	if r.LiteralPrefix {
		return strings.HasPrefix(path, r.PathPrefix)
	}
	return hasSegmentPrefix(path, r.PathPrefix)
}

// hasSegmentPrefix reports whether the path begins with the complete path segments
// of the prefix.
func hasSegmentPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// normalizeHost returns the host in lower case without a port.
func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// IsIdempotent reports whether requests may run more than once. The route's setting
// takes precedence over the service's idempotent methods.
func IsIdempotent(r *vanillabarrow.Route, s *vanillabarrow.Service, method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	return slices.Contains(s.IdempotentMethods, method)
}

// MayServe reports whether a target is in one of the regions in which a request may
// be served. Nil regions allow all targets.
func MayServe(s *vanillabarrow.Snapshot, regions []string, t *vanillabarrow.Target) bool {
	return regions == nil || slices.Contains(regions, RegionOf(s, t))
}

// RegionOf returns the region of a target's data centre.
func RegionOf(s *vanillabarrow.Snapshot, t *vanillabarrow.Target) string {
	return s.DataCentres[s.VMs[t.VM].DataCentre].Region
}

// Distance returns the distance of a target from a data centre: 0 in the same data
// centre, 1 in the same region and 2 elsewhere.
func Distance(s *vanillabarrow.Snapshot, from string, t *vanillabarrow.Target) int {
	to := s.VMs[t.VM].DataCentre
	if to == from {
		return 0
	}
	if own, ok := s.DataCentres[from]; ok && own.Region == s.DataCentres[to].Region {
		return 1
	}
	return 2
}

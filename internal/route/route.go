// Package route finds the service of a request in a snapshot.
package route

import (
	"net"
	"slices"
	"strings"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// Match returns the most specific route for a request, nil for none. Routes
// for the request's host go before those for any host.
func Match(s *vanillabarrow.Snapshot, host, path, method string) *vanillabarrow.Route {
	host = normalHost(host)
	if r := matchIn(s.Routes[host], path, method); r != nil || host == "" {
		return r
	}
	return matchIn(s.Routes[""], path, method)
}

func matchIn(routes []*vanillabarrow.Route, path, method string) *vanillabarrow.Route {
	for _, r := range routes {
		if !hasPrefix(path, r.PathPrefix) {
			continue
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// hasPrefix compares whole path segments.
func hasPrefix(path, prefix string) bool {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func normalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// IsIdempotent reports whether requests may run more than once: by the route's
// word, else by the service's methods.
func IsIdempotent(r *vanillabarrow.Route, s *vanillabarrow.Service, method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	return slices.Contains(s.IdempotentMethods, method)
}

// Distance returns 0 for targets in the data centre, 1 in its region and 2
// elsewhere.
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

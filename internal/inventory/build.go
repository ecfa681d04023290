package inventory

import (
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// builder combines documents into a snapshot and collects the problems found.
type builder struct {
	snapshot           *vanillabarrow.Snapshot
	problems           Problems
	docs               []*parsedDocument
	servicesWithPolicy map[string]bool
	routeNames         map[string]bool
}

// build returns the snapshot, or all problems as an error of type Problems.
func build(version vanillabarrow.Version, docs []*parsedDocument) (*vanillabarrow.Snapshot, error) {
	b := &builder{
		docs:               docs,
		servicesWithPolicy: map[string]bool{},
		routeNames:         map[string]bool{},
		snapshot: &vanillabarrow.Snapshot{
			Version:     version,
			Regions:     map[string]*vanillabarrow.Region{},
			DataCentres: map[string]*vanillabarrow.DataCentre{},
			VMs:         map[string]*vanillabarrow.VM{},
			Services:    map[string]*vanillabarrow.Service{},
			Targets:     map[string]*vanillabarrow.Target{},
			Routes:      map[string][]*vanillabarrow.Route{},
		},
	}
	// Each step runs for all documents before the next one, because the elements
	// of a document may refer to those of another.
	for _, step := range []func(*parsedDocument){
		b.addRegions, b.addDataCentres, b.addVMs, b.addServices,
		b.addPolicies, b.addTargets, b.addRoutes, b.markOutOfService,
	} {
		for _, doc := range docs {
			step(doc)
		}
	}
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	b.deriveFields()
	return b.snapshot, nil
}

func (b *builder) addProblem(at location, field, format string, args ...any) {
	b.problems = append(b.problems, at.problem(field, format, args...))
}

// addNamed adds an element under its name. It reports names that are empty,
// have surrounding white space or are already in use.
func addNamed[V any](b *builder, at location, into map[string]V, name string, value V) bool {
	if name == "" {
		b.addProblem(at, "name", "must not be empty")
		return false
	}
	if strings.TrimSpace(name) != name {
		b.addProblem(at, "name", "%q has leading or trailing white space", name)
		return false
	}
	if _, ok := into[name]; ok {
		b.addProblem(at, "name", "%q is defined twice", name)
		return false
	}
	into[name] = value
	return true
}

// checkReference reports a name that refers to no existing element.
func checkReference[V any](b *builder, at location, field, kind string, from map[string]V, name string) {
	if _, ok := from[name]; !ok {
		b.addProblem(at, field, "refers to %s %q, which does not exist", kind, name)
	}
}

func (b *builder) checkAddress(at location, field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		b.addProblem(at, field, "%q is not an IP address with a port", address)
	}
}

func (b *builder) addRegions(p *parsedDocument) {
	for i := range p.doc.Regions {
		addNamed(b, location{p, "regions", i}, b.snapshot.Regions, p.doc.Regions[i].Name, &p.doc.Regions[i])
	}
}

func (b *builder) addDataCentres(p *parsedDocument) {
	for i, dc := range p.doc.DataCentres {
		at := location{p, "dataCentres", i}
		// The snapshot gets a copy, because documents are cached across
		// versions and OutOfService is set for one version only.
		addNamed(b, at, b.snapshot.DataCentres, dc.Name, &dc)
		checkReference(b, at, "region", "region", b.snapshot.Regions, dc.Region)
	}
}

func (b *builder) addVMs(p *parsedDocument) {
	for i := range p.doc.VMs {
		vm := &p.doc.VMs[i]
		at := location{p, "vms", i}
		addNamed(b, at, b.snapshot.VMs, vm.Name, vm)
		checkReference(b, at, "dataCentre", "data centre", b.snapshot.DataCentres, vm.DataCentre)
		b.checkAddress(at, "peerAddress", vm.PeerAddress)
		if vm.OperatorAddress != "" {
			b.checkAddress(at, "operatorAddress", vm.OperatorAddress)
		}
	}
}

func (b *builder) addServices(p *parsedDocument) {
	for i, entry := range p.doc.Services {
		addNamed(b, location{p, "services", i}, b.snapshot.Services, entry.Name, &vanillabarrow.Service{
			Name:              entry.Name,
			Timeout:           DefaultTimeout,
			Retries:           DefaultRetries,
			IdempotentMethods: defaultIdempotentMethods,
			KeyWindow:         DefaultKeyWindow,
		})
	}
}

func (b *builder) addTargets(p *parsedDocument) {
	for i, target := range p.doc.Targets {
		at := location{p, "targets", i}
		addNamed(b, at, b.snapshot.Targets, target.Name, &target)
		checkReference(b, at, "service", "service", b.snapshot.Services, target.Service)
		checkReference(b, at, "vm", "VM", b.snapshot.VMs, target.VM)
		b.checkAddress(at, "address", target.Address)
		if target.Slots < 1 {
			b.addProblem(at, "slots", "is %d, must be at least 1", target.Slots)
		}
		if target.Connections < target.Slots {
			b.addProblem(at, "connections", "is %d, must be at least slots (%d)", target.Connections, target.Slots)
		}
	}
}

func (b *builder) addPolicies(p *parsedDocument) {
	for i, policy := range p.doc.Policies {
		at := location{p, "policies", i}
		checkReference(b, at, "service", "service", b.snapshot.Services, policy.Service)
		if b.servicesWithPolicy[policy.Service] {
			b.addProblem(at, "service", "%q has more than one policy", policy.Service)
		}
		b.servicesWithPolicy[policy.Service] = true
		if service, ok := b.snapshot.Services[policy.Service]; ok {
			b.applyPolicy(at, service, policy)
		}
	}
}

func (b *builder) applyPolicy(at location, service *vanillabarrow.Service, policy Policy) {
	if policy.Timeout != nil {
		service.Timeout = b.checkDuration(at, "timeout", *policy.Timeout, MinTimeout, MaxTimeout)
	}
	if policy.KeyWindow != nil {
		service.KeyWindow = b.checkDuration(at, "keyWindow", *policy.KeyWindow, 0, MaxKeyWindow)
	}
	if policy.Retries != nil {
		service.Retries = *policy.Retries
		if service.Retries < 0 || service.Retries > MaxRetries {
			b.addProblem(at, "retries", "is %d, must be between 0 and %d", service.Retries, MaxRetries)
		}
	}
	if policy.IdempotentMethods != nil {
		service.IdempotentMethods = policy.IdempotentMethods
		b.checkMethods(at, "idempotentMethods", policy.IdempotentMethods)
	}
	for _, status := range policy.NotRunStatuses {
		if status < 400 || status > 599 {
			b.addProblem(at, "notRunStatuses", "contains %d, must be between 400 and 599", status)
		}
	}
	service.NotRunStatuses = policy.NotRunStatuses
}

func (b *builder) checkDuration(at location, field string, d, minimum, maximum time.Duration) time.Duration {
	if d < minimum || d > maximum {
		b.addProblem(at, field, "is %s, must be between %s and %s", d, minimum, maximum)
	}
	return d
}

func (b *builder) checkMethods(at location, field string, methods []string) {
	for _, method := range methods {
		if method == "" || method != strings.ToUpper(method) {
			b.addProblem(at, field, "contains %q, must be an HTTP method in upper case", method)
		}
	}
}

func (b *builder) addRoutes(p *parsedDocument) {
	for i := range p.doc.Routes {
		route := &p.doc.Routes[i]
		at := location{p, "routes", i}
		b.checkDestination(at, route)
		b.checkRouteLimits(at, route)
		b.checkMethods(at, "methods", route.Methods)
		if !strings.HasPrefix(route.PathPrefix, "/") {
			b.addProblem(at, "pathPrefix", "%q must start with a slash", route.PathPrefix)
		}
		if strings.ContainsAny(route.Host, ":/ ") || route.Host != strings.ToLower(route.Host) {
			b.addProblem(at, "host", "%q must be a host name in lower case without a port", route.Host)
		}
		if route.Name == "" {
			b.addProblem(at, "name", "must not be empty")
		}
		if b.routeNames[route.Name] {
			b.addProblem(at, "name", "%q is defined twice", route.Name)
		}
		b.routeNames[route.Name] = true
		b.checkConflicts(at, route)
		b.snapshot.Routes[route.Host] = append(b.snapshot.Routes[route.Host], route)
	}
}

// checkDestination checks that a route has either a service or a valid traffic
// split.
func (b *builder) checkDestination(at location, route *vanillabarrow.Route) {
	if len(route.Split) == 0 {
		checkReference(b, at, "service", "service", b.snapshot.Services, route.Service)
		return
	}
	if route.Service != "" {
		b.addProblem(at, "service", "is %q, but the route also has a split; only one of them is allowed", route.Service)
	}
	total := 0.0
	for _, share := range route.Split {
		checkReference(b, at, "split", "service", b.snapshot.Services, share.Service)
		if share.Weight < 0 {
			b.addProblem(at, "split", "weight of %q is %g, must not be negative", share.Service, share.Weight)
		}
		total += share.Weight
	}
	if total <= 0 {
		b.addProblem(at, "split", "sum of the weights is %g, must be greater than zero", total)
	}
}

// checkRouteLimits checks the limits that a route sets for its requests.
func (b *builder) checkRouteLimits(at location, route *vanillabarrow.Route) {
	if route.Timeout != 0 {
		b.checkDuration(at, "timeout", route.Timeout, MinTimeout, MaxTimeout)
	}
	if route.Objective != 0 {
		b.checkDuration(at, "objective", route.Objective, 0, MaxTimeout)
	}
	if route.MaxAttempts < 0 || route.MaxAttempts > MaxRetries+1 {
		b.addProblem(at, "maxAttempts", "is %d, must be between 0 and %d", route.MaxAttempts, MaxRetries+1)
	}
	if route.Priority < 0 {
		b.addProblem(at, "priority", "is %d, must not be negative", route.Priority)
	}
}

// checkConflicts reports a route that matches requests of another route with
// the same precedence.
func (b *builder) checkConflicts(at location, route *vanillabarrow.Route) {
	for _, other := range b.snapshot.Routes[route.Host] {
		if other.PathPrefix != route.PathPrefix {
			continue
		}
		if methodsOverlap(other.Methods, route.Methods) {
			b.addProblem(at, "pathPrefix", "conflicts with route %q, which has the same host and path prefix and a common method", other.Name)
		}
	}
}

// methodsOverlap reports whether two routes with the same host and path prefix
// conflict. A route with methods takes precedence over one for all methods, so
// these do not conflict.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func (b *builder) markOutOfService(p *parsedDocument) {
	for i, name := range p.doc.OutOfService.DataCentres {
		if dc, ok := b.snapshot.DataCentres[name]; ok {
			dc.OutOfService = true
			continue
		}
		b.addProblem(location{p, "out.dataCentres", i}, "", "refers to data centre %q, which does not exist", name)
	}
	for i, name := range p.doc.OutOfService.Targets {
		if target, ok := b.snapshot.Targets[name]; ok {
			target.OutOfService = true
			continue
		}
		b.addProblem(location{p, "out.targets", i}, "", "refers to target %q, which does not exist", name)
	}
}

// deriveFields sets the fields that depend on other elements. The references
// between elements have been checked.
func (b *builder) deriveFields() {
	for _, target := range b.snapshot.Targets {
		vm := b.snapshot.VMs[target.VM]
		if b.snapshot.DataCentres[vm.DataCentre].OutOfService {
			target.OutOfService = true
		}
		service := b.snapshot.Services[target.Service]
		service.Targets = append(service.Targets, target.Name)
	}
	for _, service := range b.snapshot.Services {
		sort.Strings(service.Targets)
	}
	for _, routes := range b.snapshot.Routes {
		slices.SortStableFunc(routes, comparePrecedence)
	}
}

// comparePrecedence orders routes with longer prefixes first, then routes with
// methods before those without, then by name.
func comparePrecedence(a, b *vanillabarrow.Route) int {
	if d := len(b.PathPrefix) - len(a.PathPrefix); d != 0 {
		return d
	}
	if (len(a.Methods) == 0) != (len(b.Methods) == 0) {
		if len(a.Methods) > 0 {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

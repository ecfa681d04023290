package inventory

import (
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// builder joins documents into a snapshot and collects problems.
type builder struct {
	snapshot *vanillabarrow.Snapshot
	problems Problems
	docs     []*parsed
	policies map[string]bool
	routes   map[string]bool
}

func build(version vanillabarrow.Version, docs []*parsed) (*vanillabarrow.Snapshot, error) {
	b := &builder{
		docs:     docs,
		policies: map[string]bool{},
		routes:   map[string]bool{},
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
	for _, step := range []func(*parsed){
		b.addRegions, b.addDataCentres, b.addVMs, b.addServices,
		b.addPolicies, b.addTargets, b.addRoutes, b.addOut,
	} {
		for _, doc := range docs {
			step(doc)
		}
	}
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	b.finish()
	return b.snapshot, nil
}

func (b *builder) fail(at place, field, format string, args ...any) {
	b.problems = append(b.problems, at.problem(field, format, args...))
}

// add puts the element under its name, and reports an empty or taken name.
func add[V any](b *builder, at place, into map[string]V, name string, value V) bool {
	if name == "" {
		b.fail(at, "name", "is empty")
		return false
	}
	if strings.TrimSpace(name) != name {
		b.fail(at, "name", "%q has white space around it", name)
		return false
	}
	if _, ok := into[name]; ok {
		b.fail(at, "name", "%q is defined twice", name)
		return false
	}
	into[name] = value
	return true
}

// refer reports a reference to an element that does not exist.
func refer[V any](b *builder, at place, field, kind string, from map[string]V, name string) {
	if _, ok := from[name]; !ok {
		b.fail(at, field, "refers to %s %q, which does not exist", kind, name)
	}
}

func (b *builder) checkAddress(at place, field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		b.fail(at, field, "%q is not an IP address with a port", address)
	}
}

func (b *builder) addRegions(p *parsed) {
	for i := range p.doc.Regions {
		add(b, place{p, "regions", i}, b.snapshot.Regions, p.doc.Regions[i].Name, &p.doc.Regions[i])
	}
}

func (b *builder) addDataCentres(p *parsed) {
	for i, dc := range p.doc.DataCentres {
		at := place{p, "dataCentres", i}
		// Documents are cached between versions, so the flag is set on a copy.
		add(b, at, b.snapshot.DataCentres, dc.Name, &dc)
		refer(b, at, "region", "region", b.snapshot.Regions, dc.Region)
	}
}

func (b *builder) addVMs(p *parsed) {
	for i := range p.doc.VMs {
		vm := &p.doc.VMs[i]
		at := place{p, "vms", i}
		add(b, at, b.snapshot.VMs, vm.Name, vm)
		refer(b, at, "dataCentre", "data centre", b.snapshot.DataCentres, vm.DataCentre)
		b.checkAddress(at, "peerAddress", vm.PeerAddress)
		if vm.OperatorAddress != "" {
			b.checkAddress(at, "operatorAddress", vm.OperatorAddress)
		}
	}
}

func (b *builder) addServices(p *parsed) {
	for i, entry := range p.doc.Services {
		add(b, place{p, "services", i}, b.snapshot.Services, entry.Name, &vanillabarrow.Service{
			Name:              entry.Name,
			Timeout:           DefaultTimeout,
			Retries:           DefaultRetries,
			IdempotentMethods: defaultIdempotentMethods,
			KeyWindow:         DefaultKeyWindow,
		})
	}
}

func (b *builder) addTargets(p *parsed) {
	for i, target := range p.doc.Targets {
		at := place{p, "targets", i}
		add(b, at, b.snapshot.Targets, target.Name, &target)
		refer(b, at, "service", "service", b.snapshot.Services, target.Service)
		refer(b, at, "vm", "VM", b.snapshot.VMs, target.VM)
		b.checkAddress(at, "address", target.Address)
		if target.Slots < 1 {
			b.fail(at, "slots", "is %d, must be at least 1", target.Slots)
		}
		if target.Connections < target.Slots {
			b.fail(at, "connections", "is %d, must be at least slots (%d)", target.Connections, target.Slots)
		}
	}
}

func (b *builder) addPolicies(p *parsed) {
	for i, policy := range p.doc.Policies {
		at := place{p, "policies", i}
		refer(b, at, "service", "service", b.snapshot.Services, policy.Service)
		if b.policies[policy.Service] {
			b.fail(at, "service", "has a second policy for %q", policy.Service)
		}
		b.policies[policy.Service] = true
		if service, ok := b.snapshot.Services[policy.Service]; ok {
			b.applyPolicy(at, service, policy)
		}
	}
}

func (b *builder) applyPolicy(at place, service *vanillabarrow.Service, policy Policy) {
	if policy.Timeout != nil {
		service.Timeout = b.duration(at, "timeout", *policy.Timeout, MinTimeout, MaxTimeout)
	}
	if policy.KeyWindow != nil {
		service.KeyWindow = b.duration(at, "keyWindow", *policy.KeyWindow, 0, MaxKeyWindow)
	}
	if policy.Retries != nil {
		service.Retries = *policy.Retries
		if service.Retries < 0 || service.Retries > MaxRetries {
			b.fail(at, "retries", "is %d, must be from 0 to %d", service.Retries, MaxRetries)
		}
	}
	if policy.IdempotentMethods != nil {
		service.IdempotentMethods = policy.IdempotentMethods
		b.checkMethods(at, "idempotentMethods", policy.IdempotentMethods)
	}
	for _, status := range policy.NotRunStatuses {
		if status < 400 || status > 599 {
			b.fail(at, "notRunStatuses", "has %d, must be from 400 to 599", status)
		}
	}
	service.NotRunStatuses = policy.NotRunStatuses
}

func (b *builder) duration(at place, field string, d, low, high time.Duration) time.Duration {
	if d < low || d > high {
		b.fail(at, field, "is %s, must be from %s to %s", d, low, high)
	}
	return d
}

func (b *builder) checkMethods(at place, field string, methods []string) {
	for _, method := range methods {
		if method == "" || method != strings.ToUpper(method) {
			b.fail(at, field, "has %q, want an upper-case method", method)
		}
	}
}

func (b *builder) addRoutes(p *parsed) {
	for i := range p.doc.Routes {
		route := &p.doc.Routes[i]
		at := place{p, "routes", i}
		b.checkServices(at, route)
		b.checkRules(at, route)
		b.checkMethods(at, "methods", route.Methods)
		if !strings.HasPrefix(route.PathPrefix, "/") {
			b.fail(at, "pathPrefix", "%q does not start with a slash", route.PathPrefix)
		}
		if strings.ContainsAny(route.Host, ":/ ") || route.Host != strings.ToLower(route.Host) {
			b.fail(at, "host", "%q is not a lower-case host name without a port", route.Host)
		}
		if route.Name == "" {
			b.fail(at, "name", "is empty")
		}
		if b.routes[route.Name] {
			b.fail(at, "name", "%q is defined twice", route.Name)
		}
		b.routes[route.Name] = true
		b.checkOverlap(at, route)
		b.snapshot.Routes[route.Host] = append(b.snapshot.Routes[route.Host], route)
	}
}

// checkServices checks where a route leads: to one service, or to several by
// weight.
func (b *builder) checkServices(at place, route *vanillabarrow.Route) {
	if len(route.Split) == 0 {
		refer(b, at, "service", "service", b.snapshot.Services, route.Service)
		return
	}
	if route.Service != "" {
		b.fail(at, "service", "is %q beside a split, want one of them", route.Service)
	}
	total := 0.0
	for _, share := range route.Split {
		refer(b, at, "split", "service", b.snapshot.Services, share.Service)
		if share.Weight < 0 {
			b.fail(at, "split", "gives %q the weight %g, must not be below zero", share.Service, share.Weight)
		}
		total += share.Weight
	}
	if total <= 0 {
		b.fail(at, "split", "gives no service a weight")
	}
}

// checkRules checks the bounds that a route sets for its requests.
func (b *builder) checkRules(at place, route *vanillabarrow.Route) {
	if route.Timeout != 0 {
		b.duration(at, "timeout", route.Timeout, MinTimeout, MaxTimeout)
	}
	if route.Objective != 0 {
		b.duration(at, "objective", route.Objective, 0, MaxTimeout)
	}
	if route.MaxAttempts < 0 || route.MaxAttempts > MaxRetries+1 {
		b.fail(at, "maxAttempts", "is %d, must be from 0 to %d", route.MaxAttempts, MaxRetries+1)
	}
	if route.Priority < 0 {
		b.fail(at, "priority", "is %d, must not be below zero", route.Priority)
	}
}

// checkOverlap reports a route that could never be told apart from another.
func (b *builder) checkOverlap(at place, route *vanillabarrow.Route) {
	for _, other := range b.snapshot.Routes[route.Host] {
		if other.PathPrefix != route.PathPrefix {
			continue
		}
		if sameMethods(other.Methods, route.Methods) {
			b.fail(at, "pathPrefix", "matches the same requests as route %q", other.Name)
		}
	}
}

// sameMethods reports whether two routes of equal precedence share a method.
func sameMethods(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func (b *builder) addOut(p *parsed) {
	for i, name := range p.doc.OutOfService.DataCentres {
		if dc, ok := b.snapshot.DataCentres[name]; ok {
			dc.OutOfService = true
			continue
		}
		b.fail(place{p, "out.dataCentres", i}, "", "refers to data centre %q, which does not exist", name)
	}
	for i, name := range p.doc.OutOfService.Targets {
		if target, ok := b.snapshot.Targets[name]; ok {
			target.OutOfService = true
			continue
		}
		b.fail(place{p, "out.targets", i}, "", "refers to target %q, which does not exist", name)
	}
}

// finish fills what is derived from checked parts.
func (b *builder) finish() {
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
		slices.SortStableFunc(routes, moreSpecific)
	}
}

// moreSpecific orders longer prefixes first, then routes with methods before
// those without.
func moreSpecific(a, b *vanillabarrow.Route) int {
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

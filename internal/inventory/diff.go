package inventory

import (
	"reflect"
	"slices"
	"strings"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// ChangeKind states whether an element was added, removed or changed.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two snapshots.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Element is the type of the element: region, dataCentre, vm, service,
	// target or route.
	Element string `json:"element"`
	Name    string `json:"name"`
	// Fields lists the fields of a changed element that differ.
	Fields []string `json:"fields,omitempty"`
}

// Diff returns the differences between two snapshots, ordered by type of
// element, as listed at Change.Element, and name.
func Diff(from, to *vanillabarrow.Snapshot) []Change {
	var changes []Change
	changes = append(changes, diffMaps("region", from.Regions, to.Regions)...)
	changes = append(changes, diffMaps("dataCentre", from.DataCentres, to.DataCentres)...)
	changes = append(changes, diffMaps("vm", from.VMs, to.VMs)...)
	changes = append(changes, diffMaps("service", from.Services, to.Services)...)
	changes = append(changes, diffMaps("target", from.Targets, to.Targets)...)
	changes = append(changes, diffMaps("route", routesByName(from), routesByName(to))...)
	return changes
}

func routesByName(s *vanillabarrow.Snapshot) map[string]*vanillabarrow.Route {
	routes := map[string]*vanillabarrow.Route{}
	for _, list := range s.Routes {
		for _, r := range list {
			routes[r.Name] = r
		}
	}
	return routes
}

func diffMaps[V any](element string, from, to map[string]*V) []Change {
	var changes []Change
	for name, older := range from {
		newer, ok := to[name]
		if !ok {
			changes = append(changes, Change{Kind: Removed, Element: element, Name: name})
			continue
		}
		if fields := diffFields(older, newer); len(fields) > 0 {
			changes = append(changes, Change{Kind: Changed, Element: element, Name: name, Fields: fields})
		}
	}
	for name := range to {
		if _, ok := from[name]; !ok {
			changes = append(changes, Change{Kind: Added, Element: element, Name: name})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	return changes
}

// diffFields returns the names of the fields that differ, as in their json
// tags.
func diffFields[V any](from, to *V) []string {
	var fields []string
	a, b := reflect.ValueOf(from).Elem(), reflect.ValueOf(to).Elem()
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
			fields = append(fields, name)
		}
	}
	return fields
}

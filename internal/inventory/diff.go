package inventory

import (
	"reflect"
	"slices"
	"strings"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// ChangeKind says what happened to an element.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two snapshots.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Element is region, dataCentre, vm, service, target or route.
	Element string `json:"element"`
	Name    string `json:"name"`
	// Fields lists what differs, for a changed element.
	Fields []string `json:"fields,omitempty"`
}

// Diff returns what would change between two snapshots, in a fixed order.
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
	for name, old := range from {
		fresh, ok := to[name]
		if !ok {
			changes = append(changes, Change{Kind: Removed, Element: element, Name: name})
			continue
		}
		if fields := diffFields(old, fresh); len(fields) > 0 {
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

// diffFields returns the names, as in documents, of the fields that differ.
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

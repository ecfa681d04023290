package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

func TestMatch(t *testing.T) {
	s := &vanillabarrow.Snapshot{Routes: map[string][]*vanillabarrow.Route{
		"": {
			{Name: "filesPut", PathPrefix: "/files", Methods: []string{"PUT"}},
			{Name: "files", PathPrefix: "/files"},
			{Name: "slash", PathPrefix: "/dir/"},
			{Name: "root", PathPrefix: "/"},
		},
		"desk.example": {{Name: "desk", PathPrefix: "/files"}},
	}}
	tests := map[string]struct {
		host, path, method string
		want               string
	}{
		"longest prefix":          {"", "/files/7", "GET", "files"},
		"method":                  {"", "/files/7", "PUT", "filesPut"},
		"complete segments only":  {"", "/filesystem", "GET", "root"},
		"prefix itself":           {"", "/files", "GET", "files"},
		"query ignored":           {"", "/files?x=/y", "GET", "files"},
		"prefix with slash":       {"", "/dir", "GET", "slash"},
		"host before any host":    {"desk.example", "/files", "PUT", "desk"},
		"host with port and case": {"Desk.Example:80", "/files", "GET", "desk"},
		"no match for the host":   {"desk.example", "/other", "GET", "root"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, Match(s, tt.host, tt.path, tt.method).Name)
		})
	}
	require.Nil(t, Match(&vanillabarrow.Snapshot{}, "", "/", "GET"))
}

func TestDistance(t *testing.T) {
	s := &vanillabarrow.Snapshot{
		DataCentres: map[string]*vanillabarrow.DataCentre{"a": {Region: "r"}, "b": {Region: "r"}, "c": {Region: "q"}},
		VMs:         map[string]*vanillabarrow.VM{"vm": {DataCentre: "a"}},
	}
	tests := map[string]struct {
		from string
		want int
	}{
		"same data centre":    {"a", 0},
		"same region":         {"b", 1},
		"other region":        {"c", 2},
		"unknown data centre": {"x", 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, Distance(s, tt.from, &vanillabarrow.Target{VM: "vm"}))
		})
	}
}

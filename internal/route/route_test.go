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

// TestLiteralPrefixKeepsItsSlash guards against a path without its last slash that
// takes a longer route, whose requests may be repeated or go to another service.
func TestLiteralPrefixKeepsItsSlash(t *testing.T) {
	literal := func(prefix string) *vanillabarrow.Route {
		return &vanillabarrow.Route{Name: prefix, PathPrefix: prefix, LiteralPrefix: true}
	}
	s := &vanillabarrow.Snapshot{Routes: map[string][]*vanillabarrow.Route{
		"": {literal("/file/drafts/"), literal("/files/"), literal("/file/")},
	}}
	tests := map[string]struct {
		path string
		want string
	}{
		"prefix itself":                 {"/file/drafts/", "/file/drafts/"},
		"below the prefix":              {"/file/drafts/7", "/file/drafts/"},
		"longer prefix without slash":   {"/file/drafts", "/file/"},
		"with a query":                  {"/file/drafts?x=/", "/file/"},
		"slash in the query only":       {"/file?/", ""},
		"segment with another ending":   {"/file/drafts2", "/file/"},
		"only prefix without its slash": {"/file", ""},
		"encoded slash":                 {"/file/drafts%2F7", "/file/"},
		"two slashes":                   {"/file//drafts/", "/file/"},
		"leading slashes":               {"//file/", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := Match(s, "", tt.path, "POST"); r != nil {
				got = r.Name
			}
			require.Equal(t, tt.want, got)
		})
	}
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

package discovery

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

func snapshotOf(out bool, targets ...vanillabarrow.Target) *vanillabarrow.Snapshot {
	s := &vanillabarrow.Snapshot{
		Version:     7,
		DataCentres: map[string]*vanillabarrow.DataCentre{"a": {Name: "a", OutOfService: out}},
		VMs:         map[string]*vanillabarrow.VM{"vm": {Name: "vm", DataCentre: "a"}},
		Targets:     map[string]*vanillabarrow.Target{},
	}
	for _, t := range targets {
		t.VM = "vm"
		s.Targets[t.Name] = &t
	}
	return s
}

// tenantSnapshot returns a snapshot with tenants that hold one credential each.
func tenantSnapshot(tenants map[string]byte) *vanillabarrow.Snapshot {
	s := snapshotOf(false)
	s.Tenants = map[string]*vanillabarrow.Tenant{}
	s.TenantsByCredential = map[vanillabarrow.CredentialDigest]*vanillabarrow.Tenant{}
	for name, credential := range tenants {
		t := &vanillabarrow.Tenant{Name: name, Credentials: []vanillabarrow.CredentialDigest{{credential}}}
		s.Tenants[name], s.TenantsByCredential[t.Credentials[0]] = t, t
	}
	return s
}

func TestChanges(t *testing.T) {
	one := vanillabarrow.Target{Name: "one"}
	draining := vanillabarrow.Target{Name: "one", Draining: true}
	tests := map[string]struct {
		older, newer *vanillabarrow.Snapshot
		want         []string
	}{
		"first snapshot":                    {nil, snapshotOf(false, one), []string{logging.EventTargetAdded}},
		"first, data centre out of service": {nil, snapshotOf(true), []string{logging.EventDataCentreOutOfService}},
		"no change":                         {snapshotOf(false, one), snapshotOf(false, one), nil},
		"target starts draining":            {snapshotOf(false, one), snapshotOf(false, draining), []string{logging.EventTargetDraining}},
		"target still draining":             {snapshotOf(false, draining), snapshotOf(false, draining), nil},
		"target replaced": {
			snapshotOf(false, one), snapshotOf(false, vanillabarrow.Target{Name: "two"}),
			[]string{logging.EventTargetAdded, logging.EventTargetRemoved},
		},
		"credential withdrawn": {
			tenantSnapshot(map[string]byte{"a": 1, "b": 2}), tenantSnapshot(map[string]byte{"a": 1}),
			[]string{logging.EventCredentialWithdrawn},
		},
		"credential moved": {
			tenantSnapshot(map[string]byte{"a": 1, "b": 2}), tenantSnapshot(map[string]byte{"a": 2, "b": 1}),
			[]string{logging.EventCredentialWithdrawn, logging.EventCredentialWithdrawn},
		},
		"credential added":            {tenantSnapshot(nil), tenantSnapshot(map[string]byte{"a": 1}), nil},
		"data centre back in service": {snapshotOf(true, one), snapshotOf(false, one), []string{logging.EventDataCentreInService}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var events []string
			for _, c := range Changes(tt.older, tt.newer) {
				events = append(events, c.Event)
			}
			require.Equal(t, tt.want, events)
		})
	}
}

// TestChangeLinesAreBounded checks that a fleet added in one change does not
// flood the log.
func TestChangeLinesAreBounded(t *testing.T) {
	targets := make([]vanillabarrow.Target, 100)
	for i := range targets {
		targets[i].Name = "target-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
	}
	var out bytes.Buffer
	logApplied(slog.New(slog.NewTextHandler(&out, nil)), nil, snapshotOf(false, targets...), time.Second, time.Now())
	require.Equal(t, 1+maxChangeLines, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `msg="configuration applied" asOf=7 age=1s routes=0 services=0 targets=100`)
}

// TestKeptConfigurationIsLogged guards against traces that don't show that a decision rested
// on what was kept against the copy of a restored platform.
func TestKeptConfigurationIsLogged(t *testing.T) {
	tests := map[string]struct {
		configKept, targetKept bool
		want                   string
	}{
		"nothing":       {false, false, "targets=2\n"},
		"target":        {false, true, "targets=2 keptTargets=1 configKept=false\n"},
		"configuration": {true, false, "targets=2 keptTargets=0 configKept=true\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := snapshotOf(false, vanillabarrow.Target{Name: "a", Kept: tt.targetKept}, vanillabarrow.Target{Name: "b"})
			s.ConfigKept = tt.configKept
			var out bytes.Buffer
			logApplied(slog.New(slog.NewTextHandler(&out, nil)), nil, s, time.Second, time.Now())
			require.Contains(t, out.String(), tt.want)
		})
	}
}

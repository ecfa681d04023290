package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/property"
)

// document returns one part of an inventory. An invalid one refers to a service
// that does not exist.
func document(dc string, targets int, invalid bool) []byte {
	service := "svc-" + dc
	text := fmt.Sprintf(`kind: config
schema: 1
regions: [{name: r-%[1]s}]
dataCentres: [{name: %[1]s, region: r-%[1]s}]
vms: [{name: vm-%[1]s, dataCentre: %[1]s, peerAddress: "127.0.0.1:1"}]
services: [{name: svc-%[1]s}]
routes: [{name: route-%[1]s, pathPrefix: /%[1]s, service: svc-%[1]s}]
targets:
`, dc)
	if invalid {
		service = "absent"
	}
	for i := range targets {
		text += fmt.Sprintf("  - {name: t-%s-%d, service: %s, vm: vm-%s, address: \"127.0.0.1:%d\", slots: 1, connections: 1}\n",
			dc, i, service, dc, i+1)
	}
	return []byte(text)
}

// machineChecks is lower than the default, because each run compiles dozens of
// documents.
const machineChecks = 300

// publishedVersion is one version in the model.
type publishedVersion struct {
	bundle  *vanillabarrow.Bundle
	valid   bool
	targets int
}

// machine compares a table with a model of the versions offered to it.
type machine struct {
	table    *Table
	versions []publishedVersion
	held     int
	inForce  int
	now      time.Time
}

// Publish makes a version of one to three parts, valid or not.
func (m *machine) Publish(t *rapid.T) {
	var files []inventory.File
	p := publishedVersion{valid: true}
	for i := range rapid.IntRange(1, 3).Draw(t, "parts") {
		n := rapid.IntRange(0, 4).Draw(t, "targets")
		invalid := n > 0 && rapid.IntRange(0, 4).Draw(t, "bad") == 0
		p.valid = p.valid && !invalid
		p.targets += n
		dc := fmt.Sprintf("dc%d", i)
		files = append(files, inventory.File{Name: dc, Bytes: document(dc, n, invalid)})
	}
	manifest, _ := inventory.BuildManifest(files)
	p.bundle = &vanillabarrow.Bundle{
		Topic:   vanillabarrow.TopicConfig,
		Version: vanillabarrow.Version(len(m.versions) + 1),
		Root:    marshal(t, manifest),
	}
	for i, f := range files {
		p.bundle.Parts = append(p.bundle.Parts, vanillabarrow.Part{
			Name: f.Name, Digest: manifest.Parts[i].Digest, Bytes: f.Bytes,
		})
	}
	m.versions = append(m.versions, p)
}

func (m *machine) drawVersion(t *rapid.T) int {
	if len(m.versions) == 0 {
		t.Skip("nothing is published")
	}
	return rapid.IntRange(1, len(m.versions)).Draw(t, "version")
}

// Offer gives the table any version, old or new.
func (m *machine) Offer(t *rapid.T) {
	n := m.drawVersion(t)
	m.offerAndCheck(t, n, m.versions[n-1].bundle)
}

// Relay offers the bundle assembled from another table's update.
func (m *machine) Relay(t *rapid.T) {
	n := m.drawVersion(t)
	other := New()
	for _, known := range []int{m.held, n} {
		if known > 0 {
			_, _ = other.Offer(m.versions[known-1].bundle, m.now)
		}
	}
	update, err := other.UpdateFor(m.table.TopicState(vanillabarrow.TopicConfig))
	require.NoError(t, err)
	if n <= m.held {
		require.Nil(t, update)
		return
	}
	b, err := m.table.Assemble(update)
	require.NoError(t, err)
	require.True(t, SameBundle(m.versions[n-1].bundle, b))
	m.offerAndCheck(t, n, b)
}

// offerAndCheck offers version n and compares the outcome with the model.
func (m *machine) offerAndCheck(t *rapid.T, n int, b *vanillabarrow.Bundle) {
	outcome, err := m.table.Offer(b, m.now)
	p := m.versions[n-1]
	switch {
	case n <= m.held:
		require.Equal(t, OutcomeStale, outcome)
		return
	case p.valid:
		require.Equal(t, OutcomeApplied, outcome)
		require.NoError(t, err)
		m.inForce = n
	default:
		require.Equal(t, OutcomeRejected, outcome)
		require.ErrorContains(t, err, "absent")
	}
	m.held = n
}

// Torn offers a version with a part missing, or with content that does not
// match its digest.
func (m *machine) Torn(t *rapid.T) {
	n := m.drawVersion(t)
	original := m.versions[n-1].bundle
	corrupt := *original
	corrupt.Parts = append([]vanillabarrow.Part(nil), original.Parts...)
	if rapid.Bool().Draw(t, "missing") {
		corrupt.Parts = corrupt.Parts[1:]
	} else {
		corrupt.Parts[0].Bytes = append([]byte("#"), corrupt.Parts[0].Bytes...)
	}
	outcome, _ := m.table.Offer(&corrupt, m.now)
	if n <= m.held {
		require.Equal(t, OutcomeStale, outcome)
		return
	}
	require.Equal(t, OutcomeIncomplete, outcome)
}

// Restart starts with an empty table, because nodes keep nothing on disk.
func (m *machine) Restart(*rapid.T) {
	m.table = New()
	m.held, m.inForce = 0, 0
}

// Check compares the table with the model, and checks that the snapshot in
// force has no dangling references.
func (m *machine) Check(t *rapid.T) {
	require.Equal(t, vanillabarrow.Version(m.held), m.table.HeldVersion(vanillabarrow.TopicConfig))
	snapshot := m.table.Snapshot()
	if m.inForce == 0 {
		require.Nil(t, snapshot)
		return
	}
	require.Equal(t, vanillabarrow.Version(m.inForce), snapshot.Version)
	require.Len(t, snapshot.Targets, m.versions[m.inForce-1].targets)
	for _, routes := range snapshot.Routes {
		for _, r := range routes {
			require.Contains(t, snapshot.Services, r.Service)
		}
	}
	for _, target := range snapshot.Targets {
		require.Contains(t, snapshot.VMs, target.VM)
		require.Contains(t, snapshot.Services, target.Service)
	}
}

func TestTableMachine(t *testing.T) {
	property.CheckN(t, machineChecks, func(t *rapid.T) {
		m := &machine{table: New(), now: time.Unix(0, 0)}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

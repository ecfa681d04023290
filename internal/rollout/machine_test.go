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

// document returns one part. A bad one refers to a service that is not there.
func document(dc string, targets int, bad bool) []byte {
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
	if bad {
		service = "absent"
	}
	for i := range targets {
		text += fmt.Sprintf("  - {name: t-%s-%d, service: %s, vm: vm-%s, address: \"127.0.0.1:%d\", slots: 1, connections: 1}\n",
			dc, i, service, dc, i+1)
	}
	return []byte(text)
}

// machineChecks is lower than the default, since each run compiles some tens
// of documents.
const machineChecks = 300

// published is one version as the oracle knows it.
type published struct {
	bundle  *vanillabarrow.Bundle
	good    bool
	targets int
}

// machine compares a table with a plain account of what was offered.
type machine struct {
	table    *Table
	versions []published
	held     int
	inForce  int
	now      time.Time
}

// Publish makes a version of one to three parts, good or bad.
func (m *machine) Publish(t *rapid.T) {
	var files []inventory.File
	p := published{good: true}
	for i := range rapid.IntRange(1, 3).Draw(t, "parts") {
		n := rapid.IntRange(0, 4).Draw(t, "targets")
		bad := n > 0 && rapid.IntRange(0, 4).Draw(t, "bad") == 0
		p.good = p.good && !bad
		p.targets += n
		dc := fmt.Sprintf("dc%d", i)
		files = append(files, inventory.File{Name: dc, Bytes: document(dc, n, bad)})
	}
	manifest, _ := inventory.Split(files)
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

func (m *machine) draw(t *rapid.T) int {
	if len(m.versions) == 0 {
		t.Skip("nothing is published")
	}
	return rapid.IntRange(1, len(m.versions)).Draw(t, "version")
}

// Offer gives the table any version, old or new.
func (m *machine) Offer(t *rapid.T) {
	n := m.draw(t)
	m.offered(t, n, m.versions[n-1].bundle)
}

// Relay makes an update from another table and offers what it assembles to.
func (m *machine) Relay(t *rapid.T) {
	n := m.draw(t)
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
	m.offered(t, n, b)
}

func (m *machine) offered(t *rapid.T, n int, b *vanillabarrow.Bundle) {
	outcome, err := m.table.Offer(b, m.now)
	p := m.versions[n-1]
	switch {
	case n <= m.held:
		require.Equal(t, OutcomeStale, outcome)
		return
	case p.good:
		require.Equal(t, OutcomeApplied, outcome)
		require.NoError(t, err)
		m.inForce = n
	default:
		require.Equal(t, OutcomeRejected, outcome)
		require.ErrorContains(t, err, "absent")
	}
	m.held = n
}

// Torn offers a version with a part missing, or another version's part.
func (m *machine) Torn(t *rapid.T) {
	n := m.draw(t)
	whole := m.versions[n-1].bundle
	torn := *whole
	torn.Parts = append([]vanillabarrow.Part(nil), whole.Parts...)
	if rapid.Bool().Draw(t, "missing") {
		torn.Parts = torn.Parts[1:]
	} else {
		torn.Parts[0].Bytes = append([]byte("#"), torn.Parts[0].Bytes...)
	}
	outcome, _ := m.table.Offer(&torn, m.now)
	if n <= m.held {
		require.Equal(t, OutcomeStale, outcome)
		return
	}
	require.Equal(t, OutcomeIncomplete, outcome)
}

// Restart loses everything, as a process without a disk does.
func (m *machine) Restart(*rapid.T) {
	m.table = New()
	m.held, m.inForce = 0, 0
}

// Check compares what is in force with the account.
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

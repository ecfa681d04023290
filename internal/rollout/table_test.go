package rollout

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
)

func marshal(t require.TestingT, v any) []byte {
	b, err := yaml.Marshal(v)
	require.NoError(t, err)
	return b
}

func single(version vanillabarrow.Version, doc []byte) *vanillabarrow.Bundle {
	return &vanillabarrow.Bundle{Topic: vanillabarrow.TopicConfig, Version: version, Root: doc}
}

func TestOffer(t *testing.T) {
	good, bad := document("a", 1, false), document("a", 1, true)
	tests := map[string]struct {
		offers   []*vanillabarrow.Bundle
		want     Outcome
		inForce  vanillabarrow.Version
		rejected bool
	}{
		"first":                     {[]*vanillabarrow.Bundle{single(1, good)}, OutcomeApplied, 1, false},
		"same again":                {[]*vanillabarrow.Bundle{single(1, good), single(1, good)}, OutcomeStale, 1, false},
		"older after newer":         {[]*vanillabarrow.Bundle{single(2, good), single(1, good)}, OutcomeStale, 2, false},
		"bad keeps the one before":  {[]*vanillabarrow.Bundle{single(1, good), single(2, bad)}, OutcomeRejected, 1, true},
		"good after bad":            {[]*vanillabarrow.Bundle{single(1, bad), single(2, good)}, OutcomeApplied, 2, false},
		"not YAML":                  {[]*vanillabarrow.Bundle{single(1, []byte("\x00"))}, OutcomeRejected, 0, true},
		"manifest that is no match": {[]*vanillabarrow.Bundle{single(1, []byte("kind: manifest\nschema: 9\n"))}, OutcomeRejected, 0, true},
		"manifest without its parts": {[]*vanillabarrow.Bundle{single(1, []byte(
			"kind: manifest\nschema: 1\nparts: [{name: a, digest: "+inventory.Digest(good)+"}]\n"))}, OutcomeIncomplete, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := New()
			var got Outcome
			for _, b := range tt.offers {
				got, _ = table.Offer(b, time.Unix(1, 0))
			}
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.inForce, table.Status().InForce)
			require.Equal(t, tt.rejected, table.Status().Rejection != nil)
		})
	}
}

func TestRejectedVersionIsRelayed(t *testing.T) {
	first, second := New(), New()
	_, err := first.Offer(single(3, document("a", 1, true)), time.Now())
	require.ErrorContains(t, err, `service "absent", which does not exist`)
	update, err := first.UpdateFor(second.TopicState(vanillabarrow.TopicConfig))
	require.NoError(t, err)
	b, err := second.Assemble(update)
	require.NoError(t, err)
	require.True(t, SameBundle(first.HeldBundle(vanillabarrow.TopicConfig), b))
}

func TestAcceptedVersionReachesStarter(t *testing.T) {
	first, starter := New(), New()
	for v, bad := range []bool{false, true} {
		_, _ = first.Offer(single(vanillabarrow.Version(v+1), document("a", 1, bad)), time.Now())
	}
	for _, topic := range []vanillabarrow.Topic{vanillabarrow.TopicConfig, vanillabarrow.TopicAccepted} {
		update, err := first.UpdateFor(starter.TopicState(topic))
		require.NoError(t, err)
		b, err := starter.Assemble(update)
		require.NoError(t, err)
		_, _ = starter.Offer(b, time.Now())
	}
	status := starter.Status()
	require.Equal(t, vanillabarrow.Version(2), status.Held)
	require.Equal(t, vanillabarrow.Version(1), status.InForce)
	require.Equal(t, vanillabarrow.Version(2), status.Rejection.Version)
	outcome, _ := starter.Offer(single(3, document("a", 2, false)), time.Now())
	require.Equal(t, OutcomeApplied, outcome)
	require.Nil(t, starter.HeldBundle(vanillabarrow.TopicAccepted))
}

func TestAssembleRefusesDamage(t *testing.T) {
	sender := New()
	_, _ = sender.Offer(single(1, document("a", 2, false)), time.Now())
	_, _ = sender.Offer(single(2, document("a", 3, false)), time.Now())
	held := vanillabarrow.TopicState{Topic: vanillabarrow.TopicConfig, Version: 1, RootDigest: inventory.Digest(document("a", 2, false))}
	tests := map[string]struct {
		damage func(u *vanillabarrow.Update)
		holds  bool
		want   string
	}{
		"base is absent":     {func(*vanillabarrow.Update) {}, false, "base of the patch is absent"},
		"content is damaged": {func(u *vanillabarrow.Update) { u.Root.Content = []byte("x") }, true, "part"},
		"digest is another":  {func(u *vanillabarrow.Update) { u.Root.Digest = "00" }, true, "does not match its digest"},
		"bytes assumed held": {func(u *vanillabarrow.Update) { u.Root.Held, u.Root.Digest = true, "00" }, true, "assumed held"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			receiver := New()
			if tt.holds {
				_, err := receiver.Offer(single(1, document("a", 2, false)), time.Now())
				require.NoError(t, err)
			}
			update, err := sender.UpdateFor(held)
			require.NoError(t, err)
			require.NotEmpty(t, update.Root.Base)
			tt.damage(update)
			_, err = receiver.Assemble(update)
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// TestHistoryIsBounded offers many large versions.
func TestHistoryIsBounded(t *testing.T) {
	table := New()
	for v := range 10 {
		root := fmt.Appendf(nil, "# %d %s\n", v, bytes.Repeat([]byte("x"), inventory.MaxValueBytes-100))
		_, _ = table.Offer(single(vanillabarrow.Version(v+1), root), time.Now())
	}
	h := table.history[vanillabarrow.TopicConfig]
	require.LessOrEqual(t, len(h.bundles), historyVersions)
	require.LessOrEqual(t, h.size(), historyBytes)
}

// fullInventory returns the parts of a fleet of the given size.
func fullInventory(dataCentres, targets int) []inventory.File {
	files := []inventory.File{}
	for dc := range dataCentres {
		files = append(files, inventory.File{Name: fmt.Sprintf("dc%d", dc), Bytes: document(fmt.Sprintf("dc%d", dc), targets/dataCentres, false)})
	}
	return files
}

func bundleOf(b require.TestingT, version vanillabarrow.Version, files []inventory.File) *vanillabarrow.Bundle {
	manifest, _ := inventory.Split(files)
	bundle := single(version, marshal(b, manifest))
	for i, f := range files {
		bundle.Parts = append(bundle.Parts, vanillabarrow.Part{Name: f.Name, Digest: manifest.Parts[i].Digest, Bytes: f.Bytes})
	}
	return bundle
}

// BenchmarkChange measures one change of one target among 4,600: applying it,
// and the bytes that a child is sent.
func BenchmarkChange(b *testing.B) {
	files := fullInventory(21, 4600)
	plain := make([][]byte, len(files))
	for i, f := range files {
		plain[i] = f.Bytes
	}
	table := New()
	_, err := table.Offer(bundleOf(b, 1, files), time.Now())
	require.NoError(b, err)
	version := vanillabarrow.Version(1)
	sent, full := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		held := table.TopicState(vanillabarrow.TopicConfig)
		n := rand.IntN(len(files))
		files[n].Bytes = append(plain[n][:len(plain[n]):len(plain[n])], fmt.Appendf(nil, "# revision %d\n", version)...)
		version++
		_, err := table.Offer(bundleOf(b, version, files), time.Now())
		require.NoError(b, err)
		update, err := table.UpdateFor(held)
		require.NoError(b, err)
		sent += update.Size()
	}
	update, err := table.UpdateFor(vanillabarrow.TopicState{Topic: vanillabarrow.TopicConfig})
	require.NoError(b, err)
	full = update.Size()
	b.ReportMetric(float64(sent)/float64(b.N), "deltaBytes/op")
	b.ReportMetric(float64(full), "fullBytes")
	b.ReportMetric(float64(table.HeldBundle(vanillabarrow.TopicConfig).Size()), "plainBytes")
}

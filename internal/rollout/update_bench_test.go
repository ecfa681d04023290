package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// BenchmarkCatchUp compares two ways to update a node that missed a number of
// versions of an inventory of 4,600 targets: sending every version in order, or
// only the newest against the version that the node holds. The metric "bytes"
// counts content bytes, "messages" the updates that the node applies.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{1, 3, 20} {
		versions := makeVersions(b, missed+1)
		b.Run(fmt.Sprintf("replay/missed%d", missed), func(b *testing.B) {
			sent, messages := 0, 0
			for b.Loop() {
				sent, messages = replay(b, versions)
			}
			b.ReportMetric(float64(sent), "bytes")
			b.ReportMetric(float64(messages), "messages")
		})
		b.Run(fmt.Sprintf("newest/missed%d", missed), func(b *testing.B) {
			sent, messages := 0, 0
			for b.Loop() {
				sent, messages = sendNewest(b, versions)
			}
			b.ReportMetric(float64(sent), "bytes")
			b.ReportMetric(float64(messages), "messages")
		})
	}
}

// makeVersions returns n versions. Each changes one part of the version before
// it.
func makeVersions(b *testing.B, n int) []*vanillabarrow.Bundle {
	files := inventoryFiles(21, 4600)
	versions := make([]*vanillabarrow.Bundle, n)
	for i := range versions {
		part := i % len(files)
		files[part].Bytes = append(files[part].Bytes[:len(files[part].Bytes):len(files[part].Bytes)], fmt.Sprintf("# change %d\n", i)...)
		versions[i] = splitBundle(b, vanillabarrow.Version(i+1), files)
	}
	return versions
}

// replay sends every version against the one before it.
func replay(b *testing.B, versions []*vanillabarrow.Bundle) (sent, messages int) {
	sender, receiver := New(), New()
	for i, v := range versions {
		_, err := sender.Offer(v, time.Now())
		require.NoError(b, err)
		update, err := sender.UpdateFor(receiver.TopicState(vanillabarrow.TopicConfig))
		require.NoError(b, err)
		assembled, err := receiver.Assemble(update)
		require.NoError(b, err)
		_, err = receiver.Offer(assembled, time.Now())
		require.NoError(b, err)
		if i > 0 {
			sent += update.Size()
			messages++
		}
	}
	return sent, messages
}

// sendNewest sends only the last version, against the first.
func sendNewest(b *testing.B, versions []*vanillabarrow.Bundle) (sent, messages int) {
	sender, receiver := New(), New()
	_, err := receiver.Offer(versions[0], time.Now())
	require.NoError(b, err)
	for _, v := range versions {
		_, err := sender.Offer(v, time.Now())
		require.NoError(b, err)
	}
	update, err := sender.UpdateFor(receiver.TopicState(vanillabarrow.TopicConfig))
	require.NoError(b, err)
	assembled, err := receiver.Assemble(update)
	require.NoError(b, err)
	_, err = receiver.Offer(assembled, time.Now())
	require.NoError(b, err)
	return update.Size(), 1
}

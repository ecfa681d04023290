package discovery

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// eraItem returns an item written in an era that the store states.
func eraItem(key, value string, era, revision uint64) vanillabarrow.Item {
	return item(key, value, eraVersion(era, revision))
}

// newRestoredTable returns a table that followed a restore: "same" is in the copy, an
// older value of "kept" too, and "lost" is missing.
func newRestoredTable(now time.Time) *Table {
	table := NewTable("restored", valueOrder{})
	table.Merge(&vanillabarrow.Delta{AsOf: eraVersion(1, 20), Full: true, SourceAge: time.Minute, Items: []vanillabarrow.Item{
		eraItem("same", "1", 1, 1), eraItem("kept", "18", 1, 18), eraItem("lost", "19", 1, 19),
	}}, now)
	table.Merge(&vanillabarrow.Delta{AsOf: eraVersion(2, 10), Full: true, SourceAge: time.Second, Items: []vanillabarrow.Item{
		eraItem("same", "1", 2, 1), eraItem("kept", "2", 2, 2),
	}}, now)
	return table
}

// TestDeltasOfOtherEras guards against data of an earlier era, of a part of a later one or
// of a node that knows no eras, that is taken for newer or counts as a confirmation.
func TestDeltasOfOtherEras(t *testing.T) {
	now := time.Now()
	written := func(era, revision uint64) []vanillabarrow.Item {
		return []vanillabarrow.Item{eraItem("same", "99", era, revision), eraItem("new", "1", era, revision)}
	}
	unchanged := map[string]string{"same": "1", "kept": "18", "lost": "19"}
	first := func() *Table {
		table := NewTable("first", valueOrder{})
		table.Merge(&vanillabarrow.Delta{AsOf: eraVersion(1, 20), Full: true, SourceAge: time.Second, Items: []vanillabarrow.Item{eraItem("same", "1", 1, 1)}}, now)
		return table
	}
	restored := func() *Table { return newRestoredTable(now) }
	tests := map[string]struct {
		table     func() *Table
		delta     vanillabarrow.Delta
		want      map[string]string
		confirmed bool
		result    MergeResult
	}{
		"earlier era":                     {restored, vanillabarrow.Delta{AsOf: eraVersion(1, 90), Items: written(1, 90)}, unchanged, false, MergeResult{}},
		"earlier era, full":               {restored, vanillabarrow.Delta{AsOf: eraVersion(1, 90), Full: true, Items: written(1, 90)}, unchanged, false, MergeResult{}},
		"no era":                          {restored, vanillabarrow.Delta{AsOf: 90, Full: true, Items: written(0, 90)}, unchanged, false, MergeResult{}},
		"later era, in part":              {restored, vanillabarrow.Delta{AsOf: eraVersion(3, 5), Items: written(3, 5)}, unchanged, false, MergeResult{}},
		"later era, nothing new":          {restored, vanillabarrow.Delta{AsOf: eraVersion(3, 10)}, unchanged, false, MergeResult{}},
		"former build, higher":            {first, vanillabarrow.Delta{AsOf: 90, Items: written(0, 90), WithoutEra: true}, map[string]string{"same": "1"}, false, MergeResult{MayHaveNews: true}},
		"former build, full":              {first, vanillabarrow.Delta{AsOf: 90, Full: true, WithoutEra: true}, map[string]string{"same": "1"}, false, MergeResult{MayHaveNews: true}},
		"former build, equal":             {first, vanillabarrow.Delta{AsOf: 20, Items: written(0, 20), WithoutEra: true}, map[string]string{"same": "1"}, true, MergeResult{}},
		"former build, lower":             {first, vanillabarrow.Delta{AsOf: 19, Full: true, WithoutEra: true}, map[string]string{"same": "1"}, false, MergeResult{}},
		"former build, restored, higher":  {restored, vanillabarrow.Delta{AsOf: 90, Full: true, Items: written(0, 90), WithoutEra: true}, unchanged, false, MergeResult{}},
		"former build, restored, equal":   {restored, vanillabarrow.Delta{AsOf: 10, Items: written(0, 10), WithoutEra: true}, unchanged, false, MergeResult{}},
		"former build, store without era": {newFormerTable, vanillabarrow.Delta{AsOf: 21, Items: written(0, 21), WithoutEra: true}, map[string]string{"same": "99", "new": "1"}, true, MergeResult{Changed: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := tt.table()
			asOf, confirmedAt := table.AsOf(), table.ConfirmedAt()
			require.Equal(t, tt.result, table.Merge(&tt.delta, now))
			require.Equal(t, tt.want, effective(table, now))
			require.Equal(t, tt.confirmed, table.ConfirmedAt().After(confirmedAt))
			require.Equal(t, tt.result.Changed, table.AsOf() > asOf)
		})
	}
}

// newFormerTable returns a table whose store names no era.
func newFormerTable() *Table {
	table := NewTable("former", valueOrder{})
	table.Merge(&vanillabarrow.Delta{AsOf: 20, Full: true, SourceAge: time.Second, Items: []vanillabarrow.Item{item("same", "1", 1)}}, time.Now())
	return table
}

// TestCheckVersion guards against responses that change or confirm anything although the
// store lost changes since the call began, or belong to an earlier copy of it.
func TestCheckVersion(t *testing.T) {
	held := eraVersion(2, 10)
	unannounced, _ := held.Era().Next()
	type response struct {
		asOf vanillabarrow.Version
		full bool
		err  error
		want vanillabarrow.Version
	}
	tests := map[string][]response{
		"the same":              {{held, false, nil, held}, {held, true, nil, held}},
		"newer":                 {{eraVersion(2, 11), false, nil, eraVersion(2, 11)}},
		"earlier era":           {{eraVersion(1, 99), false, errOutdated, eraVersion(1, 99)}, {eraVersion(1, 99), true, errOutdated, eraVersion(1, 99)}},
		"no era":                {{99, true, errOutdated, 99}},
		"later era, watch":      {{eraVersion(3, 99), false, errRestored, eraVersion(3, 99)}, {eraVersion(3, 5), true, nil, eraVersion(3, 5)}},
		"lower, twice":          {{eraVersion(2, 9), false, errRestored, eraVersion(2, 9)}, {eraVersion(2, 9), true, nil, vanillabarrow.NewVersion(unannounced, 9)}},
		"lower, watches only":   {{eraVersion(2, 9), false, errRestored, eraVersion(2, 9)}, {eraVersion(2, 9), false, errRestored, eraVersion(2, 9)}},
		"lower, then passed":    {{eraVersion(2, 9), true, errRestored, eraVersion(2, 9)}, {eraVersion(2, 12), true, nil, vanillabarrow.NewVersion(unannounced, 12)}},
		"lower watch, lists on": {{eraVersion(2, 9), false, errRestored, eraVersion(2, 9)}, {held, true, nil, held}, {eraVersion(2, 9), true, errRestored, eraVersion(2, 9)}},
		"lower, then later era": {{eraVersion(2, 9), true, errRestored, eraVersion(2, 9)}, {eraVersion(3, 9), true, nil, eraVersion(3, 9)}},
		"lower, then outdated":  {{eraVersion(2, 9), true, errRestored, eraVersion(2, 9)}, {eraVersion(1, 99), true, errOutdated, eraVersion(1, 99)}},
	}
	for name, responses := range tests {
		t.Run(name, func(t *testing.T) {
			f, s := NewFollower(Config{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope}), &sourceState{}
			for _, r := range responses {
				d := &vanillabarrow.Delta{AsOf: r.asOf, Full: r.full}
				require.ErrorIs(t, f.checkVersion(s, d, held), r.err)
				require.Equal(t, r.want, d.AsOf)
			}
		})
	}
}

// TestEraChange guards against a change of era that is reported wrongly, or again.
func TestEraChange(t *testing.T) {
	now := time.Now()
	table := newRestoredTable(now)
	require.Equal(t, now, table.EraChangedAt())
	require.Equal(t, 1, table.KeptCount())
	again := &vanillabarrow.Delta{AsOf: eraVersion(3, 1), Full: true}
	require.Equal(t, &EraChange{Before: eraVersion(2, 10), After: eraVersion(3, 1), Kept: 1, Lost: 2}, table.Merge(again, now).EraChange)
	require.Nil(t, table.Merge(again, now).EraChange)
	require.Zero(t, table.KeptCount())
}

// TestStreamAcrossRestore guards against items that a follower lacks since its stream was
// opened before a restore, or before the second one.
func TestStreamAcrossRestore(t *testing.T) {
	const steps = "3 copy 5 7 restore 8 1s remove restore 9 copy remove restore"
	tests := map[string]struct{ every int }{
		"each delta arrives":   {1},
		"some are superseded":  {2},
		"most are superseded":  {4},
		"only the last one is": {9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sender, receiver := NewTable("sender", valueOrder{}), NewTable("receiver", valueOrder{})
			p := &restoreScript{t: t, store: &fakeStore{values: map[string]string{}, stated: 1}, now: time.Now()}
			p.store.write("unrelated", false)
			p.read(sender)
			stream, n := openModelStream(receiver), 0
			p.deliver = func(p *restoreScript) {
				p.read(sender)
				if n++; n%tt.every == 0 {
					stream.send(sender, p.now)
					stream.deliver(receiver, p.now)
				}
			}
			p.run(steps)
			stream.send(sender, p.now)
			stream.deliver(receiver, p.now)
			for _, after := range []time.Duration{0, outageGracePeriod, tombstoneRetention} {
				require.Equal(t, effective(sender, p.now.Add(after)), effective(receiver, p.now.Add(after)), after)
			}
			require.Equal(t, sender.KeptCount(), receiver.KeptCount())
			require.Equal(t, sender.AsOf(), receiver.AsOf())
		})
	}
}

// TestServeFormerBuild guards against items that a node of the former build takes for
// current ones, because it knows neither kept items nor lost ones.
func TestServeFormerBuild(t *testing.T) {
	now := time.Now()
	server := NewServer(newRestoredTable(now), vanillabarrow.DefaultBounds(), slog.New(slog.DiscardHandler), tally.NoopScope)
	for _, asOf := range []vanillabarrow.Version{0, 5, 10, 20} {
		former, err := server.Pull(vanillabarrow.ItemRequest{AsOf: asOf, WithoutEras: true})
		require.NoError(t, err)
		for _, item := range former.Items {
			require.False(t, item.Kept || item.Lost, "%s after %s", item.Key, asOf)
		}
	}
	d, err := server.Pull(vanillabarrow.ItemRequest{})
	require.NoError(t, err)
	marks := map[string][2]bool{}
	for _, item := range d.Items {
		marks[item.Key] = [2]bool{marks[item.Key][0] || item.Kept, marks[item.Key][1] || item.Lost}
	}
	require.Equal(t, map[string][2]bool{"same": {}, "kept": {true, false}, "lost": {false, true}}, marks)
}

// TestCallsForFormerBuild guards against a call of the store at each delta of a node that
// knows no eras and has a higher revision.
func TestCallsForFormerBuild(t *testing.T) {
	table, now := NewTable("started later", valueOrder{}), time.Now()
	table.Merge(&vanillabarrow.Delta{AsOf: eraVersion(2, 63), Full: true}, now)
	requests := 0
	for _, revision := range []vanillabarrow.Version{82, 82, 82, 85, 82, 85} {
		if table.Merge(&vanillabarrow.Delta{AsOf: revision, WithoutEra: true}, now).MayHaveNews {
			requests++
		}
	}
	require.Equal(t, 2, requests)
}

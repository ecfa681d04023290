package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/property"
)

func item(key, value string, revision vanillabarrow.Version) vanillabarrow.Item {
	return vanillabarrow.Item{Key: key, Value: []byte(value), Revision: revision, Created: revision}
}

func removed(key string, revision vanillabarrow.Version, keepUntil time.Time) vanillabarrow.Item {
	return vanillabarrow.Item{Key: key, Revision: revision, Removed: true, KeepUntil: keepUntil}
}

func TestMerge(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		deltas []*vanillabarrow.Delta
		want   map[string]string
		asOf   vanillabarrow.Version
	}{
		"newest revision wins in any order": {
			[]*vanillabarrow.Delta{
				{AsOf: 5, Items: []vanillabarrow.Item{item("a", "new", 5)}},
				{AsOf: 3, Items: []vanillabarrow.Item{item("a", "old", 3)}},
			},
			map[string]string{"a": "new"},
			5,
		},
		"removal wins over an older value that arrives later": {
			[]*vanillabarrow.Delta{
				{AsOf: 5, Items: []vanillabarrow.Item{removed("a", 5, now)}},
				{AsOf: 3, Items: []vanillabarrow.Item{item("a", "old", 3)}},
			},
			map[string]string{},
			5,
		},
		"removed item stays in effect until KeepUntil": {
			[]*vanillabarrow.Delta{
				{AsOf: 3, Items: []vanillabarrow.Item{item("a", "old", 3)}},
				{AsOf: 5, Items: []vanillabarrow.Item{removed("a", 5, now.Add(time.Second))}},
			},
			map[string]string{"a": "old"},
			5,
		},
		"item written again after its removal is in effect": {
			[]*vanillabarrow.Delta{
				{AsOf: 5, Items: []vanillabarrow.Item{removed("a", 5, now)}},
				{AsOf: 6, Items: []vanillabarrow.Item{item("a", "again", 6)}},
			},
			map[string]string{"a": "again"},
			6,
		},
		"full delta keeps newer items": {
			[]*vanillabarrow.Delta{
				{AsOf: 2, Full: true, Items: []vanillabarrow.Item{item("b", "b", 2)}},
				{AsOf: 9, Items: []vanillabarrow.Item{item("a", "new", 9)}},
				{AsOf: 7, Full: true, Items: []vanillabarrow.Item{item("b", "b", 2)}},
			},
			map[string]string{"a": "new", "b": "b"},
			9,
		},
		"older full delta restores no item that was removed since": {
			[]*vanillabarrow.Delta{
				{AsOf: 9, Full: true, Items: []vanillabarrow.Item{item("a", "new", 9)}},
				{AsOf: 7, Full: true, Items: []vanillabarrow.Item{item("b", "b", 2)}},
			},
			map[string]string{"a": "new"},
			9,
		},
		"item listed as unchanged is kept": {
			[]*vanillabarrow.Delta{
				{AsOf: 4, Full: true, Items: []vanillabarrow.Item{item("a", "a", 2), item("b", "b", 4)}},
				{AsOf: 7, Full: true, Items: []vanillabarrow.Item{{Key: "a", Revision: 2, Unchanged: true}, item("b", "new", 7)}},
			},
			map[string]string{"a": "a", "b": "new"},
			7,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable("one", valueOrder{})
			for _, d := range tt.deltas {
				table.Merge(d, now)
			}
			require.Equal(t, tt.want, effective(table, now))
			require.Equal(t, tt.asOf, table.AsOf())
		})
	}
}

func effective(t *Table, now time.Time) map[string]string {
	items, _ := t.Effective(now)
	values := map[string]string{}
	for _, item := range items {
		if !item.Expired {
			values[item.Key] = string(item.Value)
		}
	}
	return values
}

// TestExpiredRetention checks until when a removed item is returned as expired,
// and that the time counts from the first node that saw the removal, not from
// the one that passes the item on.
func TestExpiredRetention(t *testing.T) {
	removed := func(firstSeen time.Time) vanillabarrow.Item {
		return vanillabarrow.Item{Key: "a", Value: []byte("a"), Revision: 4, Removed: true, FirstSeenAt: firstSeen}
	}
	tests := map[string]struct {
		firstSeenAt time.Duration
		after       time.Duration
		want        bool
	}{
		"immediately":              {0, 0, true},
		"just before the end":      {0, expiredRetention - time.Millisecond, true},
		"at the end":               {0, expiredRetention, false},
		"passed on before the end": {-expiredRetention / 2, expiredRetention/2 - time.Millisecond, true},
		"passed on after the end":  {-expiredRetention, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			table := NewTable("one", valueOrder{})
			table.Merge(&vanillabarrow.Delta{AsOf: 4, Items: []vanillabarrow.Item{removed(now.Add(tt.firstSeenAt))}}, now)
			items, _ := table.Effective(now.Add(tt.after))
			if !tt.want {
				require.Empty(t, items)
				return
			}
			require.Len(t, items, 1)
			require.True(t, items[0].Expired)
		})
	}
}

// TestListingRemoves checks that an item that a listing lacks stays in effect
// for the grace period and is then expired, and that Effective returns both
// times.
func TestListingRemoves(t *testing.T) {
	now := time.Now()
	table := NewTable("one", valueOrder{})
	table.Merge(&vanillabarrow.Delta{AsOf: 3, Items: []vanillabarrow.Item{item("a", "a", 3)}}, now)
	table.Merge(&vanillabarrow.Delta{AsOf: 7, Full: true}, now)
	_, until := table.Effective(now)
	require.Equal(t, now.Add(missingGracePeriod), until)
	require.Len(t, effective(table, now), 1)
	require.Empty(t, effective(table, until))
	_, until = table.Effective(until)
	require.Equal(t, now.Add(expiredRetention), until, "then it is returned as expired")
}

func TestConfirmed(t *testing.T) {
	now := time.Now()
	table := NewTable("one", valueOrder{})
	require.Equal(t, unconfirmedAge, table.Since(vanillabarrow.ItemRequest{}, now).SourceAge)
	table.Merge(&vanillabarrow.Delta{AsOf: 3, SourceAge: time.Second}, now)
	require.Equal(t, now.Add(-time.Second), table.ConfirmedAt())
	table.Merge(&vanillabarrow.Delta{AsOf: 2}, now)
	require.Equal(t, now.Add(-time.Second), table.ConfirmedAt(), "an older revision confirms nothing")
	table.Confirm(4, 0, now)
	require.Equal(t, now.Add(-time.Second), table.ConfirmedAt(), "nor does one whose items are not held")
	require.Equal(t, vanillabarrow.Version(3), table.AsOf())
	table.Confirm(3, 0, now)
	require.Equal(t, now, table.ConfirmedAt())
}

// newTables returns an empty store and the tables of three nodes.
func newTables() (*fakeStore, []*Table) {
	return &fakeStore{values: map[string]string{}}, []*Table{NewTable("a", valueOrder{}), NewTable("b", valueOrder{}), NewTable("c", valueOrder{})}
}

// step writes to the store if the step is 0 or 1, merges a watch into the table
// if it is 2, and a listing if it is 3.
func (s *fakeStore) step(t *rapid.T, step int, table *Table, now time.Time) {
	switch step {
	case 0, 1:
		key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")
		s.write(key, rapid.Bool().Draw(t, "remove"))
	case 2:
		table.Merge(s.delta(table.AsOf(), false), now)
	case 3:
		table.Merge(s.delta(0, true), now)
	}
}

// TestTablesConverge applies random writes, watches, listings and exchanges
// between three tables, some of them delayed. It checks that no item of a table
// ever goes back to an older revision, and that in the end all tables hold what
// the store holds.
func TestTablesConverge(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		now := time.Now()
		s, tables := newTables()
		var late []*vanillabarrow.Delta
		held := make([]map[string]vanillabarrow.Version, len(tables))
		for i := range held {
			held[i] = map[string]vanillabarrow.Version{}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(tables)-1).Draw(t, "table")
			other := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "other")]
			switch step := rapid.IntRange(0, 7).Draw(t, "step"); step {
			case 0, 1, 2, 3:
				s.step(t, step, tables[i], now)
			case 4:
				late = append(late, other.Since(vanillabarrow.ItemRequest{}, now))
			case 6:
				tables[i].Merge(other.Since(vanillabarrow.ItemRequest{AsOf: tables[i].AsOf()}, now), now)
			case 7:
				tables[i].Confirm(other.AsOf(), 0, now)
			case 5:
				if len(late) > 0 {
					tables[i].Merge(late[rapid.IntRange(0, len(late)-1).Draw(t, "late")], now)
				}
			}
			for n, table := range tables {
				for key, e := range table.entries {
					require.GreaterOrEqual(t, e.item.Revision, held[n][key])
					held[n][key] = e.item.Revision
				}
			}
		}
		tables[0].Merge(s.delta(0, true), now)
		for _, table := range tables[1:] {
			table.Merge(tables[0].Since(vanillabarrow.ItemRequest{AsOf: table.AsOf()}, now), now)
		}
		for _, table := range tables {
			require.Equal(t, s.values, effective(table, now.Add(time.Hour)))
		}
	})
}

// TestSince checks which items a table returns for what a node states that it
// holds. Keys of items that are listed without a value end in an equals sign.
func TestSince(t *testing.T) {
	now := time.Now()
	table := NewTable("one", valueOrder{})
	table.Merge(&vanillabarrow.Delta{AsOf: 2, Items: []vanillabarrow.Item{item("a", "a", 1), item("b", "b", 2)}}, now)
	table.Merge(&vanillabarrow.Delta{AsOf: 4, Items: []vanillabarrow.Item{item("b", "c", 3), removed("d", 4, now)}}, now)
	purged := now.Add(2 * tombstoneRetention)
	table.Merge(&vanillabarrow.Delta{AsOf: 5, Items: []vanillabarrow.Item{item("e", "e", 5)}}, purged)
	listed := NewTable("one", valueOrder{})
	listed.Merge(table.Since(vanillabarrow.ItemRequest{}, purged), purged)
	listed.Merge(&vanillabarrow.Delta{AsOf: 7, Full: true, Items: []vanillabarrow.Item{item("b", "c", 3), item("e", "f", 6)}}, purged)
	cursor := func(incarnation string, sequence uint64) vanillabarrow.ItemRequest {
		return vanillabarrow.ItemRequest{Cursor: vanillabarrow.Cursor{Incarnation: incarnation, Sequence: sequence}}
	}
	revision := func(asOf vanillabarrow.Version) vanillabarrow.ItemRequest {
		return vanillabarrow.ItemRequest{AsOf: asOf}
	}
	// complete makes the request one of an earlier version.
	complete := func(r vanillabarrow.ItemRequest) vanillabarrow.ItemRequest {
		r.CompleteLists = true
		return r
	}
	tests := map[string]struct {
		table   *Table
		request vanillabarrow.ItemRequest
		keys    []string
		full    bool
		after   vanillabarrow.Version
	}{
		"nothing held":                       {table, vanillabarrow.ItemRequest{}, []string{"a", "b", "e"}, true, 0},
		"cursor":                             {table, cursor("one", 4), []string{"e"}, false, 0},
		"cursor before a purged tombstone":   {table, cursor("one", 2), []string{"a=", "b", "e"}, true, 0},
		"newest cursor":                      {table, cursor("one", 5), nil, false, 0},
		"cursor of another incarnation":      {table, cursor("two", 9), []string{"a", "b", "e"}, true, 0},
		"revision":                           {table, revision(4), []string{"e"}, false, 0},
		"newest revision":                    {table, revision(5), nil, false, 0},
		"revision of another node, ahead":    {table, revision(9), nil, false, 0},
		"revision before a purged tombstone": {table, revision(3), []string{"a=", "b=", "e"}, true, 0},
		"cursor before a listing":            {listed, cursor("one", 4), []string{"e", "a"}, true, 5},
		"the same, earlier version":          {listed, complete(cursor("one", 4)), []string{"b=", "e", "a"}, true, 0},
		"cursor after a listing":             {listed, cursor("one", 7), nil, false, 0},
		"revision before a listing":          {listed, revision(5), []string{"e", "a"}, true, 5},
		"revision, earlier version":          {listed, complete(revision(5)), []string{"b=", "e", "a"}, true, 0},
		"revision of a listing":              {listed, revision(7), nil, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := tt.table.Since(tt.request, purged)
			var keys []string
			for _, item := range d.Items {
				if item.Unchanged {
					item.Key += "="
				}
				keys = append(keys, item.Key)
			}
			require.Equal(t, tt.keys, keys)
			require.Equal(t, tt.full, d.Full)
			require.Equal(t, tt.after, d.FullAfter)
		})
	}
}

// TestListingHidesRemoval checks that a node learns of the removal of an item
// that another node received before it was removed, although a listing hides it,
// and that it keeps the items that the list need not contain.
func TestListingHidesRemoval(t *testing.T) {
	tests := map[string]struct{ completeLists bool }{
		"list of newer items":            {false},
		"list of all items, for earlier": {true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			reader, follower := NewTable("reader", valueOrder{}), NewTable("follower", valueOrder{})
			first := &vanillabarrow.Delta{AsOf: 2, Items: []vanillabarrow.Item{item("old", "1", 1), item("other", "2", 2)}}
			reader.Merge(first, now)
			follower.Merge(first, now)
			cursor := reader.Since(vanillabarrow.ItemRequest{}, now).Cursor
			follower.Merge(&vanillabarrow.Delta{AsOf: 3, Items: []vanillabarrow.Item{item("short", "3", 3)}}, now)
			reader.Merge(&vanillabarrow.Delta{AsOf: 5, Full: true, Items: first.Items}, now)
			d := reader.Since(vanillabarrow.ItemRequest{Cursor: cursor, CompleteLists: tt.completeLists}, now)
			require.Equal(t, tt.completeLists, len(d.Items) > 0)
			follower.Merge(d, now)
			require.Equal(t, map[string]string{"old": "1", "other": "2"}, effective(follower, now.Add(time.Hour)))
		})
	}
}

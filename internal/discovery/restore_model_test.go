package discovery

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/property"
)

// modelWriter writes one key. Its values are growing numbers, and it repeats its last
// write when that was lost.
type modelWriter struct {
	last    int
	removed bool
}

// modelTable is a table with what it may no longer hold.
type modelTable struct {
	*Table
	// held is the last value of each key that was in effect.
	held map[string]int
	// removed is the last value of each key that the table knew as removed.
	removed map[string]int
	late    []*vanillabarrow.Delta
	streams map[*modelTable]*modelStream
}

// restoreModel is a store that is restored from copies, its writers and the tables of a
// few nodes.
type restoreModel struct {
	*rapid.T
	store   *fakeStore
	copies  []fakeStore
	writers map[string]*modelWriter
	tables  []*modelTable
	now     time.Time
	starts  int
	// unannounced is the number of restores that the store did not announce, as far as
	// any node can know of them.
	unannounced vanillabarrow.Era
	// removed holds which keys are removed in the store, by version.
	removed map[vanillabarrow.Version]map[string]bool
}

func newRestoreModel(t *rapid.T) *restoreModel {
	m := &restoreModel{
		T: t, store: &fakeStore{values: map[string]string{}}, now: time.Now(),
		writers: map[string]*modelWriter{"x": {}, "y": {}, "z": {}}, removed: map[vanillabarrow.Version]map[string]bool{},
	}
	if rapid.Bool().Draw(t, "announced") {
		m.store.stated = 1
	}
	for range 3 {
		m.tables = append(m.tables, m.newTable())
	}
	return m
}

func (m *restoreModel) newTable() *modelTable {
	m.starts++
	return &modelTable{
		Table: NewTable(fmt.Sprint("run ", m.starts), valueOrder{}),
		held:  map[string]int{}, removed: map[string]int{}, streams: map[*modelTable]*modelStream{},
	}
}

// era returns the era of the store's content.
func (m *restoreModel) era() vanillabarrow.Era {
	era, _ := vanillabarrow.NewEra(m.store.stated)
	return era + m.unannounced
}

// label puts a response into the era of the store's content.
func (m *restoreModel) label(d *vanillabarrow.Delta) *vanillabarrow.Delta {
	return m.store.label(d, vanillabarrow.NewVersion(m.era(), 0))
}

// note records which keys are removed in the store as of now.
func (m *restoreModel) note() {
	removed := map[string]bool{}
	for _, it := range m.store.log {
		removed[it.Key] = it.Removed
	}
	m.removed[vanillabarrow.NewVersion(m.era(), uint64(m.store.revision))] = removed
}

func (m *restoreModel) write() {
	key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(m.T, "key")
	w := m.writers[key]
	_, present := m.store.values[key]
	switch rapid.IntRange(0, 3).Draw(m.T, "write") {
	case 0, 1:
		w.last, w.removed = w.last+1, false
		m.store.put(key, strconv.Itoa(w.last))
	case 2:
		if present {
			w.removed = true
			m.remove(key)
		}
	case 3:
		m.repeat(key)
	}
	m.note()
}

// remove removes a key, which stays in effect for a moment.
func (m *restoreModel) remove(key string) {
	m.store.write(key, true)
	m.store.log[len(m.store.log)-1].KeepUntil = m.now.Add(missingGracePeriod)
}

// repeat writes the last value of a key again, or removes the key if its writer left it.
func (m *restoreModel) repeat(key string) {
	w := m.writers[key]
	value, present := m.store.values[key]
	switch {
	case w.removed && present:
		m.remove(key)
	case !w.removed && w.last > 0 && value != strconv.Itoa(w.last):
		m.store.put(key, strconv.Itoa(w.last))
	}
	m.note()
}

// restore replaces the store's content by a copy. The nodes notice one that the store
// does not announce by a lower revision only, so that a node reads before others write.
func (m *restoreModel) restore() {
	if len(m.copies) == 0 {
		return
	}
	c := m.copies[rapid.IntRange(0, len(m.copies)-1).Draw(m.T, "copy")]
	m.store.restore(c.backup())
	defer m.note()
	if m.store.stated > 0 {
		return
	}
	// A later restore from a copy with a higher revision would look like writes.
	m.copies = slices.DeleteFunc(m.copies, func(other fakeStore) bool { return other.revision > c.revision })
	fell := func(v vanillabarrow.Version) bool { return v.Revision() > uint64(m.store.revision) }
	if slices.ContainsFunc(m.tables, func(t *modelTable) bool { return fell(t.AsOf()) }) {
		m.unannounced++
		first := rapid.IntRange(0, len(m.tables)-1).Draw(m.T, "first")
		for i := range m.tables {
			m.list(m.tables[(first+i)%len(m.tables)])
		}
		return
	}
	// No node can tell what a delta of lost revisions is.
	for _, t := range m.tables {
		t.late = slices.DeleteFunc(t.late, func(d *vanillabarrow.Delta) bool { return fell(d.AsOf) })
		clear(t.streams)
	}
}

func (m *restoreModel) list(t *modelTable) {
	t.Merge(m.label(m.store.delta(0, true)), m.now)
}

// read updates a table by a watch, or by a listing if a watch would end with an error.
func (m *restoreModel) read(t *modelTable) {
	if t.AsOf() == 0 || t.AsOf().Era() != m.era() {
		m.list(t)
		return
	}
	t.Merge(m.label(m.store.delta(rawVersion(t.AsOf()), false)), m.now)
}

func (m *restoreModel) pull(t, from *modelTable) {
	t.Merge(from.Since(vanillabarrow.ItemRequest{AsOf: t.AsOf()}, m.now), m.now)
}

// stream sends or delivers a delta on the stream between two tables.
func (m *restoreModel) stream(t, from *modelTable) {
	s := t.streams[from]
	if s == nil {
		s = openModelStream(t.Table)
		t.streams[from] = s
	}
	if rapid.Bool().Draw(m.T, "send") {
		s.send(from.Table, m.now)
	}
	if rapid.Bool().Draw(m.T, "deliver") {
		s.deliver(t.Table, m.now)
	}
}

// step does one thing that may happen in a fleet.
func (m *restoreModel) step() {
	i := rapid.IntRange(0, len(m.tables)-1).Draw(m.T, "table")
	t, other := m.tables[i], m.tables[rapid.IntRange(0, len(m.tables)-1).Draw(m.T, "other")]
	switch rapid.IntRange(0, 13).Draw(m.T, "step") {
	case 0, 1, 2:
		m.write()
	case 3:
		m.copies = append(m.copies, m.store.backup())
	case 4:
		m.restore()
	case 5:
		m.list(t)
	case 6, 7:
		m.read(t)
	case 8:
		m.pull(t, other)
	case 9, 10:
		m.stream(t, other)
	case 11:
		t.late = append(t.late, other.Since(vanillabarrow.ItemRequest{AsOf: t.AsOf()}, m.now))
	case 12:
		if len(t.late) > 0 {
			t.Merge(rapid.SampledFrom(t.late).Draw(m.T, "late"), m.now)
		}
	case 13:
		if rapid.IntRange(0, 3).Draw(m.T, "restart") == 0 {
			m.tables[i] = m.newTable()
			break
		}
		m.wait(rapid.SampledFrom([]time.Duration{time.Second, outageGracePeriod, tombstoneRetention + time.Second}).Draw(m.T, "time"))
	}
}

// wait lets time pass. Within the time for which tombstones are kept all tables hear of
// each other; what is no longer in effect may come back with a copy afterwards.
func (m *restoreModel) wait(d time.Duration) {
	if d < tombstoneRetention {
		m.now = m.now.Add(d)
		return
	}
	for _, t := range m.tables {
		m.read(t)
		for _, other := range m.tables {
			m.pull(t, other)
		}
		m.check()
	}
	m.now = m.now.Add(d)
	for _, t := range m.tables {
		inEffect := effective(t.Table, m.now)
		clear(t.removed)
		maps.DeleteFunc(t.held, func(key string, _ int) bool { return inEffect[key] == "" })
		t.late, t.streams = nil, map[*modelTable]*modelStream{}
		m.read(t)
	}
}

// check compares what each table holds with what it held before.
func (m *restoreModel) check() {
	for _, t := range m.tables {
		inEffect := effective(t.Table, m.now)
		for key, e := range t.entries {
			value, err := strconv.Atoi(inEffect[key])
			if err != nil {
				m.noteRemoved(t, key, e)
				continue
			}
			require.Greater(m.T, value, t.removed[key], "%s at %s holds what it knew as removed: %s", t.incarnation, t.asOf, key)
			if held := e.inEffect(); held.Removed && !held.Lost {
				// For a moment after its removal an item may have an older value.
				continue
			}
			require.GreaterOrEqual(m.T, value, t.held[key], "%s at %s went back: %s", t.incarnation, t.asOf, key)
			t.held[key] = value
		}
	}
}

// noteRemoved notes that a key is removed, if the table knows that its writer did so.
func (m *restoreModel) noteRemoved(t *modelTable, key string, e *entry) {
	if !e.inEffect().Removed || e.inEffect().Lost {
		return
	}
	if m.removed[t.asOf][key] {
		t.removed[key] = t.held[key]
	}
}

// TestRestoredTables guards against a table that goes back to what was written earlier, or
// to what was removed, by any order of restores, readings and deltas, and against tables
// that differ when all writers have written again.
func TestRestoredTables(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		m := newRestoreModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
			m.check()
		}
		for _, key := range []string{"x", "y", "z"} {
			m.repeat(key)
		}
		m.read(m.tables[0])
		for i, table := range m.tables[1:] {
			if rapid.Bool().Draw(t, "by delta") {
				m.pull(table, m.tables[i])
			} else {
				m.read(table)
			}
			m.check()
		}
		for _, table := range m.tables {
			require.Equal(t, m.store.values, effective(table.Table, m.now.Add(outageGracePeriod)), table.incarnation)
		}
	})
}

package discovery

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// restoreScript plays what happens to one key of a store that states its era: a number
// writes it, "remove" removes it, "copy" makes a copy of the store, "restore" restores
// the store from it, and a duration lets time pass.
type restoreScript struct {
	t     *testing.T
	store *fakeStore
	copy  fakeStore
	now   time.Time
	// deliver updates the tables after each step.
	deliver func(p *restoreScript)
}

// listing returns the response to a listing.
func (p *restoreScript) listing() *vanillabarrow.Delta {
	return p.store.label(p.store.delta(0, true), 0)
}

// read updates a table by a watch, or by a listing if the store began a later era.
func (p *restoreScript) read(table *Table) {
	if table.AsOf().Era().Stated() < p.store.stated {
		table.Merge(p.listing(), p.now)
		return
	}
	table.Merge(p.store.label(p.store.delta(rawVersion(table.AsOf()), false), table.AsOf()), p.now)
}

// pull updates a table by a delta of another one.
func (p *restoreScript) pull(table, from *Table) {
	table.Merge(from.Since(vanillabarrow.ItemRequest{AsOf: table.AsOf()}, p.now), p.now)
}

func (p *restoreScript) run(steps string) {
	for step := range strings.FieldsSeq(steps) {
		switch step {
		case "remove":
			p.store.write("key", true)
		case "copy":
			p.copy = p.store.backup()
		case "restore":
			p.store.restore(p.copy.backup())
		default:
			if d, err := time.ParseDuration(step); err == nil {
				p.now = p.now.Add(d)
			} else {
				p.store.put("key", step)
			}
		}
		p.deliver(p)
	}
}

// TestItemsKeptAgainstCopy guards against items of an older copy that come into effect in
// place of what was written or removed after it, whatever path they take.
func TestItemsKeptAgainstCopy(t *testing.T) {
	type result struct {
		// values are in effect at once, after 2.2 s, 30 s and 5 minutes, "" for none.
		values [4]string
	}
	stays := func(value string) result { return result{[4]string{value, value, value, value}} }
	lost := func(value string) result { return result{[4]string{value, "", "", ""}} }
	tests := map[string]struct {
		steps string
		want  result
	}{
		"unchanged":                                {"5 copy restore", stays("5")},
		"older value in the copy":                  {"5 copy 7 restore", stays("7")},
		"older value, older one written":           {"5 copy 7 restore 6", stays("7")},
		"older value, the same one written":        {"5 copy 7 restore 7", stays("7")},
		"older value, newer one written":           {"5 copy 7 restore 8", stays("8")},
		"older value, removed in the later era":    {"5 copy 7 restore remove", stays("")},
		"older value, removed and written":         {"5 copy 7 restore remove 8", stays("8")},
		"removed before":                           {"5 copy remove restore", result{[4]string{"", "", "", "5"}}},
		"removed before, in a newer value":         {"5 copy 7 remove restore", result{[4]string{"", "", "", "5"}}},
		"removed before, the same one written":     {"5 copy 7 remove restore 7", result{[4]string{"", "", "", "7"}}},
		"removed before, newer one written":        {"5 copy 7 remove restore 8", stays("8")},
		"removed before, missing in the copy":      {"copy 7 remove restore", stays("")},
		"missing":                                  {"copy 7 restore", lost("7")},
		"missing, the same one written in time":    {"copy 7 restore 2s 7", stays("7")},
		"missing, the same one written late":       {"copy 7 restore 3s 7", stays("7")},
		"missing, older one written in time":       {"copy 7 restore 2s 6", stays("7")},
		"missing, older one written late":          {"copy 7 restore 3s 6", result{[4]string{"", "", "", "6"}}},
		"missing, older one, then newer":           {"copy 7 restore 1s 6 1s 8", stays("8")},
		"missing, older one late, then newer":      {"copy 7 restore 3s 6 1s 8", stays("8")},
		"missing, older one late, then the same":   {"copy 7 restore 3s 6 1s 7", stays("7")},
		"kept, second restore of the same copy":    {"5 copy 7 restore 1s restore", stays("7")},
		"kept, second restore of an older copy":    {"3 copy 5 7 restore 1s restore", stays("7")},
		"kept, second restore without it":          {"copy 5 7 restore 1s 5 restore", lost("7")},
		"kept, written, second restore":            {"5 copy 7 restore 8 restore", stays("8")},
		"removed before, second restore":           {"5 copy 7 remove restore 1s restore", result{[4]string{"", "", "", "5"}}},
		"lost, second restore":                     {"copy 7 restore 1s restore", result{[4]string{"7", "", "", ""}}},
		"written after a loss, second restore":     {"copy 7 restore 7 1s restore", lost("7")},
		"kept, removed, second restore":            {"5 copy 7 restore remove restore", result{[4]string{"", "", "", "5"}}},
		"written in each of three eras, in a copy": {"5 copy 7 restore 8 restore 9 restore", stays("9")},
	}
	deliveries := map[string]func(p *restoreScript, subject, other *Table){
		"listing":             func(p *restoreScript, subject, _ *Table) { p.read(subject) },
		"delta":               func(p *restoreScript, subject, other *Table) { p.pull(subject, other) },
		"listing, then delta": func(p *restoreScript, subject, other *Table) { p.read(subject); p.pull(subject, other) },
		"delta, then listing": func(p *restoreScript, subject, other *Table) {
			p.pull(subject, other)
			subject.Merge(p.listing(), p.now)
		},
	}
	for name, tt := range tests {
		for delivery, deliver := range deliveries {
			t.Run(name+"/"+delivery, func(t *testing.T) {
				subject, other := NewTable("subject", valueOrder{}), NewTable("other", valueOrder{})
				p := &restoreScript{t: t, store: &fakeStore{values: map[string]string{}, stated: 1}, now: time.Now()}
				p.deliver = func(p *restoreScript) { p.read(other); deliver(p, subject, other) }
				// The store holds other items too, and its history is long.
				for range 9 {
					p.store.write("unrelated", false)
				}
				p.run(tt.steps)
				start := p.now
				late := NewTable("late", valueOrder{})
				p.pull(late, other)
				for i, after := range []time.Duration{0, outageGracePeriod, 30 * time.Second, tombstoneRetention + time.Second} {
					p.now = start.Add(after)
					p.deliver(p)
					p.pull(late, other)
					for _, table := range []*Table{subject, late} {
						require.Equal(t, tt.want.values[i], effective(table, p.now)["key"], "%s after %s", table.incarnation, after)
					}
				}
			})
		}
	}
}

// TestRemovalKnownToOneNode guards against a removal that is taken for a loss because
// another node missed it, so that the next copy brings the item back.
func TestRemovalKnownToOneNode(t *testing.T) {
	tests := map[string]struct {
		// missed and seen are played before and after the other node stops reading.
		seen, missed string
	}{
		"the same value":  {"copy 7", "remove"},
		"an older value":  {"copy 5", "7 remove"},
		"an earlier life": {"copy 5 remove 6", "7 remove"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			subject, other := NewTable("subject", valueOrder{}), NewTable("other", valueOrder{})
			p := &restoreScript{t: t, store: &fakeStore{values: map[string]string{}, stated: 1}, now: time.Now()}
			p.store.write("unrelated", false)
			p.deliver = func(p *restoreScript) { p.read(subject); p.read(other) }
			p.run(tt.seen)
			p.deliver = func(p *restoreScript) { p.read(subject) }
			p.run(tt.missed)
			older, withItem := p.copy, p.store.backup()
			withItem.values["key"] = string(subject.entries["key"].item.Value)
			withItem.log = append(withItem.log, item("key", withItem.values["key"], withItem.revision))
			for _, c := range []fakeStore{older, withItem} {
				p.store.restore(c)
				p.read(other)
				p.pull(subject, other)
				require.NotContains(t, effective(subject, p.now), "key")
				p.now = p.now.Add(outageGracePeriod)
			}
		})
	}
}

// TestKeptItemsOfTwoNodes guards against a kept item that is replaced by one of another
// node that was written earlier, in an earlier era.
func TestKeptItemsOfTwoNodes(t *testing.T) {
	tests := map[string]struct{ before string }{
		"removed before":   {"5 copy 6 remove restore"},
		"other value kept": {"5 copy 6 restore"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			subject, other := NewTable("subject", valueOrder{}), NewTable("other", valueOrder{})
			p := &restoreScript{t: t, store: &fakeStore{values: map[string]string{}, stated: 1}, now: time.Now()}
			p.deliver = func(p *restoreScript) { p.read(subject); p.read(other) }
			p.run(tt.before)
			p.deliver = func(p *restoreScript) { p.read(subject) }
			p.run("7")
			p.store.restore(p.copy.backup())
			p.read(subject)
			p.read(other)
			p.pull(subject, other)
			require.Equal(t, map[string]string{"key": "7"}, effective(subject, p.now))
			p.pull(other, subject)
			require.Equal(t, map[string]string{"key": "7"}, effective(other, p.now))
		})
	}
}

// TestNodeThatStartsBetweenRestores guards against a later value that does not reach a node
// which keeps an item of the first copy.
func TestNodeThatStartsBetweenRestores(t *testing.T) {
	subject, other := NewTable("subject", valueOrder{}), NewTable("other", valueOrder{})
	p := &restoreScript{t: t, store: &fakeStore{values: map[string]string{}, stated: 1}, now: time.Now()}
	p.deliver = func(p *restoreScript) { p.read(other) }
	p.run("2 copy")
	oldest := p.copy
	p.run("3 copy 9 restore")
	p.read(subject)
	p.store.restore(oldest)
	p.read(subject)
	p.read(other)
	require.Equal(t, map[string]string{"key": "3"}, effective(subject, p.now))
	p.pull(subject, other)
	require.Equal(t, map[string]string{"key": "9"}, effective(subject, p.now))
}

// restoreOrder lets only what was written after a restore replace an item.
type restoreOrder struct{}

// Supersedes implements vanillabarrow.ItemOrder.
func (restoreOrder) Supersedes(newer, _ vanillabarrow.Item) bool { return newer.AfterRestore }

// TestWritesAfterRestoreAreMarked guards against a write after a restore that is taken for
// one of the copy, and the reverse.
func TestWritesAfterRestoreAreMarked(t *testing.T) {
	now := time.Now()
	table := NewTable("one", restoreOrder{})
	table.Merge(&vanillabarrow.Delta{AsOf: eraVersion(1, 45), Full: true, Items: []vanillabarrow.Item{eraItem("k", "before", 1, 40)}}, now)
	table.Merge(&vanillabarrow.Delta{AsOf: eraVersion(2, 36), Full: true, Items: []vanillabarrow.Item{eraItem("k", "copy", 2, 30)}}, now)
	require.Equal(t, "before", effective(table, now)["k"])
	table.Merge(&vanillabarrow.Delta{AsOf: eraVersion(2, 40), Items: []vanillabarrow.Item{eraItem("k", "again", 2, 40)}}, now)
	require.Equal(t, "again", effective(table, now)["k"])
}

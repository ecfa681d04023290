package discovery

import (
	"fmt"
	"maps"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// fakeStore is an in-memory model of the platform's store. Its revisions have no era;
// sources add it to responses.
type fakeStore struct {
	revision vanillabarrow.Version
	log      []vanillabarrow.Item
	values   map[string]string
	// writtenAt holds the time of each entry of log.
	writtenAt []time.Time
	// stated is the era that responses name, 0 for none.
	stated uint64
	// reportsGaps is set if watches from a revision that the store lacks end with
	// ErrHistoryLost; else they just wait.
	reportsGaps bool
	// away is set while no source gets more than a refusal.
	away bool
	// staleFor is the age of reads that may be out of date.
	staleFor time.Duration
}

func (s *fakeStore) write(key string, remove bool) {
	if !remove {
		s.put(key, fmt.Sprint(s.revision+1))
		return
	}
	s.revision++
	delete(s.values, key)
	s.add(vanillabarrow.Item{Key: key, Revision: s.revision, Removed: true})
}

func (s *fakeStore) put(key, value string) {
	s.revision++
	s.values[key] = value
	s.add(item(key, value, s.revision))
}

func (s *fakeStore) add(item vanillabarrow.Item) {
	s.log = append(s.log, item)
	s.writtenAt = append(s.writtenAt, time.Now())
}

// delta returns the result of a watch after a revision, or of a listing if full
// is set.
func (s *fakeStore) delta(after vanillabarrow.Version, full bool) *vanillabarrow.Delta {
	d := &vanillabarrow.Delta{AsOf: s.revision, Full: full}
	for _, it := range s.log {
		if full && s.values[it.Key] == string(it.Value) && !it.Removed {
			d.Items = append(d.Items, it)
		}
		if !full && it.Revision > after {
			d.Items = append(d.Items, it)
		}
	}
	return d
}

// backup returns a copy of the store's content.
func (s *fakeStore) backup() fakeStore {
	c := *s
	c.log, c.writtenAt, c.values = slices.Clone(s.log), slices.Clone(s.writtenAt), maps.Clone(s.values)
	return c
}

// restore replaces the content by that of a copy. The era is raised if the store
// states one.
func (s *fakeStore) restore(c fakeStore) {
	s.revision, s.log, s.writtenAt, s.values = c.revision, c.log, c.writtenAt, c.values
	if s.stated > 0 {
		s.stated++
	}
}

// lacks reports whether a watch from the version ends with ErrHistoryLost.
func (s *fakeStore) lacks(after vanillabarrow.Version) bool {
	return s.reportsGaps && rawVersion(after) > s.revision
}

// revisionAt returns the revision at a time.
func (s *fakeStore) revisionAt(at time.Time) vanillabarrow.Version {
	revision := vanillabarrow.Version(0)
	for i, it := range s.log {
		if !s.writtenAt[i].After(at) {
			revision = it.Revision
		}
	}
	return revision
}

// eraFor returns the era of a response to a caller that holds a version.
func (s *fakeStore) eraFor(held vanillabarrow.Version) vanillabarrow.Era {
	if s.stated == 0 || held.Era().Stated() == s.stated {
		return held.Era()
	}
	era, _ := vanillabarrow.NewEra(s.stated)
	return era
}

// label adds the era to the versions of a response.
func (s *fakeStore) label(d *vanillabarrow.Delta, held vanillabarrow.Version) *vanillabarrow.Delta {
	era := s.eraFor(held)
	d.AsOf = vanillabarrow.NewVersion(era, d.AsOf.Revision())
	for i := range d.Items {
		it := &d.Items[i]
		it.Revision = vanillabarrow.NewVersion(era, it.Revision.Revision())
		it.Created = vanillabarrow.NewVersion(era, it.Created.Revision())
	}
	return d
}

func rawVersion(v vanillabarrow.Version) vanillabarrow.Version {
	return vanillabarrow.NewVersion(0, v.Revision())
}

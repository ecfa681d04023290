package vanillabarrow

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bits of a Version and of an Era.
const (
	revisionBits = 46
	restoreBits  = 4
	eraBits      = 64 - revisionBits - restoreBits
)

// Largest values that a Version can hold: of the revision, of the number that the store
// states, and of the era.
const (
	MaxRevision = 1<<revisionBits - 1
	MaxStoreEra = 1<<eraBits - 1
	MaxEra      = 1<<(eraBits+restoreBits) - 1
	maxRestores = 1<<restoreBits - 1
)

// ErrInvalidVersion is returned for a text that is not the form of a version, or of
// one whose era or revision is too large.
var ErrInvalidVersion = errors.New("invalid version")

// Era numbers the copies of its content that the platform's store has come back from,
// 0 for a store that has not come back, as far as is known. Its upper bits hold the
// number that the store states, its lower bits count the restores since that the store
// did not announce.
type Era uint32

// NewEra returns the era that the store states. It returns false if the number is
// too large.
func NewEra(stated uint64) (Era, bool) {
	if stated > MaxStoreEra {
		return 0, false
	}
	return Era(stated) << restoreBits, true
}

// Stated returns the number that the store states, 0 for none.
func (e Era) Stated() uint64 { return uint64(e >> restoreBits) }

// restores returns the number of restores that the store did not announce.
func (e Era) restores() uint64 { return uint64(e & maxRestores) }

// Next returns the era after a restore that the store did not announce. When no more of
// them can be counted, it is the next one that the store could state. It returns false
// after the last era.
func (e Era) Next() (Era, bool) {
	if e == MaxEra {
		return e, false
	}
	return e + 1, true
}

// String returns the number that the store states, and the count of restores that it
// did not announce if there are any, such as 2.1.
func (e Era) String() string {
	if e.restores() == 0 {
		return strconv.FormatUint(e.Stated(), 10)
	}
	return fmt.Sprintf("%d.%d", e.Stated(), e.restores())
}

// Version orders published values: by the era of the platform's store, then by the
// revision in it, which increases with every change. The configuration service of the
// profile inventory has no eras, so that its versions are revisions.
type Version uint64

// NewVersion returns the version of a revision, of at most MaxRevision, in an era.
func NewVersion(era Era, revision uint64) Version {
	return Version(era)<<revisionBits | Version(min(revision, MaxRevision))
}

// Era returns the era of the store.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the revision in the era.
func (v Version) Revision() uint64 { return uint64(v & MaxRevision) }

// String returns the revision, after the era and a slash if there is an era.
func (v Version) String() string {
	revision := strconv.FormatUint(v.Revision(), 10)
	if v.Era() == 0 {
		return revision
	}
	return v.Era().String() + "/" + revision
}

// ParseVersion parses the form that String returns.
func ParseVersion(text string) (Version, error) {
	eraText, revisionText, hasEra := strings.Cut(text, "/")
	if !hasEra {
		eraText, revisionText = "", text
	}
	revision, err := strconv.ParseUint(revisionText, 10, revisionBits)
	if err != nil {
		return 0, fmt.Errorf("%w %q: %w", ErrInvalidVersion, text, err)
	}
	if !hasEra {
		return NewVersion(0, revision), nil
	}
	era, err := parseEra(eraText)
	if err != nil {
		return 0, fmt.Errorf("%w %q: %w", ErrInvalidVersion, text, err)
	}
	return NewVersion(era, revision), nil
}

// parseEra parses the form that Era.String returns.
func parseEra(text string) (Era, error) {
	statedText, restoresText, hasRestores := strings.Cut(text, ".")
	stated, err := strconv.ParseUint(statedText, 10, eraBits)
	if err != nil {
		return 0, err
	}
	restores := uint64(0)
	if hasRestores {
		if restores, err = strconv.ParseUint(restoresText, 10, restoreBits); err != nil {
			return 0, err
		}
	}
	return Era(stated<<restoreBits | restores), nil
}

// MarshalJSON implements json.Marshaler: a number without an era, else the form that
// String returns.
func (v Version) MarshalJSON() ([]byte, error) {
	if v.Era() == 0 {
		return json.Marshal(v.Revision())
	}
	return json.Marshal(v.String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *Version) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		text = string(b)
	}
	version, err := ParseVersion(text)
	if err != nil {
		return err
	}
	*v = version
	return nil
}

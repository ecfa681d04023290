package discovery

import (
	"errors"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// listingCause is the reason why a node lists all items in place of a watch. It
// is empty if a watch will do.
type listingCause string

// maxSupersededBytes is the size of superseded values after which the next call
// is a listing, unless the last listing was larger.
const maxSupersededBytes = 256 << 10

// Causes of a listing. A watch returns every version since its revision, so that
// a repeat of one that failed returns at least as many. A listing returns one
// version of each item.
const (
	listAfterIncomplete listingCause = "response incomplete"
	listAfterTooLarge   listingCause = "response too large"
	listAfterSuperseded listingCause = "superseded versions"
)

// causeAfterError returns whether and why a listing follows a failed watch.
func causeAfterError(err error) listingCause {
	switch {
	case errors.Is(err, vanillabarrow.ErrResponseTooLarge):
		return listAfterTooLarge
	case errors.Is(err, vanillabarrow.ErrResponseIncomplete):
		return listAfterIncomplete
	default:
		return ""
	}
}

// causeAfterDelta returns whether and why a listing follows a delta from the
// platform that was received when all items up to the known revision were held.
// A listing of listedBytes, the size of the last one, has to cost less than the
// superseded values that it saves.
func causeAfterDelta(d *vanillabarrow.Delta, known vanillabarrow.Version, listedBytes int) listingCause {
	superseded := supersededInWatch(d)
	if d.Full {
		superseded = supersededBeforeListing(d, known)
	}
	if superseded > max(maxSupersededBytes, listedBytes) {
		return listAfterSuperseded
	}
	return ""
}

// supersededInWatch returns the bytes of the values of which the delta also has
// a newer version.
func supersededInWatch(d *vanillabarrow.Delta) int {
	newest := map[string]vanillabarrow.Version{}
	for _, item := range d.Items {
		newest[item.Key] = max(newest[item.Key], item.Revision)
	}
	size := 0
	for _, item := range d.Items {
		if item.Revision < newest[item.Key] {
			size += len(item.Value)
		}
	}
	return size
}

// supersededBeforeListing estimates the bytes of superseded values that a watch
// from the known revision would have returned in place of the listing. Each
// change has a revision, so those that the listing lacks were superseded, here
// assumed to be of the largest changed value.
func supersededBeforeListing(d *vanillabarrow.Delta, known vanillabarrow.Version) int {
	if known == 0 || d.AsOf <= known {
		return 0
	}
	superseded, largest := int(revisionsBetween(known, d.AsOf)), 0
	for _, item := range d.Items {
		if item.Revision > known {
			superseded--
			largest = max(largest, len(item.Value))
		}
	}
	return max(0, superseded) * largest
}

// listNext makes the next call to the platform a listing if there is a cause.
func (f *Follower) listNext(s *sourceState, cause listingCause) {
	if cause == "" || s.after == 0 {
		return
	}
	f.Logger.Info(logging.EventListingChosen, "cause", cause, "after", s.after)
	s.after = 0
}

package discovery

import (
	"context"
	"errors"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/follow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

const (
	// announceGracePeriod is how long the first parent or the platform may take
	// to deliver what a node in another data centre has announced.
	announceGracePeriod = 400 * time.Millisecond
	// fallbackPeerCount bounds the nodes chosen at random when the data of this
	// node is stale.
	fallbackPeerCount = 4
	// quickSearches is the number of nodes without recent data after which the pause
	// before the next one grows from backoffMax to maxSearchPause: the platform is then
	// the likely cause, and it is called by each node.
	quickSearches  = 8
	maxSearchPause = 4 * time.Second
	// fallbackParentTime bounds the time with a parent that is not the first
	// choice, so that the relay tree recovers after a failure.
	fallbackParentTime = 20 * time.Second
)

var (
	// errDraining ends the stream of a parent that is shutting down.
	errDraining = errors.New("parent is draining")
	// errStale ends the stream of a parent whose data is stale, unless the
	// confirmation of this node's own data came from it.
	errStale = errors.New("parent has no recent data from the platform")
	// errParentChanged ends the stream of a node that should no longer be
	// followed.
	errParentChanged = errors.New("another node is now the parent")
	// errItemsHeld ends a second parent's stream with items, once the node has
	// items and only needs announcements.
	errItemsHeld = errors.New("only announcements are needed")
)

// parentSearch is what loopParent keeps between streams.
type parentSearch struct {
	// failures counts the consecutive streams that brought no recent data.
	failures int
	// rejected holds the addresses of nodes that had no recent data while this
	// node's data was stale as well, with the time of the last rejection.
	rejected map[string]time.Time
}

// update notes how a stream from a node ended, and whether it brought recent
// data.
func (s *parentSearch) update(address string, recent bool, err error) {
	if recent {
		s.failures = 0
		clear(s.rejected)
	}
	switch {
	case errors.Is(err, errParentChanged), errors.Is(err, errItemsHeld):
		s.failures = 0
		return
	case errors.Is(err, errStale):
		s.rejected[address] = time.Now()
	}
	s.failures++
}

// searchBackoff bounds the pause after quickSearches.
var searchBackoff = follow.Backoff{Base: backoffMax, Max: maxSearchPause}

// pause returns the time until the next node is tried.
func (s *parentSearch) pause() time.Duration {
	if s.failures <= quickSearches {
		return backoff.Delay(s.failures)
	}
	return searchBackoff.Delay(s.failures - quickSearches)
}

// loopParent keeps following one parent, and chooses another when a stream
// ends. The first slot is for a node of the own data centre, the second for one
// of another data centre.
func (f *Follower) loopParent(ctx context.Context, slot int) {
	search := &parentSearch{rejected: map[string]time.Time{}}
	for ctx.Err() == nil {
		address := f.chooseParent(slot, search)
		if address == "" {
			search.failures = 0
			sleep.Until(ctx, f.Members.Changed(), roleCheckInterval)
			continue
		}
		f.parents.Set(slot, address)
		recent, err := f.followParent(ctx, slot, address)
		f.parents.Clear(slot)
		search.update(address, recent, err)
		if search.failures == 0 {
			continue
		}
		f.Scope.Counter("peersLost").Inc(1)
		f.Logger.Info(logging.EventPeerDisconnected, "slot", slot, "peer", address, "failures", search.failures, "error", err)
		sleep.For(ctx, search.pause())
	}
}

// followParent merges what the parent sends until the stream ends, and returns
// whether it had recent data. The second parent, in another data centre, only
// announces what it knows once this node has items, so that each item crosses
// between data centres once.
func (f *Follower) followParent(ctx context.Context, slot int, address string) (recent bool, err error) {
	started, received := time.Now(), false
	held := f.Table.bases()
	request := f.request(held)
	request.AnnounceOnly = slot > 0 && request.AsOf > 0
	clock := &transitClock{}
	err = f.Relay.Follow(ctx, address, request, func(d *vanillabarrow.Delta) error {
		f.addTransit(d, clock, address)
		if err := f.decode(d, held); err != nil {
			return err
		}
		if request.AnnounceOnly {
			f.handleAnnouncement(ctx, address, d)
		} else {
			f.merge(d, address)
		}
		if !received {
			received = true
			f.Logger.Info(logging.EventPeerConnected, "slot", slot, "peer", address, "asOf", d.AsOf, "age", d.SourceAge)
		}
		if f.Table.AsOf() > 0 {
			f.updateReadiness(time.Now())
		}
		if d.Draining {
			return errDraining
		}
		if f.shouldLeave(d) {
			return errStale
		}
		recent = recent || d.SourceAge <= f.timers.staleAfter && !f.isOutdated(d)
		if slot > 0 && !request.AnnounceOnly && f.Table.AsOf() > 0 {
			return errItemsHeld
		}
		if time.Since(started) > fallbackParentTime && f.chooseParent(slot, &parentSearch{}) != address {
			return errParentChanged
		}
		return nil
	})
	return recent, err
}

// shouldLeave reports whether another node is to be followed than the one that sent
// a delta, because that has no recent data: this node has none either, or has it
// from elsewhere. Data of an earlier era is not recent once the other node had the time to
// learn of the later one.
func (f *Follower) shouldLeave(d *vanillabarrow.Delta) bool {
	if f.isOutdated(d) && time.Since(f.Table.EraChangedAt()) > f.timers.staleAfter {
		return true
	}
	if d.SourceAge <= f.timers.staleAfter {
		return false
	}
	age := time.Since(f.Table.ConfirmedAt())
	return f.isStale() || age < d.SourceAge-f.timers.heartbeatInterval
}

// isOutdated reports whether a delta from another node is of an earlier era than this
// node's data. Nodes of an earlier version name no era; they are followed until a change
// of era is known.
func (f *Follower) isOutdated(d *vanillabarrow.Delta) bool {
	if d.WithoutEra && f.Table.EraChangedAt().IsZero() {
		return false
	}
	return d.AsOf.Era() < f.Table.AsOf().Era()
}

// handleAnnouncement waits until the announced revision is held, and notes the
// confirmation that nothing newer exists. If the revision does not arrive in
// time, it pulls the items from the announcing node.
func (f *Follower) handleAnnouncement(ctx context.Context, address string, d *vanillabarrow.Delta) {
	if d.WithoutEra && f.Table.AsOf().Era() != 0 {
		f.merge(d, address)
		return
	}
	announcedAt := time.Now()
	if !f.waitForRevision(ctx, d.AsOf, announceGracePeriod) {
		if err := f.syncFrom(ctx, address, pullAnnouncement); err != nil {
			f.Logger.Debug(logging.EventItemPullFailed, "peer", address, "error", err)
		}
		return
	}
	f.Table.Confirm(d.AsOf, d.SourceAge, announcedAt)
}

// waitForRevision waits until all items up to a revision are held, at most for
// the given time, and reports whether they are.
func (f *Follower) waitForRevision(ctx context.Context, revision vanillabarrow.Version, d time.Duration) bool {
	deadline := time.Now().Add(d)
	for {
		changed := f.Table.Changed()
		if f.Table.AsOf() >= revision {
			return true
		}
		remaining := time.Until(deadline)
		if remaining <= 0 || !sleep.Until(ctx, changed, remaining) {
			return false
		}
	}
}

// chooseParent returns the address to follow next, empty for none.
func (f *Follower) chooseParent(slot int, search *parentSearch) string {
	if f.Table.AsOf() > 0 && f.isStale() {
		return f.fallbackParent(search)
	}
	candidates := f.candidates(slot)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[search.failures%len(candidates)]
}

// fallbackParent returns the address of a node that has not been rejected, or of the
// one whose rejection is the longest ago, for a node whose data is stale. Parents,
// readers and standby readers come first, so that nodes don't follow each other in a
// circle, then random ones.
func (f *Follower) fallbackParent(search *parentSearch) string {
	view := f.Members.View()
	peers := slices.Concat(view.Parents, view.FirstPeers, f.Members.RandomPeers(view.FleetSize))
	addresses := f.withoutSelf(membership.Addresses(peers))
	if len(addresses) == 0 {
		return ""
	}
	address := slices.MinFunc(addresses, func(a, b string) int {
		return search.rejected[a].Compare(search.rejected[b])
	})
	// Unless its stream brings recent data, the others come first next time.
	search.rejected[address] = time.Now()
	return address
}

// candidates returns the addresses to follow in order of preference. A reader
// needs no first parent, unless its data is stale.
func (f *Follower) candidates(slot int) []string {
	view := f.Members.View()
	if f.Table.AsOf() == 0 {
		return f.withoutSelf(f.Seeds)
	}
	own, remote := membership.Addresses(view.Parents), membership.Addresses(view.RemoteReaders)
	own = append(own, membership.Addresses(view.PrecedingPeers)...)
	if f.isStale() {
		// The regular parents have no newer data, but any other node may.
		return f.withoutSelf(membership.Addresses(f.Members.RandomPeers(fallbackPeerCount)))
	}
	if slot == 0 {
		if view.Reader {
			return nil
		}
		return f.withoutSelf(append(own, remote...))
	}
	return f.withoutSelf(rotate(remote, view.Rank))
}

// isStale reports whether the platform's last confirmation is older than
// staleAfter.
func (f *Follower) isStale() bool { return time.Since(f.Table.ConfirmedAt()) > f.timers.staleAfter }

// rotate returns the list rotated by n. Rotation by rank lets the nodes of a
// data centre follow different nodes of other data centres.
func rotate(list []string, n int) []string {
	if len(list) == 0 || n < 0 {
		return list
	}
	n %= len(list)
	return append(append([]string{}, list[n:]...), list[:n]...)
}

// withoutSelf returns the addresses other than the node's own.
func (f *Follower) withoutSelf(list []string) []string { return follow.Others(list, f.SelfAddress) }

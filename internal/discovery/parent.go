package discovery

import (
	"context"
	"errors"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

const (
	// slots is the number of nodes that a node follows: one of its own data
	// centre and one elsewhere, so that no single cut leaves it without news.
	slots = 2
	// announceGrace is how long the node's own sources may take to bring what
	// a node elsewhere has announced.
	announceGrace = 400 * time.Millisecond
	// anyPeers bounds the nodes drawn when the usual ones have no news.
	anyPeers = 4
	// followFor bounds the time with one node, so that the tree forms again
	// after a failure.
	followFor = 20 * time.Second
)

var (
	// errDraining ends the stream of a node that is about to leave.
	errDraining = errors.New("peer is draining")
	// errStale ends the stream of a node that knows no more than this one.
	errStale = errors.New("peer has no recent word of the platform")
	// errMoved ends the stream of a node that is no longer to be followed.
	errMoved = errors.New("another node is to be followed")
)

// loopPeer follows one node after another. The first slot is for the own data
// centre, the second for another one.
func (f *Follower) loopPeer(ctx context.Context, slot int) {
	failures := 0
	for ctx.Err() == nil {
		address := f.peerFor(slot, failures)
		if address == "" {
			failures = 0
			waitFor(ctx, f.Members.Changed(), roleCheck)
			continue
		}
		f.parents[slot].Store(&address)
		err := f.follow(ctx, slot, address)
		none := ""
		f.parents[slot].Store(&none)
		if errors.Is(err, errMoved) {
			failures = 0
			continue
		}
		failures++
		f.Scope.Counter("peersLost").Inc(1)
		f.Logger.Info(logging.EventPeerLost, "slot", slot, "peer", address, "failures", failures, "error", err)
		waitFor(ctx, nil, backoff(failures))
	}
}

// follow takes over what the node sends until the stream ends. A node
// elsewhere only announces what it knows, so that an item crosses between data
// centres once.
func (f *Follower) follow(ctx context.Context, slot int, address string) error {
	started, heard := time.Now(), false
	announceOnly := slot > 0 && f.Table.AsOf() > 0
	return f.Relay.Follow(ctx, address, vanillabarrow.Cursor{}, announceOnly, func(d *vanillabarrow.Delta) error {
		if announceOnly {
			f.announced(ctx, address, d)
		} else {
			f.merge(d, address)
		}
		if !heard {
			heard = true
			f.Logger.Info(logging.EventPeerFollowed, "slot", slot, "peer", address, "asOf", d.AsOf, "age", d.SourceAge)
		}
		if f.Table.AsOf() > 0 {
			f.checkReady(time.Now())
		}
		if d.Draining {
			return errDraining
		}
		if d.SourceAge > staleAfter && f.stale() {
			return errStale
		}
		if time.Since(started) > followFor && f.peerFor(slot, 0) != address {
			return errMoved
		}
		return nil
	})
}

// announced takes over what a node elsewhere knows: that nothing is newer, or,
// when the node's own sources do not bring the news in time, its items.
func (f *Follower) announced(ctx context.Context, address string, d *vanillabarrow.Delta) {
	deadline := time.Now().Add(announceGrace)
	for d.AsOf > f.Table.AsOf() {
		changed := f.Table.Changed()
		left := time.Until(deadline)
		if left <= 0 {
			if err := f.pull(ctx, address); err != nil {
				f.Logger.Debug(logging.EventPullFailed, "peer", address, "error", err)
			}
			return
		}
		if d.AsOf <= f.Table.AsOf() || !waitFor(ctx, changed, left) {
			break
		}
	}
	f.Table.Merge(d, time.Now())
}

// peerFor returns the address to follow after a number of failures, empty for
// none.
func (f *Follower) peerFor(slot, failures int) string {
	candidates := f.candidates(slot)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[failures%len(candidates)]
}

// candidates returns the nodes to follow in the order of preference.
func (f *Follower) candidates(slot int) []string {
	view := f.Members.View()
	if f.Table.AsOf() == 0 {
		return f.others(f.Seeds)
	}
	own, remote := addresses(view.Parents), addresses(view.RemoteReaders)
	own = append(own, addresses(view.PrecedingPeers)...)
	if f.stale() {
		// The usual nodes know no more than this one, so any other may.
		return f.others(addresses(f.Members.RandomPeers(anyPeers)))
	}
	if slot == 0 {
		if view.Reader {
			return nil
		}
		return f.others(append(own, remote...))
	}
	return f.others(rotate(remote, view.Rank))
}

// stale reports whether the platform's last word is old.
func (f *Follower) stale() bool { return time.Since(f.Table.ConfirmedAt()) > staleAfter }

// rotate starts the list at another place for each rank, so that the nodes of
// a data centre follow different nodes elsewhere.
func rotate(list []string, n int) []string {
	if len(list) == 0 || n < 0 {
		return list
	}
	n %= len(list)
	return append(append([]string{}, list[n:]...), list[:n]...)
}

func addresses(peers []membership.Peer) []string {
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.Address)
	}
	return list
}

// others returns the addresses without the node's own.
func (f *Follower) others(list []string) []string {
	kept := make([]string, 0, len(list))
	for _, address := range list {
		if address != f.SelfAddress {
			kept = append(kept, address)
		}
	}
	return kept
}

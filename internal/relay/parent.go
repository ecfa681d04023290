package relay

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

// fallbackParentTime bounds the time with a node that replaces the regular
// parents after failures, so that the relay tree recovers.
const fallbackParentTime = 10 * time.Second

// errDraining ends the stream of a parent that is shutting down.
var errDraining = errors.New("parent is draining")

// errParentChanged ends the stream of a node that should no longer be
// followed.
var errParentChanged = errors.New("another node is now the parent")

// loopParent keeps following one of the two parents. The first sends versions;
// the second only announces them, and is asked for those that the first does
// not deliver.
func (f *Follower) loopParent(ctx context.Context, slot int) {
	failures := 0
	for ctx.Err() == nil {
		changed := f.Members.Changed()
		address := f.chooseParent(slot, failures)
		if address == "" {
			failures = 0
			sleep.Until(ctx, changed, jittered(roleCheckInterval)())
			continue
		}
		f.parents.Set(slot, address)
		received, err := f.followParent(ctx, slot, address, f.fallbackDeadline())
		f.parents.Clear(slot)
		if received {
			failures = 0
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errParentChanged) {
			failures = 0
			continue
		}
		failures++
		f.Logger.Debug(logging.EventParentDisconnected, "slot", slot, "peer", address, "failures", failures, "error", err)
		if !backoff.Wait(ctx, failures) {
			return
		}
	}
}

// chooseParent returns the address to follow after a number of consecutive
// failures, empty for none. It tries the parents in turn, twice each, and then
// picks a random node among the preceding ranks and the readers of other data
// centres. A node that knows none of these follows a seed.
func (f *Follower) chooseParent(slot, failures int) string {
	view := f.Members.View()
	if view.Reader {
		return ""
	}
	n := len(view.Parents)
	if n > 0 && failures < 2*n {
		return view.Parents[(slot+failures)%n].Address
	}
	candidates := slices.Concat(view.PrecedingPeers, view.RemoteReaders)
	if len(candidates) == 0 {
		return f.seed(slot + failures)
	}
	return membership.Sample(candidates, 1)[0].Address
}

func (f *Follower) seed(n int) string {
	seeds := follow.Others(f.Seeds, f.SelfAddress)
	if len(seeds) == 0 {
		return ""
	}
	return seeds[n%len(seeds)]
}

// followParent processes the messages of one stream until it ends, and reports
// whether it received any.
func (f *Follower) followParent(ctx context.Context, slot int, address string, fallbackDeadline time.Time) (received bool, err error) {
	held := []vanillabarrow.TopicState{}
	for _, topic := range topics {
		held = append(held, f.Table.TopicState(topic))
	}
	err = f.Relay.Watch(ctx, address, held, slot != 0, func(message vanillabarrow.StreamMessage) error {
		received = true
		f.noteContact()
		f.Table.Confirm(time.Now())
		if err := f.handleMessage(ctx, address, message); err != nil {
			return err
		}
		if !f.shouldFollow(address, fallbackDeadline) {
			return errParentChanged
		}
		return nil
	})
	return received, err
}

func (f *Follower) handleMessage(ctx context.Context, address string, message vanillabarrow.StreamMessage) error {
	if message.Draining {
		return errDraining
	}
	if err := f.applyUpdate(message.Update, address); err != nil {
		return err
	}
	for topic, version := range message.Announced {
		f.handleAnnouncement(ctx, address, topic, version)
	}
	return nil
}

// handleAnnouncement fetches an announced version from the announcing node,
// unless the first parent delivers it within announceGracePeriod.
func (f *Follower) handleAnnouncement(ctx context.Context, address string, topic vanillabarrow.Topic, version vanillabarrow.Version) {
	if f.waitForVersion(ctx, topic, version, announceGracePeriod) || ctx.Err() != nil {
		return
	}
	if err := f.fetch(ctx, address, topic); err != nil {
		f.Logger.Debug(logging.EventVersionFetchFailed, "peer", address, "topic", topic, "error", err)
	}
}

// fallbackDeadline returns until when a node that is followed from now on may
// replace the regular parents. A node that was chosen before the parents were
// known, such as a seed, is left as soon as they are: two nodes that follow
// each other would receive no updates.
func (f *Follower) fallbackDeadline() time.Time {
	if len(f.Members.View().Parents) == 0 {
		return time.Now()
	}
	return time.Now().Add(fallbackParentTime)
}

// shouldFollow reports whether a stream should continue. A regular parent is
// followed without limit, a node that replaces the known parents only until
// fallbackDeadline. A reader follows nobody.
func (f *Follower) shouldFollow(address string, fallbackDeadline time.Time) bool {
	view := f.Members.View()
	if view.Reader {
		return false
	}
	if slices.ContainsFunc(view.Parents, func(p membership.Peer) bool { return p.Address == address }) {
		return true
	}
	return len(view.Parents) == 0 || time.Now().Before(fallbackDeadline)
}

package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// standInTime bounds the time with a node that stands in for the parents.
const standInTime = 10 * time.Second

// errDraining ends the stream of a parent that is about to leave.
var errDraining = errors.New("parent is draining")

// errMoved ends the stream of a node that is no longer the parent.
var errMoved = errors.New("another node is the parent")

// loopParent keeps a stream open to one of the two parents. The first sends
// versions; the second announces them only, and is asked for what the first
// does not deliver.
func (f *Follower) loopParent(ctx context.Context, slot int) {
	failures := 0
	for ctx.Err() == nil {
		changed := f.Members.Changed()
		address := f.parentFor(slot, failures)
		if address == "" {
			failures = 0
			sleepUntil(ctx, changed, jittered(roleCheck)())
			continue
		}
		f.parents[slot].Store(&address)
		heard, err := f.watchParent(ctx, slot, address, f.standInUntil())
		none := ""
		f.parents[slot].Store(&none)
		if heard {
			failures = 0
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errMoved) {
			failures = 0
			continue
		}
		failures++
		f.Logger.Debug(logging.EventParentLost, "slot", slot, "peer", address, "failures", failures, "error", err)
		if !pause(ctx, failures) {
			return
		}
	}
}

// parentFor returns the address to watch, empty for none. After failures it
// moves to the other parent, then up the ranking, then to other data centres.
func (f *Follower) parentFor(slot, failures int) string {
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
	seeds := f.otherSeeds()
	if len(seeds) == 0 {
		return ""
	}
	return seeds[n%len(seeds)]
}

func (f *Follower) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(f.Seeds), func(s string) bool { return s == f.SelfAddress })
}

// watchParent follows one stream to its end. Heard is set when a message came.
func (f *Follower) watchParent(ctx context.Context, slot int, address string, standInUntil time.Time) (heard bool, err error) {
	held := []vanillabarrow.TopicState{}
	for _, topic := range topics {
		held = append(held, f.Table.TopicState(topic))
	}
	err = f.Relay.Watch(ctx, address, held, slot != 0, func(beat vanillabarrow.StreamMessage) error {
		heard = true
		f.heard()
		f.Table.Confirm(time.Now())
		if err := f.receive(ctx, address, beat); err != nil {
			return err
		}
		if !f.isParent(address, standInUntil) {
			return errMoved
		}
		return nil
	})
	return heard, err
}

func (f *Follower) receive(ctx context.Context, address string, beat vanillabarrow.StreamMessage) error {
	if beat.Draining {
		return errDraining
	}
	if err := f.apply(beat.Update, address); err != nil {
		return err
	}
	for topic, version := range beat.Announced {
		f.expect(ctx, address, topic, version)
	}
	return nil
}

// expect pulls an announced version unless the first parent sends it in time.
func (f *Follower) expect(ctx context.Context, address string, topic vanillabarrow.Topic, version vanillabarrow.Version) {
	timer := time.NewTimer(announceGrace)
	defer timer.Stop()
	for f.Table.HeldVersion(topic) < version {
		changed := f.Table.Changed()
		if f.Table.HeldVersion(topic) >= version {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if err := f.fetch(ctx, address, topic); err != nil {
				f.Logger.Debug(logging.EventVersionNotFetched, "peer", address, "topic", topic, "error", err)
			}
			return
		case <-ctx.Done():
			return
		}
	}
}

// standInUntil returns until when a node that is watched now may stand in for
// the parents. One that was chosen before the parents were known, such as a
// seed, is left as soon as they are: two nodes that watch each other would pass
// nothing on.
func (f *Follower) standInUntil() time.Time {
	if len(f.Members.View().Parents) == 0 {
		return time.Now()
	}
	return time.Now().Add(standInTime)
}

// isParent reports whether a stream should go on. A node that stands in for
// the parents is left after a while, so that the tree forms again.
func (f *Follower) isParent(address string, standInUntil time.Time) bool {
	view := f.Members.View()
	if view.Reader {
		return false
	}
	if slices.ContainsFunc(view.Parents, func(p membership.Peer) bool { return p.Address == address }) {
		return true
	}
	return len(view.Parents) == 0 || time.Now().Before(standInUntil)
}

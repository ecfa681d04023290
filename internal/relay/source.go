package relay

import (
	"context"
	"fmt"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// maxPartsRead bounds the parts kept of versions that are not whole yet.
const maxPartsRead = 64

// roleCheck is how often a node that is no reader looks whether it became one.
const roleCheck = time.Second

// loopSource watches a topic at the platform while the node is a reader, and
// reads it now and then while the node has no other source.
func (f *Follower) loopSource(ctx context.Context, topic vanillabarrow.Topic) {
	failures := 0
	for ctx.Err() == nil {
		changed := f.Members.Changed()
		switch {
		case f.Members.View().Reader:
			if err := f.watchSource(ctx, topic); err != nil {
				failures++
				f.Scope.Counter("sourceErrors").Inc(1)
				f.Logger.Warn(logging.EventWatchFailed, "topic", topic, "failures", failures, "error", err)
				pause(ctx, failures)
				continue
			}
			failures = 0
		case f.silence() > escalateAfter:
			if err := f.readSource(ctx, topic); err != nil {
				f.Scope.Counter("sourceErrors").Inc(1)
			}
			sleep(ctx, jittered(escalateAfter)())
		default:
			sleepUntil(ctx, changed, jittered(roleCheck)())
		}
	}
}

// watchSource waits for one change of the topic.
func (f *Follower) watchSource(ctx context.Context, topic vanillabarrow.Topic) error {
	if err := f.budget.Wait(ctx); err != nil {
		return err
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	value, err := f.Source.Watch(watchCtx, string(topic), f.Table.HeldVersion(topic))
	if err != nil {
		return err
	}
	return f.learn(ctx, topic, value)
}

// readSource reads the topic once.
func (f *Follower) readSource(ctx context.Context, topic vanillabarrow.Topic) error {
	value, err := f.readValue(ctx, string(topic))
	if err != nil {
		return err
	}
	return f.learn(ctx, topic, value)
}

// readValue reads one value within the node's share of the read budget.
func (f *Follower) readValue(ctx context.Context, key string) (*vanillabarrow.Value, error) {
	if err := f.budget.Wait(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return f.Source.Read(ctx, key)
}

// learn takes over what the platform answered, nil for no change.
func (f *Follower) learn(ctx context.Context, topic vanillabarrow.Topic, value *vanillabarrow.Value) error {
	f.heard()
	if value == nil || value.Revision <= f.Table.HeldVersion(topic) {
		f.Table.Confirm(time.Now())
		if topic == vanillabarrow.TopicConfig && f.Table.HeldVersion(topic) > 0 {
			f.configRead.Store(true)
		}
		return nil
	}
	b, err := f.assemble(ctx, topic, value)
	if err != nil {
		return err
	}
	f.offer(b, "platform")
	if topic == vanillabarrow.TopicConfig {
		f.configRead.Store(true)
	}
	return nil
}

// assemble reads the parts that a manifest names and that are not held. A
// version is whole or absent: any part that can't be read fails it.
func (f *Follower) assemble(ctx context.Context, topic vanillabarrow.Topic, value *vanillabarrow.Value) (*vanillabarrow.Bundle, error) {
	b := &vanillabarrow.Bundle{Topic: topic, Version: value.Revision, Root: value.Bytes}
	if topic != vanillabarrow.TopicConfig || !inventory.IsManifest(value.Bytes) {
		return b, nil
	}
	manifest, err := inventory.DecodeManifest(string(topic), value.Bytes)
	if err != nil {
		// The version is whole but invalid, which the table records.
		return b, nil
	}
	held := f.heldParts(topic)
	for _, part := range manifest.Parts {
		content, ok := held[part.Digest]
		if !ok {
			if content, err = f.readPart(ctx, part.Digest); err != nil {
				return nil, fmt.Errorf("part %q of version %d: %w", part.Name, b.Version, err)
			}
		}
		b.Parts = append(b.Parts, vanillabarrow.Part{Name: part.Name, Digest: part.Digest, Bytes: content})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.read)
	return b, nil
}

// readPart reads a part, unless an earlier try for the version got it. A node
// with a small share of the read budget so gets on from one try to the next.
func (f *Follower) readPart(ctx context.Context, digest string) ([]byte, error) {
	f.mu.Lock()
	content, ok := f.read[digest]
	f.mu.Unlock()
	if ok {
		return content, nil
	}
	value, err := f.readValue(ctx, vanillabarrow.PartKeyPrefix+digest)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.read) >= maxPartsRead {
		clear(f.read)
	}
	f.read[digest] = value.Bytes
	return value.Bytes, nil
}

// heldParts returns the parts held of a topic by digest.
func (f *Follower) heldParts(topic vanillabarrow.Topic) map[string][]byte {
	parts := map[string][]byte{}
	if b := f.Table.HeldBundle(topic); b != nil {
		for _, p := range b.Parts {
			parts[p.Digest] = p.Bytes
		}
	}
	return parts
}

// startSpread is the time over which the first platform reads of a fleet that
// starts at once are spread, so that they stay within the budget.
func (f *Follower) startSpread() time.Duration {
	reads := float64(f.FleetSize)
	return time.Duration(reads / (float64(f.ReadBudget) * othersShare) * float64(time.Second))
}

// firstRead returns the delay of the node's own first read.
func (f *Follower) firstRead() time.Duration {
	return random.Duration(f.startSpread() + time.Millisecond)
}

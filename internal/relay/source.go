package relay

import (
	"context"
	"fmt"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// maxCachedParts bounds the cached parts of incomplete versions.
const maxCachedParts = 64

// roleCheckInterval is the mean interval at which a node that is not a reader
// checks whether it should read the platform.
const roleCheckInterval = time.Second

// loopSource watches a topic at the platform while the node is a reader. Any
// other node reads it once whenever platformFallbackAfter has passed since the
// last contact with a parent or the platform.
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
				backoff.Wait(ctx, failures)
				continue
			}
			failures = 0
		case f.sinceLastContact() > platformFallbackAfter:
			if err := f.readSource(ctx, topic); err != nil {
				f.Scope.Counter("sourceErrors").Inc(1)
				f.Logger.Warn(logging.EventFallbackReadFailed, "topic", topic, "error", err)
			}
			sleep.For(ctx, jittered(platformFallbackAfter)())
		default:
			sleep.Until(ctx, changed, jittered(roleCheckInterval)())
		}
	}
}

// watchSource makes one watch of the topic and applies the change, if any.
func (f *Follower) watchSource(ctx context.Context, topic vanillabarrow.Topic) error {
	if err := f.readLimiter.Wait(ctx); err != nil {
		return err
	}
	watchCtx, progress := kernel.WithProgressTimeout(ctx, watchTimeout)
	defer progress.Stop()
	value, err := f.Source.Watch(watchCtx, string(topic), f.Table.HeldVersion(topic))
	if err != nil {
		return err
	}
	return f.applyValue(ctx, topic, value)
}

// readSource reads the topic once and applies its value.
func (f *Follower) readSource(ctx context.Context, topic vanillabarrow.Topic) error {
	value, err := f.readValue(ctx, string(topic))
	if err != nil {
		return err
	}
	return f.applyValue(ctx, topic, value)
}

// readValue reads one value within the node's share of the read budget.
func (f *Follower) readValue(ctx context.Context, key string) (*vanillabarrow.Value, error) {
	if err := f.readLimiter.Wait(ctx); err != nil {
		return nil, err
	}
	ctx, progress := kernel.WithProgressTimeout(ctx, platformTimeout)
	defer progress.Stop()
	return f.Source.Read(ctx, key)
}

// applyValue offers a value from the platform to the table. Nil means that
// nothing changed.
func (f *Follower) applyValue(ctx context.Context, topic vanillabarrow.Topic, value *vanillabarrow.Value) error {
	f.noteContact()
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

// assemble builds the bundle of a value. It reads the parts that the manifest
// names and that are not held. Versions are never applied in part, so it fails
// if any part can't be read.
func (f *Follower) assemble(ctx context.Context, topic vanillabarrow.Topic, value *vanillabarrow.Value) (*vanillabarrow.Bundle, error) {
	b := &vanillabarrow.Bundle{Topic: topic, Version: value.Revision, Root: value.Bytes}
	if topic != vanillabarrow.TopicConfig || !inventory.IsManifest(value.Bytes) {
		return b, nil
	}
	manifest, err := inventory.DecodeManifest(string(topic), value.Bytes)
	if err != nil {
		// The bundle is complete but invalid; the table records the rejection.
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
	clear(f.partCache)
	return b, nil
}

// readPart returns a part from the cache or reads it from the platform. The
// cache lets a node with a small share of the read budget complete a version
// over several attempts.
func (f *Follower) readPart(ctx context.Context, digest string) ([]byte, error) {
	f.mu.Lock()
	content, ok := f.partCache[digest]
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
	if len(f.partCache) >= maxCachedParts {
		clear(f.partCache)
	}
	f.partCache[digest] = value.Bytes
	return value.Bytes, nil
}

// heldParts returns the held parts of a topic by digest.
func (f *Follower) heldParts(topic vanillabarrow.Topic) map[string][]byte {
	parts := map[string][]byte{}
	if b := f.Table.HeldBundle(topic); b != nil {
		for _, p := range b.Parts {
			parts[p.Digest] = p.Bytes
		}
	}
	return parts
}

// firstReadWindow is the time over which the first platform reads of a fleet
// whose nodes all start together are spread, so that they stay within
// nonReaderShare of the read budget.
func (f *Follower) firstReadWindow() time.Duration {
	reads := float64(f.FleetSize)
	return time.Duration(reads / (float64(f.ReadBudget) * nonReaderShare) * float64(time.Second))
}

// firstReadDelay returns a random delay before the node's first read.
func (f *Follower) firstReadDelay() time.Duration {
	return random.Duration(f.firstReadWindow() + time.Millisecond)
}

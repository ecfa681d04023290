package vanillabarrow

import "context"

// TopicState names what a node holds of a topic, without content.
type TopicState struct {
	Topic      Topic
	Version    Version
	RootDigest string
	// Parts maps the names of parts to their digests.
	Parts map[string]string
}

// Patch carries the bytes with a digest, whole or against a base.
type Patch struct {
	Name   string
	Digest string
	// Base is the digest that Content is compressed against, empty for none.
	Base string
	// Content is the compressed bytes. It is empty when Held is set.
	Content []byte
	// Held is set when the receiver has the bytes.
	Held bool
}

// Update carries one version to a node that holds another.
type Update struct {
	Topic   Topic
	Version Version
	Root    Patch
	Parts   []Patch
}

// Size returns the number of content bytes.
func (u *Update) Size() int {
	n := len(u.Root.Content)
	for _, p := range u.Parts {
		n += len(p.Content)
	}
	return n
}

// StreamMessage is what a stream between nodes carries: an update, an announcement
// of versions, or nothing but the proof that the sender lives.
type StreamMessage struct {
	Update *Update
	// Announced holds versions whose content must be fetched.
	Announced map[Topic]Version
	// Draining is set when the sender is about to leave.
	Draining bool
}

// Relay passes published versions between nodes. Addresses are those of peer
// listeners.
type Relay interface {
	// Watch calls receive for each message until the stream ends or receive
	// fails. With announceOnly set, no content is sent.
	Watch(ctx context.Context, address string, held []TopicState, announceOnly bool, receive func(StreamMessage) error) error
	// Fetch returns what a node lacks of a topic, nil for nothing.
	Fetch(ctx context.Context, address string, held TopicState) (*Update, error)
	// Peek returns the versions that a node holds.
	Peek(ctx context.Context, address string) (map[Topic]Version, error)
}

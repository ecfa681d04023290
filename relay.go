package vanillabarrow

import "context"

// TopicState describes the version of a topic that a node has, without content.
type TopicState struct {
	Topic      Topic
	Version    Version
	RootDigest string
	// Parts maps part names to digests.
	Parts map[string]string
}

// Patch carries the root or one part of a version. The content is compressed,
// if possible with content that the receiver has as the dictionary.
type Patch struct {
	// Name is the name of the part, empty for the root.
	Name string
	// Digest is the digest of the uncompressed content.
	Digest string
	// Base is the digest of the content that serves as the compression
	// dictionary, empty for none.
	Base string
	// Content is the compressed content. It is empty when Held is set.
	Content []byte
	// Held is set when the receiver already has the content.
	Held bool
}

// Update carries one version to a node that has an older one or none.
type Update struct {
	Topic   Topic
	Version Version
	Root    Patch
	Parts   []Patch
}

// Size returns the number of compressed bytes of the root and all parts.
func (u *Update) Size() int {
	n := len(u.Root.Content)
	for _, p := range u.Parts {
		n += len(p.Content)
	}
	return n
}

// StreamMessage is one message of a stream between nodes: an update, an
// announcement of versions, or an empty heartbeat.
type StreamMessage struct {
	Update *Update
	// Announced holds versions whose content the receiver has to fetch.
	Announced map[Topic]Version
	// Draining is set when the sender is shutting down.
	Draining bool
}

// Relay transfers published versions between nodes. Addresses are those of peer
// listeners.
type Relay interface {
	// Watch calls receive for each message until the stream ends or receive
	// returns an error. With announceOnly set, versions are announced without
	// their content.
	Watch(ctx context.Context, address string, held []TopicState, announceOnly bool, receive func(StreamMessage) error) error
	// Fetch returns the update from the held version to the peer's, nil if the
	// peer has nothing newer.
	Fetch(ctx context.Context, address string, held TopicState) (*Update, error)
	// Peek returns the versions that the node at the address has.
	Peek(ctx context.Context, address string) (map[Topic]Version, error)
}

package patch

import "github.com/vanillabarrow/vanillabarrow/internal/kernel"

const (
	// cacheBytes bounds the size of the entries of a cache.
	cacheBytes = 4 << 20
	// entryBytes is the memory in bytes that an entry takes besides its patch and
	// the names in its key.
	entryBytes = 200
)

// Cache keeps recently compressed patches, because a node sends the same ones to
// each of its followers.
type Cache struct {
	mu *kernel.Mutex
	// order lists the keys of entries, oldest first.
	order   []Key
	entries map[Key][]byte
	// size is the size of all entries in bytes.
	size int
}

// Key identifies a patch by names of its content and of its base, such as
// digests. Base is empty for none.
type Key struct {
	Content string
	Base    string
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{mu: kernel.NewMutex(kernel.RankPatchCache), entries: map[Key][]byte{}}
}

// Compress returns the cached patch, or compresses the content and caches the
// result.
func (c *Cache) Compress(key Key, content, base []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out, ok := c.entries[key]; ok {
		return out, nil
	}
	out, err := Compress(content, base)
	if err != nil {
		return nil, err
	}
	c.add(key, out)
	return out, nil
}

// add adds an entry and removes the oldest ones beyond cacheBytes.
func (c *Cache) add(key Key, out []byte) {
	c.entries[key] = out
	c.order = append(c.order, key)
	c.size += sizeOf(key, out)
	for c.size > cacheBytes {
		oldest := c.order[0]
		c.size -= sizeOf(oldest, c.entries[oldest])
		delete(c.entries, oldest)
		c.order = c.order[1:]
	}
}

func sizeOf(key Key, out []byte) int {
	return len(key.Content) + len(key.Base) + len(out) + entryBytes
}

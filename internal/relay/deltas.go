package relay

import (
	"sync"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/delta"
)

const (
	// maxHave bounds the values that a caller names to a relay.
	maxHave = 16
	// maxCachedKeys bounds the keys whose deltas are cached.
	maxCachedKeys = 16
	// maxValueBytes bounds a value that was sent as a delta.
	maxValueBytes = 4 << 20
)

// errBadDelta reports a value that could not be decoded.
const errBadDelta = errors.ConstError("delta of a relayed value does not match the known value")

// deltaCache keeps the deltas to the latest value of maxCachedKeys keys, since most callers have the same former one. It is
// safe for concurrent use.
type deltaCache struct {
	mu     sync.Mutex
	latest map[string]*cachedDeltas
}

// cachedDeltas are the deltas to one value, by the revision of the base.
type cachedDeltas struct {
	epoch, revision int64
	byBase          map[int64][]byte
}

// encode returns the delta from a base to the value of a key that was written with a revision.
func (c *deltaCache) encode(key string, epoch, baseRevision, revision int64, base, value []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil {
		c.latest = make(map[string]*cachedDeltas)
	}
	cached := c.latest[key]
	if cached == nil && len(c.latest) >= maxCachedKeys {
		clear(c.latest) // Few keys have large values, unless another writer floods the store.
	}
	if cached == nil || cached.epoch != epoch || cached.revision != revision {
		cached = &cachedDeltas{epoch: epoch, revision: revision, byBase: make(map[int64][]byte)}
		c.latest[key] = cached
	}
	encoded, known := cached.byBase[baseRevision]
	if !known {
		encoded = delta.Encode(base, value)
		cached.byBase[baseRevision] = encoded
	}
	return encoded
}

// heldValues are the values of one Reader that a relay may send deltas to, by key.
type heldValues map[string]catalog.Item

// update holds the values of changed items.
func (h *heldValues) update(items []catalog.Item) {
	if *h == nil {
		*h = make(heldValues)
	}
	for _, i := range items {
		if _, held := (*h)[i.Key]; i.Deleted || len(i.Value) < catalog.MinKeptBytes || !held && len(*h) >= maxHave {
			delete(*h, i.Key)
			continue
		}
		(*h)[i.Key] = i
	}
}

// decode returns the value of an item that a relay sent.
func (h heldValues) decode(in wireItem) ([]byte, error) {
	if in.Delta == nil {
		return in.Value, nil
	}
	var base []byte
	if in.Base != 0 {
		held, known := h[in.Key]
		if !known || held.Revision != in.Base {
			return nil, errBadDelta
		}
		base = held.Value
	}
	value, err := delta.Decode(base, in.Delta, maxValueBytes)
	if err != nil {
		return nil, errors.WithType(err, errBadDelta)
	}
	return value, nil
}

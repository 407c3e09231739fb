package config

import (
	"context"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
)

const (
	// maxParallelCalls limits the concurrent calls to the store.
	maxParallelCalls = 16
	// listThreshold is the number of missing chunks from which one listing of all
	// chunks costs the store less than one read for each missing chunk.
	listThreshold = 256
	// maxPutAttempts limits the attempts to write a chunk. An attempt fails when a
	// concurrent edit or collection changes the chunk's key.
	maxPutAttempts = 5
)

// chunkStore reads and writes immutable chunks in the key-value store.
type chunkStore struct {
	store store.Store
}

// chunkKey returns the store key of a chunk.
func chunkKey(h hashtree.Hash) string {
	return chunkPrefix + h.String()
}

// get returns the chunks with the given hashes. For fewer than listThreshold
// hashes, the result is in the order of hashes, and each chunk is verified against
// its hash. Otherwise the result is all chunks of the store, in any order and not
// verified. Errors are ErrUnavailable, and ErrCorrupt if a chunk is missing or does
// not match its hash.
func (c chunkStore) get(ctx context.Context, hashes []hashtree.Hash) ([][]byte, error) {
	if len(hashes) >= listThreshold {
		return c.list(ctx)
	}
	out := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for i, h := range hashes {
		group.Go(func() error {
			raw, err := c.getOne(ctx, h)
			out[i] = raw
			return err
		})
	}
	return out, group.Wait()
}

// getOne reads one chunk and verifies it against its hash.
func (c chunkStore) getOne(ctx context.Context, h hashtree.Hash) ([]byte, error) {
	entry, err := c.store.Get(ctx, chunkKey(h))
	if errors.Is(err, store.ErrNotFound) {
		return nil, errors.WithType(errors.Errorf("chunk %s is missing", h), ErrCorrupt)
	}
	if err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	if hashtree.HashOf(entry.Value) != h {
		return nil, errors.WithType(errors.Errorf("content of chunk %s does not match its hash", h), ErrCorrupt)
	}
	return entry.Value, nil
}

// list reads all chunks in the store.
func (c chunkStore) list(ctx context.Context) ([][]byte, error) {
	entries, err := c.store.List(ctx, chunkPrefix)
	if err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	out := make([][]byte, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Value)
	}
	return out, nil
}

// tree returns the tree with the given root. Subtrees that previous has at the
// same position are reused and not read from the store.
func (c chunkStore) tree(ctx context.Context, root hashtree.Hash, previous *hashtree.Tree) (*hashtree.Tree, error) {
	assembler := hashtree.NewAssembler(root, previous)
	requested := make(map[hashtree.Hash]bool)
	for {
		t, missing, err := assembler.Build()
		if err != nil {
			return nil, errors.WithType(err, ErrCorrupt)
		}
		if len(missing) == 0 {
			return t, nil
		}
		if requested[missing[0]] {
			return nil, errors.WithType(errors.Errorf("chunk %s is missing", missing[0]), ErrCorrupt)
		}
		requested[missing[0]] = true
		found, err := c.get(ctx, missing)
		if err != nil {
			return nil, err
		}
		for _, raw := range found {
			assembler.Add(raw)
		}
	}
}

// put writes chunks. It rewrites chunks that already exist, which changes their
// index. A concurrent collection that listed such a chunk as unused then fails
// to delete it.
func (c chunkStore) put(ctx context.Context, chunks map[hashtree.Hash][]byte) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for h, raw := range chunks {
		group.Go(func() error { return c.putOne(ctx, h, raw) })
	}
	return group.Wait()
}

// putOne writes one chunk. It returns ErrUnavailable if the store fails or if
// maxPutAttempts writes lose against other writes of the key.
func (c chunkStore) putOne(ctx context.Context, h hashtree.Hash, raw []byte) error {
	var index store.Index
	for attempt := range maxPutAttempts {
		ok, err := c.store.CompareAndSwap(ctx, chunkKey(h), raw, index)
		if err == nil && ok {
			return nil
		}
		if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
			return errors.WithType(err, ErrUnavailable)
		}
		current, readErr := c.indexOf(ctx, h)
		if readErr != nil {
			return readErr
		}
		// The index was read after the head and has changed since, so this
		// attempt or another edit has written the chunk.
		if attempt > 0 && current != 0 && current != index {
			return nil
		}
		index = current
	}
	return errors.WithType(errors.Errorf("chunk %s not written after %d attempts", h, maxPutAttempts), ErrUnavailable)
}

// indexOf returns the store's index of a chunk, or 0 if the chunk does not exist.
func (c chunkStore) indexOf(ctx context.Context, h hashtree.Hash) (store.Index, error) {
	entry, err := c.store.Get(ctx, chunkKey(h))
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.WithType(err, ErrUnavailable)
	}
	return entry.Index, nil
}

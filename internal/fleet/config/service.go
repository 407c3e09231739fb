package config

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	// maxPushBytes limits the chunks of one push. A larger change is sent without
	// chunks, and the receiver fetches them.
	maxPushBytes = 256_000
	// maxFetchBytes limits the chunks of one fetch response. A response may hold
	// one larger chunk.
	maxFetchBytes = 512_000
	// maxFetchHashes limits the hashes of one fetch request.
	maxFetchHashes = 512
)

// errNoProgress means that an entry returned none of the missing chunks of its own
// head.
const errNoProgress = errors.ConstError("entry returned none of the missing chunks of its revision")

// String returns the revision as a decimal number.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r), 10)
}

// headOf returns the head of a snapshot as sent to other entries.
func headOf(s *Snapshot) *rpc.Head {
	return &rpc.Head{Revision: uint64(s.revision), Root: s.Root().Bytes()}
}

// newPushRequest returns the push of a revision, with the chunks that the previous
// revision does not have. It omits the chunks if they exceed maxPushBytes.
func newPushRequest(self members.Member, job pushJob) *rpc.PushRequest {
	req := &rpc.PushRequest{Vm: string(self.VM), Head: headOf(job.next)}
	size := 0
	complete := job.next.top.EachNewChunk(job.previous.top, func(_ hashtree.Hash, raw []byte) bool {
		size += len(raw)
		req.Chunks = append(req.Chunks, raw)
		return size <= maxPushBytes
	})
	if !complete {
		req.Chunks = nil
	}
	return req
}

// pushTo sends a push to an entry and counts it.
func (r *Replica) pushTo(ctx context.Context, to members.Member, req *rpc.PushRequest) {
	size := 0
	for _, raw := range req.Chunks {
		size += len(raw)
	}
	r.metrics.pushes.Inc(1)
	r.metrics.pushedBytes.Inc(int64(size))
	_, _ = r.opts.Peers.Push(ctx, to, req) // Gossip delivers the revision if the push fails.
}

// Push implements rpc.Config. It returns the revision in force afterwards.
func (r *Replica) Push(ctx context.Context, req *rpc.PushRequest) (*rpc.PushResponse, error) {
	if Revision(req.GetHead().GetRevision()) > r.Current().revision {
		if err := r.installPushed(ctx, req); err != nil {
			return nil, err
		}
	}
	return &rpc.PushResponse{Revision: uint64(r.Current().revision)}, nil
}

// installPushed puts a pushed revision into force. It fetches the chunks that are
// neither in the push nor in the current configuration from the sender.
func (r *Replica) installPushed(ctx context.Context, req *rpc.PushRequest) error {
	root, err := hashtree.ParseHash(req.Head.Root)
	if err != nil {
		return errors.Trace(err)
	}
	assembler := hashtree.NewAssembler(root, r.Current().top)
	for _, raw := range req.Chunks {
		assembler.Add(raw)
	}
	return r.fetchAndInstall(ctx, assembler, Revision(req.Head.Revision), ident.VM(req.Vm))
}

// fetchAndInstall fetches the missing chunks of a tree from an entry and puts
// the tree into force. It returns errNoProgress if a fetch leaves the same chunks
// missing.
func (r *Replica) fetchAndInstall(ctx context.Context, assembler *hashtree.Assembler, revision Revision, from ident.VM) error {
	var previousMissing []hashtree.Hash
	for {
		top, missing, err := assembler.Build()
		if err != nil {
			return errors.Trace(err)
		}
		if len(missing) == 0 {
			_, err := r.install(revision, top)
			return err
		}
		if slices.Equal(missing, previousMissing) {
			return errNoProgress
		}
		previousMissing = missing
		if err := r.fetch(ctx, assembler, missing, from); err != nil {
			return err
		}
	}
}

// fetch adds missing chunks from an entry to an assembler, at most maxFetchHashes
// of them.
func (r *Replica) fetch(ctx context.Context, assembler *hashtree.Assembler, missing []hashtree.Hash, from ident.VM) error {
	member, ok := r.findEntry(from)
	if !ok {
		return errors.NotFoundf("entry %q", from)
	}
	req := &rpc.FetchRequest{}
	for _, h := range missing[:min(len(missing), maxFetchHashes)] {
		req.Hashes = append(req.Hashes, h.Bytes())
	}
	resp, err := r.opts.Peers.Fetch(ctx, member, req)
	if err != nil {
		return errors.Trace(err)
	}
	r.metrics.fetchedChunks.Inc(int64(len(resp.Chunks)))
	for _, raw := range resp.Chunks {
		assembler.Add(raw)
	}
	return nil
}

// findEntry returns the entry with the given VM.
func (r *Replica) findEntry(vm ident.VM) (members.Member, bool) {
	for _, m := range r.opts.Members.Entries() {
		if m.VM == vm {
			return m, true
		}
	}
	return members.Member{}, false
}

// PullFrom puts an entry's revision into force if it is higher than the current one.
// If another PullFrom is running, it returns nil immediately.
func (r *Replica) PullFrom(ctx context.Context, from members.Member) error {
	if !r.pulling.CompareAndSwap(false, true) {
		return nil
	}
	defer r.pulling.Store(false)
	resp, err := r.opts.Peers.Fetch(ctx, from, &rpc.FetchRequest{})
	if err != nil {
		return errors.Trace(err)
	}
	if Revision(resp.GetHead().GetRevision()) <= r.Current().revision {
		return nil
	}
	return r.installPushed(ctx, &rpc.PushRequest{Vm: string(from.VM), Head: resp.Head})
}

// Fetch implements rpc.Config. It returns the head in force and the requested
// chunks of the tree in force, up to maxFetchBytes. It skips unknown hashes.
func (r *Replica) Fetch(_ context.Context, req *rpc.FetchRequest) (*rpc.FetchResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	resp := &rpc.FetchResponse{Head: headOf(r.Current())}
	size := 0
	for _, data := range req.Hashes {
		h, err := hashtree.ParseHash(data)
		if err != nil {
			continue
		}
		raw, ok := r.index.get(h)
		if !ok {
			continue
		}
		size += len(raw)
		if size > maxFetchBytes && len(resp.Chunks) > 0 {
			break
		}
		resp.Chunks = append(resp.Chunks, raw)
	}
	return resp, nil
}

// State implements rpc.Config. ConfirmedAgeMs is -1 if the store has never
// confirmed the revision in force.
func (r *Replica) State(_ context.Context, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	current := r.Current()
	self := r.opts.Members.Self()
	_, granted := current.Key(ident.KeyHash(req.KeyHash))
	resp := &rpc.StateResponse{
		Vm: string(self.VM), Incarnation: uint64(self.Incarnation), Head: headOf(current),
		InForceAgeMs: time.Since(r.InForceSince()).Milliseconds(), ConfirmedAgeMs: -1,
		Fresh: r.opts.Confirmations.IsFresh(), KeyGranted: req.KeyHash != "" && granted,
	}
	if confirmedAt := r.opts.Confirmations.ConfirmedAt(); !confirmedAt.IsZero() {
		resp.ConfirmedAgeMs = time.Since(confirmedAt).Milliseconds()
	}
	for _, d := range r.Degradations() {
		resp.Degraded = append(resp.Degraded, &rpc.Degradation{What: d.Condition, SinceMs: d.Since.UnixMilli()})
	}
	return resp, nil
}

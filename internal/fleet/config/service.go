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
	// maxPushBytes bounds the chunks of one push; a larger change is fetched.
	maxPushBytes = 256_000
	// maxFetchBytes bounds the chunks of one answer.
	maxFetchBytes = 512_000
	// maxFetchHashes bounds the hashes of one question.
	maxFetchHashes = 512
)

// errNoProgress says that an entry does not send the chunks of its own head.
const errNoProgress = errors.ConstError("entry does not send what it holds")

// String returns the revision as a decimal number.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r), 10)
}

func headOf(s *Snapshot) *rpc.Head {
	return &rpc.Head{Revision: uint64(s.revision), Root: s.Root().Bytes()}
}

// pushRequest holds the chunks that a revision has and the former one has not.
func pushRequest(self members.Member, job spreadJob) *rpc.PushRequest {
	req := &rpc.PushRequest{Vm: string(self.VM), Head: headOf(job.next)}
	size := 0
	complete := job.next.top.Chunks(job.former.top, func(_ hashtree.Hash, raw []byte) bool {
		size += len(raw)
		req.Chunks = append(req.Chunks, raw)
		return size <= maxPushBytes
	})
	if !complete {
		req.Chunks = nil
	}
	return req
}

func (r *Replica) pushTo(ctx context.Context, to members.Member, req *rpc.PushRequest) {
	size := 0
	for _, raw := range req.Chunks {
		size += len(raw)
	}
	r.metrics.pushed.Inc(1)
	r.metrics.pushBytes.Inc(int64(size))
	_, _ = r.opts.Peers.Push(ctx, to, req) // Gossip repairs a push that is lost.
}

// Push implements rpc.Config.
func (r *Replica) Push(ctx context.Context, req *rpc.PushRequest) (*rpc.PushResponse, error) {
	if Revision(req.GetHead().GetRevision()) > r.Current().revision {
		if err := r.accept(ctx, req); err != nil {
			return nil, err
		}
	}
	return &rpc.PushResponse{Revision: uint64(r.Current().revision)}, nil
}

// accept puts a pushed revision in force; what it lacks is fetched from the
// entry that pushed.
func (r *Replica) accept(ctx context.Context, req *rpc.PushRequest) error {
	root, err := hashtree.ParseHash(req.Head.Root)
	if err != nil {
		return errors.Trace(err)
	}
	assembly := hashtree.NewAssembly(root, r.Current().top)
	for _, raw := range req.Chunks {
		assembly.Add(raw)
	}
	return r.complete(ctx, assembly, Revision(req.Head.Revision), ident.VM(req.Vm))
}

// complete fetches what an assembly lacks and puts it in force.
func (r *Replica) complete(ctx context.Context, assembly *hashtree.Assembly, revision Revision, from ident.VM) error {
	var before []hashtree.Hash
	for {
		top, missing, err := assembly.Build()
		if err != nil {
			return errors.Trace(err)
		}
		if len(missing) == 0 {
			_, err := r.install(revision, top)
			return err
		}
		if slices.Equal(missing, before) {
			return errNoProgress
		}
		before = missing
		if err := r.fetch(ctx, assembly, missing, from); err != nil {
			return err
		}
	}
}

func (r *Replica) fetch(ctx context.Context, assembly *hashtree.Assembly, missing []hashtree.Hash, from ident.VM) error {
	member, ok := r.member(from)
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
	r.metrics.pulled.Inc(int64(len(resp.Chunks)))
	for _, raw := range resp.Chunks {
		assembly.Add(raw)
	}
	return nil
}

func (r *Replica) member(vm ident.VM) (members.Member, bool) {
	for _, m := range r.opts.Members.Entries() {
		if m.VM == vm {
			return m, true
		}
	}
	return members.Member{}, false
}

// Pull fetches what an entry holds where its revision is higher. One pull runs
// at a time; another returns at once.
func (r *Replica) Pull(ctx context.Context, from members.Member) error {
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
	return r.accept(ctx, &rpc.PushRequest{Vm: string(from.VM), Head: resp.Head})
}

// Fetch implements rpc.Config.
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

// State implements rpc.Config.
func (r *Replica) State(_ context.Context, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	current := r.Current()
	self := r.opts.Members.Self()
	_, granted := current.Key(ident.KeyHash(req.KeyHash))
	resp := &rpc.StateResponse{
		Vm: string(self.VM), Incarnation: uint64(self.Incarnation), Head: headOf(current),
		InForceAgeMs: time.Since(r.InForceSince()).Milliseconds(), ConfirmedAgeMs: -1,
		Fresh: r.opts.Contact.Fresh(), KeyGranted: req.KeyHash != "" && granted,
	}
	if at := r.opts.Contact.ConfirmedAt(); !at.IsZero() {
		resp.ConfirmedAgeMs = time.Since(at).Milliseconds()
	}
	for _, d := range r.Degraded() {
		resp.Degraded = append(resp.Degraded, &rpc.Degradation{What: d.What, SinceMs: d.Since.UnixMilli()})
	}
	return resp, nil
}

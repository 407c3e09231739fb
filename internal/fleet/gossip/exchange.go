package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/freshness"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	// ExchangeInterval is the time between two exchanges that a process starts.
	ExchangeInterval = time.Second / 3
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// maxConcurrentExchanges bounds the started exchanges that wait for a
	// response.
	maxConcurrentExchanges = 4
	// pullTimeout bounds a pull of the configuration from one entry.
	pullTimeout = 30 * time.Second
	// maxConfirmationAge is the age of the last confirmation by the store above
	// which exchanges request the contact ages of all entries.
	maxConfirmationAge = 2 * time.Second
)

// Peers calls the other entries. Implementations are safe for concurrent use.
type Peers interface {
	// Exchange sends the facts of this process to an entry and returns the
	// facts of that entry.
	Exchange(ctx context.Context, with members.Member, req *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error)
}

// Members is the membership that exchanges read and update.
type Members interface {
	members.View
	// ListedVMs returns the names of the entries that are not in StateExpired, in
	// order.
	ListedVMs() []ident.VM
	// RecordResponse records that a member responded to a request sent at the
	// given time.
	RecordResponse(at time.Time, vm ident.VM, incarnation members.Incarnation, leaving bool)
	// RecordFailure records that a member did not respond to a request sent at
	// the given time.
	RecordFailure(at time.Time, vm ident.VM)
}

// Config is the configuration that exchanges compare and repair.
type Config interface {
	// Current returns the configuration in force.
	Current() *config.Snapshot
	// PullFrom fetches the configuration from an entry if the revision of that
	// entry is higher.
	PullFrom(ctx context.Context, from members.Member) error
}

// Options configures New.
type Options struct {
	Members   Members
	Config    Config
	Freshness *freshness.Tracker
	Notices   *Notices
	Peers     Peers
	Metrics   tally.Scope
}

// Service exchanges facts with other entries, one every ExchangeInterval.
type Service struct {
	opts      Options
	slots     *semaphore.Weighted
	started   tally.Counter // Exchanges that this process has started.
	failed    tally.Counter // Exchanges without a valid response.
	responded tally.Counter // Exchanges that other entries started and this process responded to.
	round     int
	running   sync.WaitGroup
}

// New returns a Service.
func New(opts Options) *Service {
	scope := opts.Metrics.SubScope("gossip")
	return &Service{
		opts: opts, slots: semaphore.NewWeighted(maxConcurrentExchanges),
		started: scope.Counter("exchanges"), failed: scope.Counter("exchanges_failed"),
		responded: scope.Counter("exchanges_answered"),
	}
}

// Serve starts exchanges until ctx ends. It implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	defer s.running.Wait()
	ticker := time.NewTicker(ExchangeInterval)
	defer ticker.Stop()
	for {
		s.startExchange(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// startExchange starts an exchange in the background. It skips the round if
// there is no partner or if maxConcurrentExchanges are running.
func (s *Service) startExchange(ctx context.Context) {
	s.round++
	partner, ok := s.partner()
	if !ok || !s.slots.TryAcquire(1) {
		return
	}
	s.running.Go(func() {
		defer s.slots.Release(1)
		s.exchange(ctx, partner)
	})
}

// partner returns the entry for the current round. While the confirmation by
// the store is recent, the parents in the distribution tree are preferred.
func (s *Service) partner() (members.Member, bool) {
	entries := s.opts.Members.Entries()
	var parents []members.Member
	if !s.isUnconfirmed(time.Now()) {
		parents = config.DistributionRoleOf(s.opts.Members.Self(), entries).Parents
	}
	return ChoosePartner(s.round, s.opts.Members.Self(), entries, parents, rand.IntN)
}

// isUnconfirmed reports whether the last confirmation by the store is older than
// maxConfirmationAge.
func (s *Service) isUnconfirmed(now time.Time) bool {
	return now.Sub(s.opts.Freshness.ConfirmedAt()) > maxConfirmationAge
}

// exchange sends this process's facts to one entry, applies the response, and
// pulls the configuration if the partner has a higher revision.
func (s *Service) exchange(ctx context.Context, partner members.Member) {
	sent := time.Now()
	s.started.Inc(1)
	exchangeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := s.opts.Peers.Exchange(exchangeCtx, partner, &rpc.ExchangeRequest{
		Sender: s.sender(), Notices: s.opts.Notices.nextNotices(sent), WantContacts: s.isUnconfirmed(sent),
	})
	if err != nil || resp.GetSender() == nil || ident.VM(resp.Sender.Vm) != partner.VM {
		if ctx.Err() == nil {
			s.failed.Inc(1)
			s.opts.Members.RecordFailure(sent, partner.VM)
		}
		return
	}
	s.applyResponse(sent, partner, resp)
	if s.hasNewerRevision(resp) {
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		_ = s.opts.Config.PullFrom(pullCtx, partner) // A later exchange retries.
	}
}

// applyResponse applies the response to a request that was sent at the given
// time. Ages in the response count from sent, so that a late response cannot
// make old facts look recent.
func (s *Service) applyResponse(sent time.Time, partner members.Member, resp *rpc.ExchangeResponse) {
	sender := resp.Sender
	s.opts.Members.RecordResponse(sent, partner.VM, members.Incarnation(sender.Incarnation), sender.Leaving)
	s.opts.Notices.merge(time.Now(), resp.Notices)
	listed := s.opts.Members.ListedVMs()
	s.opts.Freshness.Update(func(f *freshness.State) {
		f.RecordContact(sent, partner.VM)
		f.RecordRevision(sent, config.Revision(sender.Revision))
		if resp.KnownAgeMs >= 0 {
			f.RecordRevision(sent.Add(-fromMilliseconds(resp.KnownAgeMs)), config.Revision(resp.KnownRevision))
		}
		if resp.ConfirmedAgeMs >= 0 {
			f.RecordConfirmation(sent.Add(-fromMilliseconds(resp.ConfirmedAgeMs)), config.Revision(resp.ConfirmedRevision))
		}
		if resp.ListDigest == freshness.Digest(listed) {
			f.MergeContactAges(sent, listed, resp.Contacts)
		}
	})
}

// hasNewerRevision reports whether the sender of resp has a higher revision
// than this process.
func (s *Service) hasNewerRevision(resp *rpc.ExchangeResponse) bool {
	return config.Revision(resp.Sender.Revision) > s.opts.Config.Current().Revision()
}

// Exchange implements rpc.Gossip.
func (s *Service) Exchange(_ context.Context, req *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	received := time.Now()
	s.responded.Inc(1)
	s.opts.Notices.merge(received, req.Notices)
	resp := &rpc.ExchangeResponse{Sender: s.sender(), Notices: s.opts.Notices.nextNotices(received), ConfirmedAgeMs: -1}
	listed := s.opts.Members.ListedVMs()
	s.opts.Freshness.Update(func(f *freshness.State) {
		if r, at, ok := f.LastConfirmation(); ok {
			resp.ConfirmedRevision, resp.ConfirmedAgeMs = uint64(r), ageInMilliseconds(received, at)
		}
		r, at := f.HighestReported(received)
		resp.KnownRevision, resp.KnownAgeMs = uint64(r), ageInMilliseconds(received, at)
		if req.WantContacts {
			resp.ListDigest = freshness.Digest(listed)
			resp.Contacts = f.ContactAges(received, listed)
		}
	})
	return resp, nil
}

// sender returns the facts about this process itself.
func (s *Service) sender() *rpc.Sender {
	self := s.opts.Members.Self()
	current := s.opts.Config.Current()
	root := current.Root()
	return &rpc.Sender{
		Vm: string(self.VM), Incarnation: uint64(self.Incarnation), Leaving: self.State == members.StateLeaving,
		Revision: uint64(current.Revision()), Root: rootPrefix(root),
	}
}

// rootPrefixBytes is the length of the root hash prefix in a message.
const rootPrefixBytes = 4

func rootPrefix(h hashtree.Hash) []byte {
	return h[:rootPrefixBytes]
}

func fromMilliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// ageInMilliseconds returns the time from at to now, rounded up. It is 0 if at
// is after now.
func ageInMilliseconds(now, at time.Time) int64 {
	return int64((max(now.Sub(at), 0) + time.Millisecond - 1) / time.Millisecond)
}

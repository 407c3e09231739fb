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
	// Interval is the time between two exchanges that a process begins.
	Interval = time.Second / 3
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// maxExchanges bounds the exchanges that wait for an answer.
	maxExchanges = 4
	// pullTimeout bounds the repair of the configuration from one entry.
	pullTimeout = 30 * time.Second
	// unconfirmedAge is the age of the store's last confirmation from which
	// exchanges carry the contacts with all entries.
	unconfirmedAge = 2 * time.Second
)

// Peers calls the other entries. Implementations are safe for concurrent use.
type Peers interface {
	// Exchange tells an entry this process's facts and returns its own.
	Exchange(ctx context.Context, with members.Member, req *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error)
}

// Members is what an exchange tells about the members.
type Members interface {
	members.View
	// Listed returns the names of the entries that are not gone, in order.
	Listed() []ident.VM
	// Answered records that a member answered a question sent at the given time.
	Answered(at time.Time, vm ident.VM, incarnation members.Incarnation, leaving bool)
	// Failed records that a member did not answer a question sent then.
	Failed(at time.Time, vm ident.VM)
}

// Config is what an exchange needs of the configuration.
type Config interface {
	// Current returns the configuration in force.
	Current() *config.Snapshot
	// Pull fetches what an entry holds where its revision is higher.
	Pull(ctx context.Context, from members.Member) error
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

// Service exchanges facts with other entries, a few times a second.
type Service struct {
	opts     Options
	slots    *semaphore.Weighted
	begun    tally.Counter // Exchanges begun.
	failed   tally.Counter // Exchanges without an answer.
	answered tally.Counter // Exchanges of others that were answered.
	turn     int
	running  sync.WaitGroup
}

// New returns a Service.
func New(opts Options) *Service {
	scope := opts.Metrics.SubScope("gossip")
	return &Service{
		opts: opts, slots: semaphore.NewWeighted(maxExchanges),
		begun: scope.Counter("exchanges"), failed: scope.Counter("exchanges_failed"),
		answered: scope.Counter("exchanges_answered"),
	}
}

// Serve begins exchanges until ctx ends. It implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	defer s.running.Wait()
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		s.begin(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Service) begin(ctx context.Context) {
	s.turn++
	partner, ok := s.partner()
	if !ok || !s.slots.TryAcquire(1) {
		return
	}
	s.running.Go(func() {
		defer s.slots.Release(1)
		s.exchange(ctx, partner)
	})
}

func (s *Service) partner() (members.Member, bool) {
	entries := s.opts.Members.Entries()
	var parents []members.Member
	if !s.unconfirmed(time.Now()) {
		parents = config.RoleOf(s.opts.Members.Self(), entries).Parents
	}
	return ChoosePartner(s.turn, s.opts.Members.Self(), entries, parents, rand.IntN)
}

func (s *Service) unconfirmed(now time.Time) bool {
	return now.Sub(s.opts.Freshness.ConfirmedAt()) > unconfirmedAge
}

// exchange asks one entry and takes what it answers. All ages in the answer
// count from when the question was sent.
func (s *Service) exchange(ctx context.Context, partner members.Member) {
	sent := time.Now()
	s.begun.Inc(1)
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := s.opts.Peers.Exchange(limited, partner, &rpc.ExchangeRequest{
		Sender: s.sender(), Notices: s.opts.Notices.share(sent), WantContacts: s.unconfirmed(sent),
	})
	if err != nil || resp.GetSender() == nil || ident.VM(resp.Sender.Vm) != partner.VM {
		if ctx.Err() == nil {
			s.failed.Inc(1)
			s.opts.Members.Failed(sent, partner.VM)
		}
		return
	}
	s.take(sent, partner, resp)
	if s.behind(resp) {
		pull, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		_ = s.opts.Config.Pull(pull, partner) // A later exchange tries again.
	}
}

func (s *Service) take(sent time.Time, partner members.Member, resp *rpc.ExchangeResponse) {
	sender := resp.Sender
	s.opts.Members.Answered(sent, partner.VM, members.Incarnation(sender.Incarnation), sender.Leaving)
	s.opts.Notices.merge(time.Now(), resp.Notices)
	listed := s.opts.Members.Listed()
	s.opts.Freshness.Update(func(f *freshness.State) {
		f.Contact(sent, partner.VM)
		f.Known(sent, config.Revision(sender.Revision))
		if resp.KnownAgeMs >= 0 {
			f.Known(sent.Add(-milliseconds(resp.KnownAgeMs)), config.Revision(resp.KnownRevision))
		}
		if resp.ConfirmedAgeMs >= 0 {
			f.Confirm(sent.Add(-milliseconds(resp.ConfirmedAgeMs)), config.Revision(resp.ConfirmedRevision))
		}
		if resp.ListDigest == freshness.Digest(listed) {
			f.Merge(sent, listed, resp.Contacts)
		}
	})
}

func (s *Service) behind(resp *rpc.ExchangeResponse) bool {
	return config.Revision(resp.Sender.Revision) > s.opts.Config.Current().Revision()
}

// Exchange implements rpc.Gossip.
func (s *Service) Exchange(_ context.Context, req *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	received := time.Now()
	s.answered.Inc(1)
	s.opts.Notices.merge(received, req.Notices)
	resp := &rpc.ExchangeResponse{Sender: s.sender(), Notices: s.opts.Notices.share(received), ConfirmedAgeMs: -1}
	listed := s.opts.Members.Listed()
	s.opts.Freshness.Update(func(f *freshness.State) {
		if r, at, ok := f.Confirmation(); ok {
			resp.ConfirmedRevision, resp.ConfirmedAgeMs = uint64(r), ageMilliseconds(received, at)
		}
		r, at := f.Stated(received)
		resp.KnownRevision, resp.KnownAgeMs = uint64(r), ageMilliseconds(received, at)
		if req.WantContacts {
			resp.ListDigest = freshness.Digest(listed)
			resp.Contacts = f.Ages(received, listed)
		}
	})
	return resp, nil
}

func (s *Service) sender() *rpc.Sender {
	self := s.opts.Members.Self()
	current := s.opts.Config.Current()
	root := current.Root()
	return &rpc.Sender{
		Vm: string(self.VM), Incarnation: uint64(self.Incarnation), Leaving: self.State == members.StateLeaving,
		Revision: uint64(current.Revision()), Root: rootPrefix(root),
	}
}

const rootPrefixBytes = 4

func rootPrefix(h hashtree.Hash) []byte {
	return h[:rootPrefixBytes]
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// ageMilliseconds returns an age, rounded up.
func ageMilliseconds(now, at time.Time) int64 {
	return int64((max(now.Sub(at), 0) + time.Millisecond - 1) / time.Millisecond)
}

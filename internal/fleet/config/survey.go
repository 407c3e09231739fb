package config

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/pause"
)

const (
	surveyCalls   = 32                     // Calls at once.
	surveyTimeout = 1 * time.Second        // For each entry.
	surveyDelay   = 200 * time.Millisecond // Between two rounds of WaitWithdrawn.
)

// EntryState is what is in force at one entry.
type EntryState struct {
	VM            ident.VM            `json:"vm"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Region        ident.Region        `json:"region"`
	Answered      bool                `json:"answered"` // Whether it said so itself just now; the rest is zero otherwise.
	Revision      Revision            `json:"revision"`
	Root          hashtree.Hash       `json:"-"`
	InForceAge    time.Duration       `json:"in_force_age_ns"`  // Since the revision came in force.
	ConfirmedAge  time.Duration       `json:"confirmed_age_ns"` // Since the store confirmed it; negative where never.
	Fresh         bool                `json:"fresh"`            // Whether the entry trusts its keys.
	KeyGranted    bool                `json:"-"`
	Degraded      []Degradation       `json:"degraded,omitempty"`
}

// Survey asks all entries what is in force there.
type Survey struct {
	members members.View
	peers   Peers
	self    *Replica
}

// NewSurvey returns a Survey by the process of self.
func NewSurvey(view members.View, peers Peers, self *Replica) *Survey {
	return &Survey{members: view, peers: peers, self: self}
}

// States asks every entry that is not gone, and returns what each said, in the
// order of names. Where key is given, it also asks whether the key is granted.
func (s *Survey) States(ctx context.Context, key ident.KeyHash) []EntryState {
	return s.ask(ctx, s.listed(), key)
}

func (s *Survey) listed() []members.Member {
	var out []members.Member
	for _, m := range s.members.Entries() {
		if m.State != members.StateGone {
			out = append(out, m)
		}
	}
	return out
}

func (s *Survey) ask(ctx context.Context, entries []members.Member, key ident.KeyHash) []EntryState {
	out := make([]EntryState, len(entries))
	var group errgroup.Group
	group.SetLimit(surveyCalls)
	for i, m := range entries {
		group.Go(func() error {
			out[i] = s.askOne(ctx, m, key)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

func (s *Survey) askOne(ctx context.Context, m members.Member, key ident.KeyHash) EntryState {
	state := EntryState{VM: m.VM, FailureDomain: m.FailureDomain, Region: m.Region}
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	req := &rpc.StateRequest{KeyHash: string(key)}
	var resp *rpc.StateResponse
	var err error
	if m.VM == s.members.Self().VM {
		resp, err = s.self.State(ctx, req)
	} else {
		resp, err = s.peers.State(ctx, m, req)
	}
	if err != nil || ident.VM(resp.Vm) != m.VM {
		return state
	}
	fill(&state, resp)
	return state
}

func fill(state *EntryState, resp *rpc.StateResponse) {
	state.Answered = true
	state.Revision = Revision(resp.GetHead().GetRevision())
	state.Root, _ = hashtree.ParseHash(resp.GetHead().GetRoot())
	state.InForceAge = time.Duration(resp.InForceAgeMs) * time.Millisecond
	state.ConfirmedAge = time.Duration(resp.ConfirmedAgeMs) * time.Millisecond
	state.Fresh = resp.Fresh
	state.KeyGranted = resp.KeyGranted
	for _, d := range resp.Degraded {
		state.Degraded = append(state.Degraded, Degradation{d.What, time.UnixMilli(d.SinceMs)})
	}
}

// Withdrawal says where a withdrawn key is no longer granted.
type Withdrawal struct {
	Revision Revision   `json:"revision"`           // At which the store holds the withdrawal.
	InForce  bool       `json:"in_force"`           // Whether a majority of the entries have said so.
	Entries  int        `json:"entries"`            // Listed entries.
	Said     int        `json:"said"`               // Entries that have said so.
	Missing  []ident.VM `json:"missing,omitempty"`  // Entries that have not said so.
	Granting []ident.VM `json:"granting,omitempty"` // Of these, those that still grant the key.
}

// WaitWithdrawn asks the entries until all have said that they hold the
// revision and grant the key no more, or until limit has passed.
func (s *Survey) WaitWithdrawn(ctx context.Context, key ident.KeyHash, at Revision, limit time.Duration) Withdrawal {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	entries := s.listed()
	said := make(map[ident.VM]bool, len(entries))
	granting := make(map[ident.VM]bool)
	for {
		s.round(ctx, entries, key, at, said, granting)
		if len(said) == len(entries) || ctx.Err() != nil {
			return withdrawal(at, entries, said, granting)
		}
		_ = pause.For(ctx, surveyDelay)
	}
}

func (s *Survey) round(
	ctx context.Context, entries []members.Member, key ident.KeyHash, at Revision, said, granting map[ident.VM]bool,
) {
	var open []members.Member
	for _, m := range entries {
		if !said[m.VM] {
			open = append(open, m)
		}
	}
	for _, state := range s.ask(ctx, open, key) {
		if state.Answered {
			granting[state.VM] = state.KeyGranted
		}
		if state.Answered && state.Revision >= at && !state.KeyGranted {
			said[state.VM] = true
		}
	}
}

func withdrawal(at Revision, entries []members.Member, said, granting map[ident.VM]bool) Withdrawal {
	w := Withdrawal{Revision: at, Entries: len(entries), Said: len(said), InForce: 2*len(said) > len(entries)}
	for _, m := range entries {
		if said[m.VM] {
			continue
		}
		w.Missing = append(w.Missing, m.VM)
		if granting[m.VM] {
			w.Granting = append(w.Granting, m.VM)
		}
	}
	return w
}

package config

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	maxSurveyCalls = 32                     // Concurrent calls.
	surveyTimeout  = 1 * time.Second        // For the call to one entry.
	surveyDelay    = 200 * time.Millisecond // Between two rounds of WaitWithdrawn.
)

// EntryState is the configuration state of one entry.
type EntryState struct {
	VM            ident.VM            `json:"vm"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Region        ident.Region        `json:"region"`
	Responded     bool                `json:"answered"` // Whether the entry responded; the fields below are zero otherwise.
	Revision      Revision            `json:"revision"`
	Root          hashtree.Hash       `json:"-"`                // Root hash of the configuration tree.
	InForceAge    time.Duration       `json:"in_force_age_ns"`  // Time since the revision came into force.
	ConfirmedAge  time.Duration       `json:"confirmed_age_ns"` // Time since the store confirmed the revision; negative if it never did.
	Fresh         bool                `json:"fresh"`            // Whether the entry trusts its granted keys.
	KeyGranted    bool                `json:"-"`                // Whether the key of the query is granted.
	Degraded      []Degradation       `json:"degraded,omitempty"`
}

// Survey queries the configuration state of all entries.
type Survey struct {
	members members.View
	peers   Peers
	self    *Replica
}

// NewSurvey returns a Survey that queries the other entries through peers and
// this process's entry through self.
func NewSurvey(view members.View, peers Peers, self *Replica) *Survey {
	return &Survey{members: view, peers: peers, self: self}
}

// QueryStates queries every entry that is not in members.StateExpired. It returns one
// state for each of them, in the order of the members view. If key is not empty,
// KeyGranted reports whether that key is granted.
func (s *Survey) QueryStates(ctx context.Context, key ident.KeyHash) []EntryState {
	return s.query(ctx, s.listedEntries(), key)
}

// listedEntries returns the entries that are not in members.StateExpired.
func (s *Survey) listedEntries() []members.Member {
	var out []members.Member
	for _, m := range s.members.Entries() {
		if m.State != members.StateExpired {
			out = append(out, m)
		}
	}
	return out
}

// query returns the states of the given entries, in the same order.
func (s *Survey) query(ctx context.Context, entries []members.Member, key ident.KeyHash) []EntryState {
	out := make([]EntryState, len(entries))
	var group errgroup.Group
	group.SetLimit(maxSurveyCalls)
	for i, m := range entries {
		group.Go(func() error {
			out[i] = s.queryEntry(ctx, m, key)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// queryEntry returns the state of one entry. Responded is false if the call fails or
// if another VM responds.
func (s *Survey) queryEntry(ctx context.Context, m members.Member, key ident.KeyHash) EntryState {
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
	setResponse(&state, resp)
	return state
}

// setResponse fills a state from the response of the entry.
func setResponse(state *EntryState, resp *rpc.StateResponse) {
	state.Responded = true
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

// Withdrawal is the progress of the withdrawal of a key across the entries. An
// entry confirms the withdrawal when it has Revision or a higher one in force and
// does not grant the key.
type Withdrawal struct {
	Revision    Revision   `json:"revision"`           // Revision that withdraws the key.
	InForce     bool       `json:"in_force"`           // Whether a majority of the entries have confirmed.
	Entries     int        `json:"entries"`            // Number of entries.
	Confirmed   int        `json:"said"`               // Number of entries that have confirmed.
	Unconfirmed []ident.VM `json:"missing,omitempty"`  // Entries that have not confirmed.
	Granting    []ident.VM `json:"granting,omitempty"` // Entries in Unconfirmed that still granted the key in their last response.
}

// WaitWithdrawn queries the entries until all have confirmed the withdrawal of a
// key, or until timeout has passed. The argument revision is the one that
// withdraws the key.
func (s *Survey) WaitWithdrawn(ctx context.Context, key ident.KeyHash, revision Revision, timeout time.Duration) Withdrawal {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entries := s.listedEntries()
	confirmed := make(map[ident.VM]bool, len(entries))
	granting := make(map[ident.VM]bool)
	for {
		s.queryPending(ctx, entries, key, revision, confirmed, granting)
		if len(confirmed) == len(entries) || ctx.Err() != nil {
			return newWithdrawal(revision, entries, confirmed, granting)
		}
		_ = sleep.For(ctx, surveyDelay)
	}
}

// queryPending queries the entries that have not confirmed the withdrawal, and
// updates confirmed and granting.
func (s *Survey) queryPending(
	ctx context.Context, entries []members.Member, key ident.KeyHash, revision Revision, confirmed, granting map[ident.VM]bool,
) {
	var pending []members.Member
	for _, m := range entries {
		if !confirmed[m.VM] {
			pending = append(pending, m)
		}
	}
	for _, state := range s.query(ctx, pending, key) {
		if state.Responded {
			granting[state.VM] = state.KeyGranted
		}
		if state.Responded && state.Revision >= revision && !state.KeyGranted {
			confirmed[state.VM] = true
		}
	}
}

// newWithdrawal returns the progress of a withdrawal.
func newWithdrawal(revision Revision, entries []members.Member, confirmed, granting map[ident.VM]bool) Withdrawal {
	w := Withdrawal{Revision: revision, Entries: len(entries), Confirmed: len(confirmed), InForce: 2*len(confirmed) > len(entries)}
	for _, m := range entries {
		if confirmed[m.VM] {
			continue
		}
		w.Unconfirmed = append(w.Unconfirmed, m.VM)
		if granting[m.VM] {
			w.Granting = append(w.Granting, m.VM)
		}
	}
	return w
}

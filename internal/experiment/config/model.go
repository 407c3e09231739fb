package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/freshness"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/gossip"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	step          = 20 * time.Millisecond
	watchInterval = 500 * time.Millisecond
	domains       = 4
	// confirmedAge is the age from which entries exchange contacts, and ask
	// others at random instead of their parents.
	confirmedAge = 2 * time.Second
)

// entry is one entry of the model with the state that the rule decides on.
type entry struct {
	member    members.Member
	state     *freshness.State
	revision  config.Revision
	watches   bool
	parents   []members.Member
	side      int  // Entries reach those of their own side.
	store     bool // Whether the store answers it.
	turn      int
	exchange  time.Duration // Until the next exchange.
	watch     time.Duration // Until the next answer of the store.
	lastStore time.Time     // When the store answered it last.
}

// model is a fleet whose exchanges and store calls happen in steps.
type model struct {
	random  *rand.Rand
	now     time.Time
	head    config.Revision
	entries []*entry
	byVM    map[ident.VM]*entry
	members []members.Member
	listed  []ident.VM
}

func newModel(n int, seed uint64) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), head: 1, byVM: make(map[ident.VM]*entry),
	}
	for i := range n {
		member := members.Member{
			VM:            ident.VM(fmt.Sprintf("entry-%03d", i)),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		}
		m.members = append(m.members, member)
		m.listed = append(m.listed, member.VM)
	}
	for _, member := range m.members {
		role := config.DistributionRoleOf(member, m.members)
		e := &entry{
			member: member, state: freshness.NewState(member.VM), store: true,
			watches: role.WatchesStore, parents: role.Parents, turn: m.random.IntN(3),
			exchange: m.upTo(gossip.ExchangeInterval), watch: m.upTo(watchInterval),
		}
		m.entries = append(m.entries, e)
		m.byVM[member.VM] = e
	}
	return m
}

func (m *model) upTo(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

// run lets the fleet run, and calls each after every step.
func (m *model) run(d time.Duration, each func()) {
	for range int(d / step) {
		m.now = m.now.Add(step)
		for _, e := range m.entries {
			m.stepOf(e)
		}
		each()
	}
}

func (m *model) stepOf(e *entry) {
	e.watch -= step
	if e.watch <= 0 && e.store && (e.watches || m.cutOff(e)) {
		e.watch += watchInterval
		e.lastStore = m.now
		// The call was sent when the former one was answered.
		e.state.RecordConfirmation(m.now.Add(-watchInterval), m.head)
		m.install(e, m.head)
	}
	e.watch = max(e.watch, 0)
	e.exchange -= step
	if e.exchange <= 0 {
		e.exchange += gossip.ExchangeInterval
		m.ask(e)
	}
}

// cutOff reports whether an entry that does not watch asks the store itself.
func (m *model) cutOff(e *entry) bool {
	return m.unconfirmed(e) && !m.majority(e)
}

func (m *model) majority(e *entry) bool {
	v := e.state.Evaluate(m.now, m.listed)
	return 2*v.RecentContacts > v.ListedEntries
}

func (m *model) unconfirmed(e *entry) bool {
	return m.now.Sub(e.state.Evaluate(m.now, nil).ConfirmedAt) > confirmedAge
}

func (m *model) install(e *entry, r config.Revision) {
	e.revision = max(e.revision, r)
	e.state.Install(r)
}

// ask makes one exchange, as gossip.Service does.
func (m *model) ask(e *entry) {
	e.turn++
	unconfirmed := m.unconfirmed(e)
	var parents []members.Member
	if !unconfirmed {
		parents = e.parents
	}
	partner, ok := gossip.ChoosePartner(e.turn, e.member, m.members, parents, m.random.IntN)
	other := m.byVM[partner.VM]
	if !ok || other.side != e.side {
		return
	}
	e.state.RecordContact(m.now, partner.VM)
	e.state.RecordRevision(m.now, other.revision)
	r, at := other.state.HighestReported(m.now)
	e.state.RecordRevision(at, r)
	if r, at, ok := other.state.LastConfirmation(); ok {
		e.state.RecordConfirmation(at, r)
	}
	if unconfirmed {
		e.state.MergeContactAges(m.now, m.listed, other.state.ContactAges(m.now, m.listed))
	}
	m.install(e, other.revision)
}

// push stands for the fan-out: a revision that a watcher has reaches the
// entries of its side at once.
func (m *model) push() {
	highest := make(map[int]config.Revision)
	for _, e := range m.entries {
		highest[e.side] = max(highest[e.side], e.revision)
	}
	for _, e := range m.entries {
		m.install(e, highest[e.side])
	}
}

// trusts says whether an entry takes requests, by the rule and by each of the
// baselines.
type trusts struct{ rule, always, storeOnly bool }

func (m *model) trusts(e *entry) trusts {
	return trusts{
		rule:      e.state.Evaluate(m.now, m.listed).Fresh,
		always:    true,
		storeOnly: m.now.Sub(e.lastStore) <= freshness.ConfirmationValidity,
	}
}

// ages returns the sorted ages of the last usable confirmation.
func (m *model) ages() []time.Duration {
	var out []time.Duration
	for _, e := range m.entries {
		out = append(out, m.now.Sub(e.state.Evaluate(m.now, nil).ConfirmedAt))
	}
	slices.Sort(out)
	return out
}

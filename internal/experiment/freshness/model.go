package freshness

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
	stepDuration      = 20 * time.Millisecond
	storeCallInterval = 500 * time.Millisecond
	failureDomains    = 4
	// maxConfirmationAge is the age of the last confirmation beyond which an entry
	// exchanges contacts, with random entries instead of its parents.
	maxConfirmationAge = 2 * time.Second
)

// entry is an entry with the state that the freshness rule decides on.
type entry struct {
	member            members.Member
	state             *freshness.State
	revision          config.Revision // In force at the entry.
	watchesStore      bool
	parents           []members.Member
	partition         int // Entries reach each other only within a partition.
	storeReachable    bool
	exchangeNumber    int
	untilExchange     time.Duration // Time until the next exchange.
	untilStoreCall    time.Duration // Time until the next response of the store.
	lastStoreResponse time.Time
}

// model is a fleet whose exchanges and store calls happen in discrete steps.
type model struct {
	rng           *rand.Rand
	now           time.Time
	storeRevision config.Revision // Highest revision in the store.
	entries       []*entry
	byVM          map[ident.VM]*entry
	members       []members.Member
	listedVMs     []ident.VM
}

// newModel returns a fleet of n entries without faults. All entries are on the VM list.
func newModel(n int, seed uint64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), storeRevision: 1, byVM: make(map[ident.VM]*entry),
	}
	for i := range n {
		member := members.Member{
			VM:            ident.VM(fmt.Sprintf("entry-%03d", i)),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", i%failureDomains)),
		}
		m.members = append(m.members, member)
		m.listedVMs = append(m.listedVMs, member.VM)
	}
	for _, member := range m.members {
		role := config.DistributionRoleOf(member, m.members)
		e := &entry{
			member: member, state: freshness.NewState(member.VM), storeReachable: true,
			watchesStore: role.WatchesStore, parents: role.Parents, exchangeNumber: m.rng.IntN(3),
			untilExchange: m.randomDuration(gossip.ExchangeInterval), untilStoreCall: m.randomDuration(storeCallInterval),
		}
		m.entries = append(m.entries, e)
		m.byVM[member.VM] = e
	}
	return m
}

// randomDuration returns a random duration below d.
func (m *model) randomDuration(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// run simulates the fleet for a duration and calls afterStep after every step.
func (m *model) run(d time.Duration, afterStep func()) {
	for range int(d / stepDuration) {
		m.now = m.now.Add(stepDuration)
		for _, e := range m.entries {
			m.stepEntry(e)
		}
		afterStep()
	}
}

// stepEntry simulates one step of an entry: a store call and an exchange, if due.
func (m *model) stepEntry(e *entry) {
	e.untilStoreCall -= stepDuration
	if e.untilStoreCall <= 0 && e.storeReachable && (e.watchesStore || m.callsStore(e)) {
		e.untilStoreCall += storeCallInterval
		e.lastStoreResponse = m.now
		// The call started when the previous one returned. The confirmation holds from
		// that time.
		e.state.RecordConfirmation(m.now.Add(-storeCallInterval), m.storeRevision)
		m.install(e, m.storeRevision)
	}
	e.untilStoreCall = max(e.untilStoreCall, 0)
	e.untilExchange -= stepDuration
	if e.untilExchange <= 0 {
		e.untilExchange += gossip.ExchangeInterval
		m.exchange(e)
	}
}

// callsStore reports whether an entry that does not watch the store calls it, because
// its last confirmation is too old and it has no contact with a majority.
func (m *model) callsStore(e *entry) bool {
	return m.unconfirmed(e) && !m.hasMajority(e)
}

// hasMajority reports whether the entry has recent contact with a majority of the
// listed entries, itself included.
func (m *model) hasMajority(e *entry) bool {
	verdict := e.state.Evaluate(m.now, m.listedVMs)
	return 2*verdict.RecentContacts > verdict.ListedEntries
}

// unconfirmed reports whether the last confirmation of the entry's revision is older
// than maxConfirmationAge.
func (m *model) unconfirmed(e *entry) bool {
	return m.now.Sub(e.state.Evaluate(m.now, nil).ConfirmedAt) > maxConfirmationAge
}

// install installs a revision at an entry, unless the entry has a higher one.
func (m *model) install(e *entry, r config.Revision) {
	e.revision = max(e.revision, r)
	e.state.Install(r)
}

// exchange performs one exchange of an entry, as gossip.Service does.
func (m *model) exchange(e *entry) {
	e.exchangeNumber++
	unconfirmed := m.unconfirmed(e)
	var parents []members.Member
	if !unconfirmed {
		parents = e.parents
	}
	partner, ok := gossip.ChoosePartner(e.exchangeNumber, e.member, m.members, parents, m.rng.IntN)
	other := m.byVM[partner.VM]
	if !ok || other.partition != e.partition {
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
		e.state.MergeContactAges(m.now, m.listedVMs, other.state.ContactAges(m.now, m.listedVMs))
	}
	m.install(e, other.revision)
}

// propagate models the fan-out of the configuration: the highest revision of each
// partition reaches all its entries at once.
func (m *model) propagate() {
	highest := make(map[int]config.Revision)
	for _, e := range m.entries {
		highest[e.partition] = max(highest[e.partition], e.revision)
	}
	for _, e := range m.entries {
		m.install(e, highest[e.partition])
	}
}

// trustVerdicts are the decisions whether an entry trusts its keys, by the freshness
// rule and by each baseline.
type trustVerdicts struct{ rule, always, storeOnly bool }

func (m *model) trustVerdicts(e *entry) trustVerdicts {
	return trustVerdicts{
		rule:      e.state.Evaluate(m.now, m.listedVMs).Fresh,
		always:    true,
		storeOnly: m.now.Sub(e.lastStoreResponse) <= freshness.ConfirmationValidity,
	}
}

// confirmationAges returns the sorted ages of the last usable confirmations of all
// entries.
func (m *model) confirmationAges() []time.Duration {
	var ages []time.Duration
	for _, e := range m.entries {
		ages = append(ages, m.now.Sub(e.state.Evaluate(m.now, nil).ConfirmedAt))
	}
	slices.Sort(ages)
	return ages
}

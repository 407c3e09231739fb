package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/inflight"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/operatorapi"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/freshness"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/gossip"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// fleetServices holds the services through which the entries of a fleet share
// membership, configuration, key freshness and notices.
type fleetServices struct {
	members   *members.Service
	freshness *freshness.Tracker
	replica   *config.Replica
	collector *config.Collector
	notices   *gossip.Notices
	gossip    *gossip.Service
	survey    *config.Survey
}

// newFleetServices creates the services. addServices adds them to the
// supervisor.
func (e *Entry) newFleetServices(client *transport.Client) fleetServices {
	s := e.opts.Settings
	self := members.Member{
		VM: s.VM, Address: e.opts.FleetListener.Addr().String(), FailureDomain: s.FailureDomain, Region: s.Region,
		Incarnation: members.NewIncarnation(time.Now()),
	}
	f := fleetServices{}
	f.members = members.NewService(members.ServiceOptions{
		Self: self, Directory: e.directory, ListLag: s.VMListLag, Timeline: e.ring,
	})
	f.freshness = freshness.NewTracker(freshness.Options{
		Self: s.VM, ListedVMs: f.members.ListedVMs, OnStale: e.cancelAll, Log: e.opts.Log, Metrics: e.metrics.Scope,
	})
	peers := config.NewPeers(client)
	f.replica = config.NewReplica(config.ReplicaOptions{
		Store: e.opts.Store, Members: f.members, Peers: peers, Confirmations: f.freshness,
		Log: e.opts.Log, Timeline: e.ring, Metrics: e.metrics.Scope,
	})
	f.replica.OnRevision(func(s *config.Snapshot) {
		f.freshness.Update(func(state *freshness.State) { state.Install(s.Revision()) })
	})
	f.collector = config.NewCollector(config.CollectorOptions{
		Store: e.opts.Store, Members: f.members, Log: e.opts.Log, Metrics: e.metrics.Scope,
	})
	f.notices = gossip.NewNotices()
	f.gossip = gossip.New(gossip.Options{
		Members: f.members, Config: f.replica, Freshness: f.freshness, Notices: f.notices,
		Peers: gossip.NewPeers(client), Metrics: e.metrics.Scope,
	})
	f.survey = config.NewSurvey(f.members, peers, f.replica)
	return f
}

// fleetHandler returns the handler of calls from other processes of the fleet.
func (e *Entry) fleetHandler() http.Handler {
	router := chi.NewRouter()
	router.Mount(rpc.ConfigPathPrefix, config.NewServer(e.fleet.replica))
	router.Mount(rpc.GossipPathPrefix, gossip.NewHandler(e.fleet.gossip))
	router.Mount(shares.PathPrefix, e.holder.Handler())
	router.Mount(timeline.PathPrefix, timeline.NewHandler(e.ring))
	return router
}

func (e *Entry) newEditor() *config.Editor {
	return config.NewFleetEditor(config.EditorOptions{
		Store:           e.opts.Store,
		Current:         e.fleet.replica.Current,
		HighestRevision: e.fleet.freshness.Highest,
		Catalog:         e.catalog,
	})
}

// catalog returns the base models and services on the VM list, sorted and
// without duplicates.
func (e *Entry) catalog() config.Catalog {
	var c config.Catalog
	for _, vm := range e.directory.View().VMs {
		switch vm.Role {
		case vmlist.RoleEngine:
			c.Bases = append(c.Bases, string(vm.Base))
		case vmlist.RolePlain:
			c.Services = append(c.Services, string(vm.Service))
		}
	}
	slices.Sort(c.Bases)
	slices.Sort(c.Services)
	c.Bases = slices.Compact(c.Bases)
	c.Services = slices.Compact(c.Services)
	return c
}

func (e *Entry) statusProviders() operatorapi.Providers {
	return operatorapi.Providers{
		Freshness: func() (bool, string) {
			v := e.fleet.freshness.Verdict()
			return v.Fresh, string(v.Reason)
		},
		Members:  e.memberStates,
		Shares:   e.shareStates,
		Degraded: []func() []config.Degradation{e.fleet.replica.Degradations, e.degradations, e.limitDegradations},
	}
}

// degradations returns the degradations of the VM list and of key freshness.
func (e *Entry) degradations() []config.Degradation {
	var out []config.Degradation
	if since, lost := e.directory.UnreachableSince(); lost {
		out = append(out, config.Degradation{Condition: "VM list lost", Since: since})
	}
	if since, stale := e.fleet.freshness.StaleSince(); stale {
		out = append(out, config.Degradation{Condition: "keys cannot be trusted, callers are refused", Since: since})
	}
	return out
}

func (e *Entry) memberStates() []operatorapi.MemberState {
	var out []operatorapi.MemberState
	for _, m := range e.fleet.members.Entries() {
		out = append(out, operatorapi.MemberState{VM: m.VM, State: m.State.String(), Incarnation: uint64(m.Incarnation)})
	}
	return out
}

// cancelAll cancels all running requests. It is called when the entry's keys
// become stale, because the entry then cannot decide which keys are still granted.
func (e *Entry) cancelAll() {
	e.running.Cancel(inflight.ErrKeysStale, func(ident.KeyHash) bool { return false })
}

package catalog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/evacuation"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/streamorigin"
)

// reregistrationGrace is how long after a store outage an endpoint with a missing registration stays
// in use. If the registration expired in the outage, a running endpoint registers again within
// about 2 s. If the endpoint left, it must be out of use 3 s after the outage.
const reregistrationGrace = 2600 * time.Millisecond

// removedRetention is how long a removed registration is kept to recognise it in a restored
// store. A backup is seconds old.
const removedRetention = time.Minute

// rewriteGrace is how long after a restore of the store an evacuation whose key is missing stays in force. The
// operator's items are written again within that time.
const rewriteGrace = 2600 * time.Millisecond

// View is an immutable snapshot of the deployment.
type View struct {
	Config    *Config                     // Nil before the first configuration.
	Endpoints map[string][]*Endpoint      // By service.
	Versions  map[AdapterKey]Announcement // Latest announced version of each adapter.
	Synced    bool                        // The registry has been listed at least once.
	// OperatorSynced is set once the operator's items have been listed.
	OperatorSynced bool
	Evacuations    *evacuation.State
}

// Announcement is the announcement of an adapter version.
type Announcement struct {
	Version int64
	Since   time.Time // The version was announced after this time; zero if that is not known.
	ReadAt  time.Time // When this process read it.
	// Earlier are the announcements of versions before, the latest maxEarlierVersions of them, oldest first. Each version is in
	// force from its own announcement on.
	Earlier []Announcement
}

// maxEarlierVersions bounds the announcements that are kept of one adapter. Versions that come in quicker succession
// than this within the time for which a former one may serve are rare.
const maxEarlierVersions = 8

// FirstAfter returns the first announcement of a version after the given one. ok is false if there is none.
func (a Announcement) FirstAfter(version int64) (first Announcement, ok bool) {
	for _, e := range a.Earlier {
		if e.Version > version {
			return e, true
		}
	}
	return a, a.Version > version
}

// FindEndpoint returns a service's endpoint by its ID, or nil.
func (v *View) FindEndpoint(service string, id EndpointID) *Endpoint {
	for _, e := range v.Endpoints[service] {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// State builds Views from changes. It is safe for concurrent use. A View is built on demand,
// so that a listing of many items builds only one.
type State struct {
	mu         sync.Mutex
	config     *Config
	endpoints  map[EndpointID]*Endpoint
	latest     map[EndpointID]*Endpoint // Last registration of each endpoint, with its heartbeat.
	removed    map[EndpointID]time.Time // Time of removal of the registrations in latest only.
	expiring   map[EndpointID]time.Time // Time of removal of registrations that expired in an outage.
	versions   map[AdapterKey]Announcement
	synced     bool
	services   map[string]soleService           // Of each route that has only one, by the route's name.
	listedAt   time.Time                        // First listing of the registry; zero before it.
	software   map[string]*streamorigin.History // Software versions in service, by service.
	now        func() time.Time                 // Replaced in tests.
	graceUntil time.Time                        // Removals before this time are postponed to it.
	operator   bool                             // The operator's items have been listed.
	evacuated  *evacuation.State
	ending     map[string]time.Time // End of the evacuations whose keys a restored store lacks.
	view       atomic.Pointer[View] // Nil after a change.
	changed    chan struct{}
}

// NewState returns an empty State.
func NewState() *State {
	return &State{
		endpoints: make(map[EndpointID]*Endpoint),
		latest:    make(map[EndpointID]*Endpoint),
		removed:   make(map[EndpointID]time.Time),
		ending:    make(map[string]time.Time),
		expiring:  make(map[EndpointID]time.Time),
		versions:  make(map[AdapterKey]Announcement),
		changed:   make(chan struct{}, 1),
		services:  make(map[string]soleService),
		software:  make(map[string]*streamorigin.History),
		now:       time.Now,
	}
}

// Changed returns a channel that receives one value after one or more changes. It supports one
// reader.
func (s *State) Changed() <-chan struct{} { return s.changed }

// View returns the current View.
func (s *State) View() *View {
	if v := s.view.Load(); v != nil {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.buildView()
	s.view.Store(v)
	return v
}

// SetConfig sets the configuration if it is newer than the current one, and reports whether it
// was.
func (s *State) SetConfig(c *Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config != nil && c.Version <= s.config.Version {
		return false
	}
	s.recordSoleServices(c)
	s.config = c
	s.invalidate()
	return true
}

// soleService is the only service of a route.
type soleService struct {
	name  string
	since time.Time
}

// recordSoleServices records since when each route has only one service. The caller holds s.mu.
func (s *State) recordSoleServices(c *Config) {
	now, services := s.now(), make(map[string]soleService)
	for r := range c.allRoutes() {
		sole := soleService{r.Splits[0].Service, now}
		if known := s.services[r.Name]; known.name == sole.name {
			sole = known
		}
		if !slices.ContainsFunc(r.Splits, func(split Split) bool { return split.Service != sole.name }) {
			services[r.Name] = sole
		}
	}
	s.services = services
}

// SoleService returns the service that was the only one of a route since a time, or "" if there is none.
func (s *State) SoleService(route string, since time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sole := s.services[route]; !sole.since.IsZero() && !sole.since.After(since) {
		return sole.name
	}
	return ""
}

// SetVersion sets an adapter's version if it is newer than the current one, and reports
// whether it was. since is the last time at which it was known not to be announced, zero if that is not known.
func (s *State) SetVersion(v AdapterVersion, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.versions[v.AdapterKey]
	if v.Version <= last.Version {
		return false
	}
	next := Announcement{Version: v.Version, Since: since, ReadAt: s.now()}
	if last.Version > 0 {
		next.Earlier = append(slices.Clone(last.Earlier), Announcement{Version: last.Version, Since: last.Since, ReadAt: last.ReadAt})
		next.Earlier = next.Earlier[max(len(next.Earlier)-maxEarlierVersions, 0):]
	}
	s.versions[v.AdapterKey] = next
	s.invalidate()
	return true
}

// SetEndpoint adds or updates an endpoint and reports whether anything but its heartbeat
// changed. It ignores an older registration of the same incarnation: a store may carry out a
// heartbeat that got no response after a later one.
func (s *State) SetEndpoint(e *Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.latest[e.ID]; known != nil && known.Incarnation == e.Incarnation && known.isNewerThan(e) {
		return false
	}
	return s.setEndpoint(e)
}

// SetRestoredEndpoint is SetEndpoint for the registration in a restored store. It ignores a
// registration that is not newer than the last known one: the endpoint may have started to
// drain or left since.
func (s *State) SetRestoredEndpoint(e *Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.latest[e.ID]; known != nil && !e.isNewerThan(known) {
		return false
	}
	return s.setEndpoint(e)
}

// setEndpoint adds or updates an endpoint. The caller holds s.mu.
func (s *State) setEndpoint(e *Endpoint) bool {
	now := s.now()
	e = e.receivedAt(now, s.latest[e.ID])
	delete(s.expiring, e.ID)
	delete(s.removed, e.ID)
	s.latest[e.ID] = e
	old := s.endpoints[e.ID]
	if old != nil && old.EqualsExceptHeartbeat(e, now) {
		return false
	}
	if old != nil {
		s.softwareOf(old.Service).Remove(old.SoftwareVersion, now)
	}
	s.softwareOf(e.Service).Add(e.SoftwareVersion)
	s.endpoints[e.ID] = e
	s.invalidate()
	return true
}

// RemoveEndpoint removes an endpoint. During the grace period after a store outage the removal
// is postponed to the end of that period, unless the endpoint drains. RemoveEndpoint returns for how
// long it is postponed.
func (s *State) RemoveEndpoint(id EndpointID, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[id]
	if e == nil {
		return 0
	}
	if now.Before(s.graceUntil) && !e.Draining {
		s.expiring[id] = s.graceUntil
		return s.graceUntil.Sub(now)
	}
	s.deleteEndpoint(id, now)
	s.invalidate()
	return 0
}

// deleteEndpoint deletes an endpoint and keeps its last registration. The caller holds s.mu.
func (s *State) deleteEndpoint(id EndpointID, now time.Time) {
	if e := s.endpoints[id]; e != nil {
		s.softwareOf(e.Service).Remove(e.SoftwareVersion, now)
	}
	delete(s.endpoints, id)
	delete(s.expiring, id)
	s.removed[id] = now
}

// StoreRecovered starts the grace period after a store outage. back is the earliest time at which
// the store may have been back.
func (s *State) StoreRecovered(back time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graceUntil = back.Add(reregistrationGrace)
}

// MarkListed records that the registry has been listed.
func (s *State) MarkListed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = true
	if s.listedAt.IsZero() {
		s.listedAt = s.now()
		for _, h := range s.software {
			h.Begin(s.listedAt)
		}
	}
	s.invalidate()
}

// MarkOperatorListed records that the operator's items have been listed.
func (s *State) MarkOperatorListed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.operator {
		s.operator = true
		s.invalidate()
	}
}

// BeginEvacuation begins the evacuation of a failure domain. since is the last time at which its key was known to be
// absent, zero if that is not known. It reports whether the domain was not being evacuated before.
func (s *State) BeginEvacuation(domain string, since, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ending, domain)
	return s.setEvacuations(s.evacuated.Begin(domain, since, now))
}

// EndEvacuation ends the evacuation of a failure domain, after rewriteGrace if its key is missing in a store that was
// restored (noticed now). It reports whether the domain was being evacuated.
func (s *State) EndEvacuation(domain string, restored bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restored {
		if s.evacuated.Evacuated(domain) {
			s.ending[domain] = now.Add(rewriteGrace)
		}
		return s.evacuated.Evacuated(domain)
	}
	delete(s.ending, domain)
	return s.setEvacuations(s.evacuated.End(domain, now))
}

// OperatorRecovered extends the evacuations that are about to end because a restored store lacks their keys: the
// store has been restored again, or was unreachable, so that the operator's items may still be missing.
func (s *State) OperatorRecovered(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for domain := range s.ending {
		s.ending[domain] = s.now().Add(rewriteGrace)
	}
}

// ExpireEvacuations ends the evacuations whose keys a restored store still lacks after rewriteGrace. It returns
// their failure domains.
func (s *State) ExpireEvacuations(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []string
	for domain, until := range s.ending {
		if now.Before(until) {
			continue
		}
		delete(s.ending, domain)
		s.setEvacuations(s.evacuated.End(domain, now))
		expired = append(expired, domain)
	}
	return expired
}

// setEvacuations sets the evacuations and reports whether they changed. The caller holds s.mu.
func (s *State) setEvacuations(next *evacuation.State) bool {
	if next == s.evacuated {
		return false
	}
	s.evacuated = next
	s.invalidate()
	return true
}

// SoleSoftware returns the software version that was the only one of a service's registered endpoints since a
// time, or "" if there is none or the registry was not known all the time.
func (s *State) SoleSoftware(service string, since time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.softwareOf(service).Sole(since)
}

// softwareOf returns the history of a service's software versions. The caller holds s.mu.
func (s *State) softwareOf(service string) *streamorigin.History {
	h := s.software[service]
	if h == nil {
		h = streamorigin.NewHistory()
		if !s.listedAt.IsZero() {
			h.Begin(s.listedAt)
		}
		s.software[service] = h
	}
	return h
}

// Expire removes the endpoints whose grace period has ended, and the removed registrations
// whose retention has ended. It returns the removed endpoints.
func (s *State) Expire(now time.Time) []EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []EndpointID
	for id, until := range s.expiring {
		if now.Before(until) {
			continue
		}
		s.deleteEndpoint(id, now)
		expired = append(expired, id)
	}
	for id, at := range s.removed {
		if now.Sub(at) >= removedRetention {
			delete(s.removed, id)
			delete(s.latest, id)
		}
	}
	if len(expired) > 0 {
		s.invalidate()
	}
	return expired
}

// invalidate discards the current View and signals a change. The caller holds s.mu.
func (s *State) invalidate() {
	s.view.Store(nil)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// buildView builds a View of the current state. The caller holds s.mu.
func (s *State) buildView() *View {
	v := &View{
		Config: s.config, Endpoints: make(map[string][]*Endpoint), Versions: maps.Clone(s.versions), Synced: s.synced,
		OperatorSynced: s.operator, Evacuations: s.evacuated,
	}
	for _, e := range s.endpoints {
		v.Endpoints[e.Service] = append(v.Endpoints[e.Service], e)
	}
	return v
}

package router

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/peerconn"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// errNoResponse reports that a scheduler did not respond to a grant request.
const errNoResponse = errors.ConstError("scheduler did not respond to the grant request")

const (
	// snapshotTimeout is the age from which a snapshot is stale. A scheduler sends one at
	// least every 600 ms.
	snapshotTimeout = 1500 * time.Millisecond
	// snapshotDelay is the time without a snapshot after which the connection is checked, each lateCheckInterval.
	snapshotDelay     = 700 * time.Millisecond
	lateCheckInterval = 200 * time.Millisecond
	// grantResponseDelay is the time without a response to a grant request after which the connection is checked. While
	// requests wait for grants, snapshots arrive more often.
	grantResponseDelay = 200 * time.Millisecond
	// reconnectDelay is the delay before the next connection attempt to an unreachable
	// scheduler.
	reconnectDelay = 200 * time.Millisecond
	// pendingGrantTTL is how long a requested grant may be missing in the scheduler's
	// snapshots.
	pendingGrantTTL = 250 * time.Millisecond
	// maxCachedAdapters is the number of adapters, the loaded ones included, that an engine is
	// expected to load quickly. An engine host caches 42 adapters besides the 7 to 9 loaded
	// ones. The limit is lower than their sum because an adapter that is loaded and
	// unloaded between two snapshots appears in neither.
	maxCachedAdapters = 44
	// responseMargin is added to a grant request's maximum wait. A scheduler that has not
	// responded by then counts as unresponsive.
	responseMargin = 500 * time.Millisecond
	// maxSnapshotBytes and maxGrantReplyBytes bound one line of a scheduler. A snapshot with 100 adapters
	// takes 10 KB.
	maxSnapshotBytes   = 256 << 10
	maxGrantReplyBytes = 4 << 10
)

// schedulerConn is the connection to the scheduler of one engine.
type schedulerConn struct {
	address string // Host and port of the scheduler.
	client  *http.Client
	log     *logrus.Entry
	cancel  context.CancelFunc

	mu         sync.Mutex
	snapshot   grants.Snapshot
	snapshotAt time.Time                        // When the snapshot was received.
	pending    []pendingGrant                   // Grants requested within pendingGrantTTL.
	adapters   map[catalog.AdapterKey]time.Time // Adapters of this incarnation and when a snapshot last listed them.
}

// pendingGrant is a recently requested grant that the snapshots may not include yet.
type pendingGrant struct {
	requestedAt time.Time
	prefillMS   float64 // Estimated prefill time.
	needsLoad   bool    // The adapter must be loaded from the weight store first.
}

// run reads snapshots until ctx ends and reconnects after failures: at once after a stream that has brought snapshots, since
// its connection alone may have failed.
func (c *schedulerConn) run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		received, err := c.readSnapshots(ctx, &lost)
		if ctx.Err() != nil {
			return
		}
		if received {
			continue
		}
		if !lost {
			lost = true
			c.log.WithError(err).WithField("event", "scheduler_lost").WithField("scheduler", c.address).
				Warn("scheduler unreachable or silent")
		}
		if sleep.For(ctx, reconnectDelay) != nil {
			return
		}
	}
}

// readSnapshots opens a snapshot stream and reads it until it fails or is silent for
// snapshotTimeout. It clears lost on the first snapshot, and reports whether there was one.
func (c *schedulerConn) readSnapshots(ctx context.Context, lost *bool) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(snapshotTimeout, cancel)
	defer timeout.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+schedulerapi.PathSnapshots, nil)
	if err != nil {
		return received, errors.Trace(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return received, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, errors.Errorf("scheduler responded with status %d", resp.StatusCode)
	}
	body := &io.LimitedReader{R: resp.Body}
	lines := json.NewDecoder(body)
	var s grants.Snapshot
	for {
		var d grants.SnapshotDelta
		body.N = maxSnapshotBytes
		if err := lines.Decode(&d); err != nil {
			return received, errors.Trace(err)
		}
		s = d.Apply(s)
		timeout.Reset(snapshotTimeout)
		if *lost {
			*lost = false
			c.log.WithField("event", "scheduler_up").WithField("scheduler", c.address).Info("scheduler sends snapshots")
		}
		c.setSnapshot(s, time.Now())
		received = true
	}
}

// setSnapshot stores a snapshot and updates the cached adapters. A new incarnation of the
// engine starts with an empty cache.
func (c *schedulerConn) setSnapshot(s grants.Snapshot, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.adapters == nil || s.Incarnation != c.snapshot.Incarnation {
		c.adapters = make(map[catalog.AdapterKey]time.Time)
	}
	for _, a := range s.Adapters {
		c.adapters[catalog.AdapterKey{Model: a.Model, Adapter: a.Adapter}] = now
	}
	for len(c.adapters) > maxCachedAdapters {
		c.evictOldestAdapter()
	}
	c.snapshot, c.snapshotAt = s, now
}

// evictOldestAdapter removes the cached adapter that was last listed longest ago.
func (c *schedulerConn) evictOldestAdapter() {
	var oldest catalog.AdapterKey
	var at time.Time
	for key, seen := range c.adapters {
		if at.IsZero() || seen.Before(at) {
			oldest, at = key, seen
		}
	}
	delete(c.adapters, oldest)
}

// cached reports whether an adapter is loaded or was recently unloaded, and so is expected in
// the cache of the engine's host.
func (c *schedulerConn) cached(key catalog.AdapterKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.adapters[key]
	return ok
}

// engineState is the router's view of an engine at one moment.
type engineState struct {
	snapshot         grants.Snapshot
	age              time.Duration // Time since the snapshot was received.
	fresh            bool          // The snapshot is younger than snapshotTimeout.
	pendingPrefillMS float64       // Estimated prefill time of the pending grants.
	pendingLoads     int           // Loads from the weight store that were requested after the snapshot.
}

// holds reports whether the engine can run an adapter without a load.
func (s engineState) holds(key catalog.AdapterKey) bool {
	return s.fresh && s.snapshot.Alive && !s.snapshot.Draining && slices.ContainsFunc(s.snapshot.Adapters, func(a grants.AdapterState) bool {
		return a.Usable && a.Adapter == key.Adapter && a.Model == key.Model
	})
}

// snapshotAge returns the time since the last snapshot.
func (c *schedulerConn) snapshotAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.snapshotAt)
}

// state returns the view of the engine and drops pending grants older than pendingGrantTTL.
func (c *schedulerConn) state(now time.Time) engineState {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.snapshotAt)
	s := engineState{snapshot: c.snapshot, age: age, fresh: age < snapshotTimeout}
	kept := c.pending[:0]
	for _, p := range c.pending {
		if now.Sub(p.requestedAt) >= pendingGrantTTL {
			continue
		}
		kept = append(kept, p)
		s.pendingPrefillMS += p.prefillMS
		if p.needsLoad && p.requestedAt.After(c.snapshotAt) {
			s.pendingLoads++
		}
	}
	c.pending = kept
	return s
}

// addPending records a grant that is being requested. prefillMS is the estimated prefill time
// in milliseconds.
func (c *schedulerConn) addPending(now time.Time, prefillMS float64, needsLoad bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, pendingGrant{requestedAt: now, prefillMS: prefillMS, needsLoad: needsLoad})
}

// grant is the right to run one request on an engine. It lasts until release is called.
type grant struct {
	reply   schedulerapi.GrantReply
	release func()
}

// requestGrant requests a grant and waits for the scheduler's reply. If the scheduler refuses,
// the grant is nil and the reply holds the reason. If it does not respond, the error is
// errNoResponse.
func (c *schedulerConn) requestGrant(
	ctx context.Context, grantReq schedulerapi.GrantRequest,
) (*grant, schedulerapi.GrantReply, error) {
	data, err := json.Marshal(grantReq)
	if err != nil {
		return nil, schedulerapi.GrantReply{}, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	timeout := time.AfterFunc(time.Duration(grantReq.MaxWaitMS)*time.Millisecond+responseMargin, cancel)
	defer timeout.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+schedulerapi.PathGrant, bytes.NewReader(data))
	if err != nil {
		cancel()
		return nil, schedulerapi.GrantReply{}, errors.Trace(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		cancel()
		return nil, schedulerapi.GrantReply{}, errors.WithType(err, errNoResponse)
	}
	lines := json.NewDecoder(io.LimitReader(resp.Body, maxGrantReplyBytes))
	var reply schedulerapi.GrantReply
	if err := lines.Decode(&reply); err != nil || !reply.Granted || !timeout.Stop() {
		_ = resp.Body.Close()
		cancel()
		if err != nil {
			return nil, reply, errors.WithType(err, errNoResponse)
		}
		reply.Granted = false
		return nil, reply, nil
	}
	g := &grant{reply: reply, release: func() {
		cancel()
		_ = resp.Body.Close()
	}}
	return g, reply, nil
}

// incarnation returns the engine's incarnation by a report that the scheduler reads for this call.
func (c *schedulerConn) incarnation(ctx context.Context) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+schedulerapi.PathIncarnation, nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, errors.WithType(err, errNoResponse)
	}
	defer resp.Body.Close()
	var reply schedulerapi.Incarnation
	err = json.NewDecoder(io.LimitReader(resp.Body, maxGrantReplyBytes)).Decode(&reply)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, errors.WithType(errors.Errorf("status %d, error %v", resp.StatusCode, err), errNoResponse)
	}
	return reply.Incarnation, nil
}

// schedulerConns holds the connections to the schedulers of all engines in the view, by the
// engine's address.
type schedulerConns struct {
	port   int // Scheduler port on the engines' VMs.
	client *http.Client
	check  func(address string, since time.Time) // Checks the connections to an address that sent nothing since a time.
	log    *logrus.Entry

	mu        sync.Mutex
	byAddress map[string]*schedulerConn
}

func newSchedulerConns(port int, transport *peerconn.Transport, log *logrus.Entry) *schedulerConns {
	return &schedulerConns{
		port: port, client: &http.Client{Transport: transport}, check: transport.Check, log: log, byAddress: make(map[string]*schedulerConn),
	}
}

// sync opens connections for the engines in a view and closes all others.
func (cs *schedulerConns) sync(ctx context.Context, v *catalog.View) {
	wanted := make(map[string]bool)
	if v.Config != nil {
		for name, service := range v.Config.Services {
			if service.Engine == nil {
				continue
			}
			for _, e := range v.Endpoints[name] {
				wanted[e.Address] = true
			}
		}
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for address, c := range cs.byAddress {
		if !wanted[address] {
			c.cancel()
			delete(cs.byAddress, address)
		}
	}
	for address := range wanted {
		if cs.byAddress[address] == nil {
			cs.open(ctx, address)
		}
	}
}

// open starts a connection for the engine at an address. The caller holds cs.mu.
func (cs *schedulerConns) open(ctx context.Context, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		cs.log.WithError(err).WithField("address", address).Warn("engine address is not host:port; no scheduler connection opened")
		return
	}
	connCtx, cancel := context.WithCancel(ctx)
	c := &schedulerConn{
		address: net.JoinHostPort(host, strconv.Itoa(cs.port)), client: cs.client, log: cs.log, cancel: cancel,
	}
	cs.byAddress[address] = c
	go c.run(connCtx)
}

// checkLate checks the connections to schedulers whose snapshots are late, until they count as unreachable.
func (cs *schedulerConns) checkLate(now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.byAddress {
		if age := c.snapshotAge(now); age >= snapshotDelay && age < 2*snapshotTimeout {
			cs.check(c.address, now.Add(-snapshotDelay/2)) // Other bytes may have arrived after the last snapshot.
		}
	}
}

// conn returns the connection for the engine at an address, or nil.
func (cs *schedulerConns) conn(address string) *schedulerConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.byAddress[address]
}

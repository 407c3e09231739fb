package quota

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/httpclient"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// callTimeout bounds a call between routers of one region.
	callTimeout = 200 * time.Millisecond
	// ResponseDelay is the time without a response after which the connection of a call is checked. A check takes some
	// 50 ms, so that a call whose connection is silent is answered on a new one within callTimeout.
	ResponseDelay = 80 * time.Millisecond
	// lateTimeout is how long the response to a call that has timed out is still awaited, as evidence
	// that the router is reachable. It is longer than cutOffDelay.
	lateTimeout = 1200 * time.Millisecond
	// cutOffDelay is how long a router must be isolated, without late responses either, until it
	// counts as cut off rather than slow.
	cutOffDelay = time.Second
	// pingInterval and pingPeers determine how soon a router detects that it is isolated. The
	// number of pings per router does not depend on the number of routers.
	pingInterval = 400 * time.Millisecond
	pingPeers    = 5
	// maxPingGap is the time between two rounds of pings above which this router was suspended.
	maxPingGap = pingInterval + takeoverDelay/2
	// unreachableDuration is how long a router that did not respond is not selected as a quota
	// owner.
	unreachableDuration = 1500 * time.Millisecond
	// minTriedPeers is the smallest number of recently called routers from which isolation is
	// inferred, or all other routers if there are fewer. If several routers exist and
	// only one was called, its loss would look like the isolation of this one.
	minTriedPeers = 2
	// unlistedPeerTTL is how long a router that left the store's list may still be a quota
	// owner after its last response. Its registration may have expired during a store outage.
	unlistedPeerTTL = 2 * time.Second
)

// maxPingBytes bounds the body of a ping.
const maxPingBytes = 1 << 10

// maxReplyBytes bounds the response to a call between routers.
const maxReplyBytes = 1 << 20

// ErrNoResponse reports that a router did not respond to a call or responded with an error.
const ErrNoResponse = errors.ConstError("call to router failed")

// Peer is the VM and the address of another router.
type Peer struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// peer is the state of another router.
type peer struct {
	Peer
	listed           bool      // The store's list contains the router.
	respondedAt      time.Time // Last successful call, or when the router was found.
	calledAt         time.Time // Last call.
	unreachableUntil time.Time // Not selected as a quota owner before this time.
	refused          bool      // The last call failed because no process listens at the address.
	former           bool      // A former build, which compares no records.
}

// Peers holds the other routers and their state. It is safe for concurrent use.
type Peers struct {
	// OnFound is called in the background for each router that is found. Set it before Add; it may be nil.
	OnFound func(Peer)
	// Digest returns a digest of the records that routers compare with each ping, "" if there are none. OnDigest is called
	// in the background with the digest of a router that responded to a ping, unless both have none. Set them before Serve;
	// they may be nil.
	Digest   func() string
	OnDigest func(from Peer, digest string)

	self   string // VM of this router.
	client *http.Client
	log    *logrus.Entry

	mu            sync.Mutex
	byVM          map[string]*peer // Without this router.
	leaving       bool             // This router drains and owns no quotas.
	registeredAt  time.Time        // First registration of this router; zero before.
	interruptedAt time.Time        // Last time at which this router was isolated or resumed from a suspension.
	isolatedSince time.Time        // Zero while this router is not isolated.
	lateAt        time.Time        // Last response that came after the timeout of its call.

	departed map[string]time.Time // When routers were removed within ownerHandover.
}

// NewPeers returns an empty Peers for the router on the VM self.
func NewPeers(self string, transport http.RoundTripper, log *logrus.Entry) *Peers {
	return &Peers{
		self: self, client: &http.Client{Transport: transport, Timeout: callTimeout + lateTimeout}, log: log, byVM: make(map[string]*peer),
		departed: make(map[string]time.Time),
	}
}

// Add adds a router that appeared in the store's list.
func (p *Peers) Add(found Peer) {
	if found.VM == p.self || found.VM == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.byVM[found.VM]
	if other == nil || other.Address != found.Address {
		other = &peer{Peer: found, respondedAt: time.Now()}
		p.byVM[found.VM] = other
		delete(p.departed, found.VM)
		p.log.WithFields(logrus.Fields{"event": "router", "peer": found.VM, "address": found.Address}).Info("router found")
		if p.OnFound != nil {
			go p.OnFound(found)
		}
	}
	other.listed = true
}

// Remove marks a router that left the store's list. The router is kept as long as it responds.
func (p *Peers) Remove(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.byVM[vm]; other != nil {
		other.listed = false
	}
}

// Serve pings random routers until ctx ends. It implements suture.Service.
func (p *Peers) Serve(ctx context.Context) error {
	for {
		began := time.Now().Round(0) // Only the wall clock counts the time of a suspension.
		if err := sleep.For(ctx, pingInterval); err != nil {
			return err
		}
		if now := time.Now(); now.Round(0).Sub(began) > maxPingGap {
			p.markInterrupted(now)
		}
		for _, target := range p.sample(pingPeers) {
			go p.ping(ctx, target)
		}
		p.Isolated(time.Now()) // Notices the start and the end of an isolation without requests.
		p.removeUnlisted(time.Now())
	}
}

// pingBody is the body of a ping and of its response while either router has records; otherwise pings have none. Former
// builds respond without a body.
type pingBody struct {
	Records *string `json:"records,omitempty"` // Digest of the records.
}

// ping calls a router to learn whether it responds, and compares the records. A failure is recorded, and Isolated and owners
// use the record.
func (p *Peers) ping(ctx context.Context, target Peer) {
	var req *pingBody
	if digest := p.digest(); digest != "" {
		req = &pingBody{&digest}
	}
	data, err := p.call(ctx, target, PathPing, req, nil)
	var reply pingBody
	if err == nil && req != nil {
		p.markFormer(target, len(data) == 0)
	}
	if err != nil || len(data) == 0 || p.OnDigest == nil {
		return
	}
	if err := json.Unmarshal(data, &reply); err != nil || reply.Records == nil {
		return
	}
	p.OnDigest(target, *reply.Records)
}

// markFormer records whether a router is of a former build.
func (p *Peers) markFormer(target Peer, former bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.byVM[target.VM]; other != nil && other.Address == target.Address {
		other.former = former
	}
}

func (p *Peers) digest() string {
	if p.Digest == nil {
		return ""
	}
	return p.Digest()
}

// servePing responds to a ping.
func (p *Peers) servePing(w http.ResponseWriter, req *http.Request) {
	var in *pingBody
	data, err := io.ReadAll(io.LimitReader(req.Body, maxPingBytes))
	if err != nil || json.Unmarshal(data, &in) != nil {
		in = nil // An unknown body does not make this router unreachable.
	}
	if digest := p.digest(); digest != "" || in != nil && in.Records != nil {
		writeJSON(w, pingBody{&digest})
	}
}

// sample returns up to n random routers.
func (p *Peers) sample(n int) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Peer, 0, len(p.byVM))
	for _, other := range p.byVM {
		all = append(all, other.Peer)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// removeUnlisted removes routers that are not listed and have not responded for
// unlistedPeerTTL.
func (p *Peers) removeUnlisted(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.departed, func(_ string, at time.Time) bool { return now.Sub(at) >= ownerHandover })
	for vm, other := range p.byVM {
		if !other.listed && now.Sub(other.respondedAt) > unlistedPeerTTL {
			delete(p.byVM, vm)
			p.departed[vm] = now
			p.log.WithFields(logrus.Fields{"event": "router_gone", "peer": vm}).
				Info("router removed: not listed and not responding")
		}
	}
}

// Count returns the number of routers, including this one.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byVM) + 1
}

// markInterrupted records that other routers may have replaced this one as an owner.
func (p *Peers) markInterrupted(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interruptedAt = now
}

// interruptedSince reports whether this router was isolated or resumed from a suspension after t.
func (p *Peers) interruptedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interruptedAt.After(t)
}

// Isolated reports whether more than half of the recently called routers did not respond. It
// returns false if fewer than minTriedPeers were called, or fewer than all if there are fewer.
func (p *Peers) Isolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isolated, _ := p.isolation(now)
	return isolated
}

// CutOff reports whether this router is isolated because it has lost its connections, or the other
// processes have ended, rather than because they respond late. Until that is certain, the owner of a
// quota may still count for it.
func (p *Peers) CutOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isolated, allRefused := p.isolation(now)
	return isolated && (allRefused || now.Sub(p.isolatedSince) >= cutOffDelay && now.Sub(p.lateAt) >= cutOffDelay)
}

// isolation implements Isolated and reports whether all routers that did not respond refused the
// connection. The caller holds p.mu.
func (p *Peers) isolation(now time.Time) (isolated, allRefused bool) {
	tried, silent, refused := 0, 0, 0
	for _, other := range p.byVM {
		if now.Sub(other.calledAt) > unreachableDuration {
			continue
		}
		tried++
		if now.Before(other.unreachableUntil) {
			silent++
			if other.refused {
				refused++
			}
		}
	}
	if tried < min(minTriedPeers, len(p.byVM)) || 2*silent <= tried {
		p.isolatedSince = time.Time{}
		return false, false
	}
	if p.isolatedSince.IsZero() {
		p.isolatedSince = now
	}
	p.interruptedAt = now
	return true, refused == silent
}

// maxCandidates is the number of routers that may own an organisation's quota. A new owner asks
// the others of them for their balances.
const maxCandidates = 3

// owners returns the reachable candidates for the ownership of an organisation's quota, in the
// order in which they own it. The empty Peer stands for this router.
func (p *Peers) owners(organisation string, now time.Time) []Peer {
	var out []Peer
	for _, c := range p.candidates(organisation, now) {
		if c.reachable {
			out = append(out, c.Peer)
		}
	}
	return out
}

// otherCandidates returns the candidates for the ownership of an organisation's quota, also
// unreachable ones, without this router.
func (p *Peers) otherCandidates(organisation string) []Peer {
	var out []Peer
	for _, c := range p.candidates(organisation, time.Now()) {
		if c.VM != "" {
			out = append(out, c.Peer)
		}
	}
	return out
}

func (p *Peers) candidates(organisation string, now time.Time) []candidate {
	ranking := p.ranking(organisation, now)
	return ranking[:min(len(ranking), maxCandidates)]
}

// candidate is a router in a ranking. The empty Peer stands for this router.
type candidate struct {
	Peer
	reachable bool
	former    bool
	score     uint64
}

// ranking returns the known routers by their rendezvous score for a key, highest first.
func (p *Peers) ranking(key string, now time.Time) []candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	hash := rendezvous.Hash(key)
	scoreOf := func(vm string) uint64 { return rendezvous.Score(hash, rendezvous.Hash(vm)) }
	var list []candidate
	if !p.leaving || len(p.byVM) == 0 {
		list = append(list, candidate{Peer: Peer{}, reachable: true, score: scoreOf(p.self)})
	}
	for vm, other := range p.byVM {
		list = append(list, candidate{other.Peer, now.After(other.unreachableUntil), other.former, scoreOf(vm)})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	return list
}

// endpointCounter is the router that counts the requests to an endpoint for this router.
type endpointCounter struct {
	Peer
	role string // "" if no router may count them.
}

// endpointCounter returns the router that counts the requests to an endpoint: the first one in
// the ranking or, if that is unreachable, the second one. With more than two, the routers'
// shares of the limit could add up to more than the limit permits. A router that the others may
// not know yet is not in its own ranking.
func (p *Peers) endpointCounter(key string, now time.Time) endpointCounter {
	if p.Isolated(now) {
		return endpointCounter{role: roleIsolated}
	}
	ranking := p.ranking(key, now)
	if now.Before(p.knownFrom(now)) {
		ranking = slices.DeleteFunc(ranking, func(c candidate) bool { return c.VM == "" })
	}
	for i, role := range []string{roleOwner, roleStandby} {
		if i < len(ranking) && ranking[i].reachable {
			return endpointCounter{ranking[i].Peer, role}
		}
	}
	return endpointCounter{}
}

// MarkRegistered records that this router is registered, so that the others find it.
func (p *Peers) MarkRegistered(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.registeredAt.IsZero() {
		p.registeredAt = now
	}
}

// knownFrom returns the time from which the other routers know this one.
func (p *Peers) knownFrom(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.byVM) == 0:
		return now
	case p.registeredAt.IsZero():
		return now.Add(ownerHandover)
	default:
		return p.registeredAt.Add(ownerHandover)
	}
}

// ownsFrom returns the time from which no other router counts the requests to an endpoint as its owner: the others
// know this router, and no router that precedes it in the ranking has been there for ownerHandover. Until then some
// routers may still call that one.
func (p *Peers) ownsFrom(key string, now time.Time) time.Time {
	from := p.knownFrom(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	hash := rendezvous.Hash(key)
	own := rendezvous.Score(hash, rendezvous.Hash(p.self))
	await := func(vm string, at time.Time) {
		if until := at.Add(ownerHandover); rendezvous.Score(hash, rendezvous.Hash(vm)) > own && until.After(from) {
			from = until
		}
	}
	for vm := range p.byVM {
		await(vm, now)
	}
	for vm, at := range p.departed {
		await(vm, at)
	}
	return from
}

// mostDoNotReach asks all routers but one whether they reach that one, and reports whether most
// of those, this router included, do not.
func (p *Peers) mostDoNotReach(ctx context.Context, vm string) bool {
	voters := slices.DeleteFunc(p.sample(p.Count()), func(other Peer) bool { return other.VM == vm })
	unreachable := make(chan bool, len(voters))
	for _, voter := range voters {
		go func() {
			var reply reachableReply
			err := p.Call(ctx, voter, PathReachable, reachableRequest{VM: vm}, &reply)
			unreachable <- err == nil && !reply.Reachable
		}()
	}
	votes := 1 // This router's own.
	for range voters {
		if <-unreachable {
			votes++
		}
	}
	return 2*votes > len(voters)+1
}

// checkReachable reports whether the last call to a router succeeded, and pings the router for
// the next check.
func (p *Peers) checkReachable(ctx context.Context, vm string) bool {
	p.mu.Lock()
	other := p.byVM[vm]
	if other == nil {
		p.mu.Unlock()
		return false
	}
	target, reachable := other.Peer, time.Now().After(other.unreachableUntil)
	p.mu.Unlock()
	go func() {
		// Call records the failure for the next check.
		_ = p.Call(context.WithoutCancel(ctx), target, PathPing, nil, nil)
	}()
	return reachable
}

// Leave excludes this router from quota ownership.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// Owns reports whether it is this router's turn to own a key: the turns go through the ranking of the
// reachable routers. Routers that do not reach each other may own the same key.
func (p *Peers) Owns(key string, turn int, now time.Time) bool {
	reachable := slices.DeleteFunc(p.ranking(key, now), func(c candidate) bool { return !c.reachable })
	return len(reachable) > 0 && reachable[turn%len(reachable)].VM == ""
}

// RecordsRank returns the place of this router, from 0, in the ranking for a key of the reachable routers that compare records,
// or -1 if it leaves.
func (p *Peers) RecordsRank(key string, now time.Time) int {
	rank := 0
	for _, c := range p.ranking(key, now) {
		if c.VM == "" {
			return rank
		}
		if c.reachable && !c.former {
			rank++
		}
	}
	return -1
}

// CallAll sends a call to all other routers and waits for their responses. handle is called for
// each one, one after the other. Failed calls are logged.
func (p *Peers) CallAll(ctx context.Context, path string, req any, handle func(json.RawMessage)) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, target := range p.sample(p.Count()) {
		calls.Go(func() {
			var reply json.RawMessage
			if err := p.Call(ctx, target, path, req, &reply); err != nil {
				p.log.WithError(err).WithFields(logrus.Fields{"peer": target.VM, "path": path}).Info("call to router failed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			handle(reply)
		})
	}
	calls.Wait()
}

// Broadcast sends a call to all other routers without waiting for the responses.
func (p *Peers) Broadcast(ctx context.Context, path string, req any) {
	for _, target := range p.sample(p.Count()) {
		go func() {
			if err := p.Call(ctx, target, path, req, nil); err != nil {
				p.log.WithError(err).WithFields(logrus.Fields{"peer": target.VM, "path": path}).Info("broadcast not delivered to router")
			}
		}()
	}
}

// Call sends req to a router, decodes the response into reply unless that is nil, and records
// whether the router responded within callTimeout. It returns ErrNoResponse if the router did not
// or responded with an error. An error of building the request has no such type.
func (p *Peers) Call(ctx context.Context, to Peer, path string, req, reply any) error {
	_, err := p.call(ctx, to, path, req, reply)
	return err
}

// call implements Call and returns the body of the response.
func (p *Peers) call(ctx context.Context, to Peer, path string, req, reply any) ([]byte, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	began := time.Now()
	go func() {
		body, err := p.post(context.WithoutCancel(ctx), to, path, data)
		if err == nil && time.Since(began) > callTimeout {
			p.recordLate()
		}
		done <- result{body, err}
	}()
	timeout := time.NewTimer(callTimeout)
	defer timeout.Stop()
	var r result
	select {
	case r = <-done:
	case <-timeout.C:
		r.err = errors.Errorf("POST %s of router %s: no response within %s", path, to.VM, callTimeout)
	case <-ctx.Done():
		// The caller gives up, which says nothing about the router.
		return nil, errors.WithType(ctx.Err(), ErrNoResponse)
	}
	if r.err == nil && reply != nil {
		r.err = json.Unmarshal(r.body, reply)
	}
	p.recordCall(to, r.err)
	if r.err != nil {
		return nil, errors.WithType(r.err, ErrNoResponse)
	}
	return r.body, nil
}

// post sends a call and returns the body of its response.
func (p *Peers) post(ctx context.Context, to Peer, path string, data []byte) ([]byte, error) {
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if path == PathReturn {
		httpReq.GetBody = nil // Carried out twice, it would return more than was taken.
	}
	resp, err := p.client.Do(httpReq)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := httpclient.ReadBody(resp.Body, maxReplyBytes)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("POST %s of router %s: status %d", path, to.VM, resp.StatusCode)
	}
	return body, err
}

// recordLate records a response that came after the timeout of its call.
func (p *Peers) recordLate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateAt = time.Now()
}

// markResponding records that a router that calls this one is running.
func (p *Peers) markResponding(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.byVM[vm]; other != nil {
		other.respondedAt, other.unreachableUntil = time.Now(), time.Time{}
	}
}

// recordCall records the result of a call in the router's state.
func (p *Peers) recordCall(to Peer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.byVM[to.VM]
	if other == nil || other.Address != to.Address {
		return
	}
	now := time.Now()
	other.calledAt, other.refused = now, errors.Is(err, syscall.ECONNREFUSED)
	if err == nil {
		other.respondedAt = now
		other.unreachableUntil = time.Time{}
		return
	}
	other.unreachableUntil = now.Add(unreachableDuration)
}

package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/crashrecords"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// Paths of the calls between routers about prompt parts.
const (
	pathPartFinishes = "/parts/finishes" // Asks for complete responses to requests with the parts.
	pathPartChanges  = "/parts/changes"  // Parts were put in quarantine or cleared.
	pathHeldParts    = "/parts/held"     // Asks for the parts that are suspects or in quarantine.
)

const (
	// maxPartsBytes bounds a call about prompt parts, whose ids come from one request header.
	maxPartsBytes = maxHeaderBytes
	// recentlyBegun is the time since its first event within which a response that breaks off
	// counts as one that had not begun.
	recentlyBegun = 500 * time.Millisecond
	// suspectRetryAfter is the Retry-After while another request with the part is on trial. A trial
	// takes as long as one response.
	suspectRetryAfter = time.Second
	// proofDelay is how long a part that is to be suspected waits for a complete response at this
	// router. Sound parts of many requests get one, so that the other routers need not be asked.
	proofDelay = 300 * time.Millisecond
	// maxFetches is the number of routers from which a starting router reads the parts that they hold
	// back. Some of them may have just started too.
	maxFetches = 3
)

// partCrash reports that an engine crashed while it ran a request with these prompt parts.
type partCrash struct {
	Endpoint    catalog.EndpointID `json:"endpoint"`
	Incarnation int64              `json:"incarnation"`
	Parts       []string           `json:"parts"`
	Trial       []string           `json:"trial,omitempty"` // The parts that the request was on trial for.
}

func (c partCrash) incarnation() string { return fmt.Sprintf("%s@%d", c.Endpoint, c.Incarnation) }

// finishesRequest asks for complete responses since a time before the call.
type finishesRequest struct {
	Parts []partAge `json:"parts"`
}

type partAge struct {
	Part  string `json:"part"`
	AgeMS int64  `json:"ageMs"`
}

// finishesReply lists the parts of a finishesRequest with a complete response since, and those with
// an earlier one.
type finishesReply struct {
	Finished []string `json:"finished"`
	Proven   []string `json:"proven"`
}

func encodeHeldParts(parts []quarantine.HeldPart) crashrecords.Records {
	return crashrecords.Records{Parts: crashrecords.EncodeParts(parts)}.Bounded()
}

// partQuarantine holds back prompt parts on which engines crash, together with the other routers.
type partQuarantine struct {
	// OnChange is called after this router has found a new state of a part. It must not block; it may be nil.
	OnChange func()
	// OnAdopt is called after this router has adopted a new state of a part. It must not block; it may be nil.
	OnAdopt func()

	peers *quota.Peers
	log   *logrus.Entry

	mu      sync.Mutex
	tracker *quarantine.PartTracker
	fetches int // Routers asked for the parts that they hold back.
}

func newPartQuarantine(peers *quota.Peers, log *logrus.Entry) *partQuarantine {
	return &partQuarantine{peers: peers, log: log, tracker: quarantine.NewPartTracker(quarantine.DefaultPartLimits())}
}

// beginRun decides whether a request with these parts may run.
func (t *partQuarantine) beginRun(parts []string, now time.Time) quarantine.PartVerdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.BeginRun(parts, func(part string, turn int) bool { return t.peers.Owns(part, turn, now) }, now)
}

// endTrial ends the trial of a request, whatever its result.
func (t *partQuarantine) endTrial(parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.EndTrial(parts)
}

// recordFinish records a complete response to a request with these parts.
func (t *partQuarantine) recordFinish(parts []string) {
	now := time.Now()
	t.mu.Lock()
	cleared := t.tracker.States(t.tracker.RecordFinish(parts, now), now)
	t.mu.Unlock()
	if len(cleared) > 0 {
		t.logChanges(cleared, "")
		t.peers.Broadcast(context.Background(), pathPartChanges, encodeHeldParts(cleared))
	}
}

// logChanges logs new states of parts. from is the process that they were adopted from, "" for this one.
func (t *partQuarantine) logChanges(changes []quarantine.HeldPart, from string) {
	notify := t.OnChange
	if from != "" {
		notify = t.OnAdopt
	}
	if len(changes) > 0 && notify != nil {
		notify()
	}
	for _, c := range changes {
		t.log.WithFields(logrus.Fields{
			"event": "prompt_part", "part": c.Part, "state": c.State, "ms": c.Remaining.Milliseconds(), "from": from,
		}).Warn("state of a prompt part changed")
	}
}

// recordCrash counts a crash. A part that has reached the limit becomes a suspect unless another
// router has received a complete response since the first crash.
func (t *partQuarantine) recordCrash(c partCrash) {
	ctx, now := context.Background(), time.Now()
	t.mu.Lock()
	quarantined := t.tracker.RecordTrialCrash(c.Trial, now)
	t.logChanges(quarantined, "")
	suspicions := t.tracker.RecordCrash(c.Parts, c.incarnation(), now)
	t.mu.Unlock()
	if len(quarantined) > 0 {
		t.peers.Broadcast(ctx, pathPartChanges, encodeHeldParts(quarantined)) // For routers that missed an earlier trial.
	}
	if suspicions = t.unproven(ctx, suspicions); len(suspicions) == 0 {
		return
	}
	others := t.finishesElsewhere(ctx, suspicions, time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range suspicions {
		s.Proven = s.Proven || slices.Contains(others.Proven, s.Part)
		if slices.Contains(others.Finished, s.Part) {
			t.tracker.RecordFinish([]string{s.Part}, time.Now())
		} else if t.tracker.Suspect(s, time.Now()) {
			t.logChanges([]quarantine.HeldPart{{Part: s.Part, State: quarantine.PartSuspect}}, "")
		}
	}
}

// unproven waits for proofDelay and returns the parts without a complete response at this router
// since their first crash.
func (t *partQuarantine) unproven(ctx context.Context, suspicions []quarantine.Suspicion) []quarantine.Suspicion {
	if len(suspicions) == 0 || sleep.For(ctx, proofDelay) != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(suspicions, func(s quarantine.Suspicion) bool { return t.tracker.FinishedSince(s.Part, s.Since) })
}

// finishesElsewhere returns the parts to which other routers received a complete response since the
// first crash, or before.
func (t *partQuarantine) finishesElsewhere(ctx context.Context, suspicions []quarantine.Suspicion, now time.Time) finishesReply {
	var req finishesRequest
	for _, s := range suspicions {
		req.Parts = append(req.Parts, partAge{Part: s.Part, AgeMS: now.Sub(s.Since).Milliseconds()})
	}
	var all finishesReply
	t.peers.CallAll(ctx, pathPartFinishes, req, func(data json.RawMessage) {
		var reply finishesReply
		if err := json.Unmarshal(data, &reply); err != nil {
			t.log.WithError(err).Warn("response of another router about prompt parts is invalid, ignored")
			return
		}
		all.Finished = append(all.Finished, reply.Finished...)
		all.Proven = append(all.Proven, reply.Proven...)
	})
	return all
}

// fetch adopts the parts that another router holds back, unless maxFetches routers were asked before.
// A router that has started knows none.
func (t *partQuarantine) fetch(from quota.Peer) {
	t.mu.Lock()
	t.fetches++
	enough := t.fetches > maxFetches
	t.mu.Unlock()
	if enough {
		return
	}
	var reply crashrecords.Records
	if err := t.peers.Call(context.Background(), from, pathHeldParts, struct{}{}, &reply); err != nil {
		t.log.WithError(err).WithField("peer", from.VM).Info("prompt parts in quarantine not read from router")
		return
	}
	t.apply(reply, from.VM)
}

// apply adopts the states of parts at another router.
func (t *partQuarantine) apply(h crashrecords.Records, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range h.Parts {
		part := p.Decode()
		if part.Part != "" && t.tracker.Apply(part, time.Now()) {
			t.logChanges([]quarantine.HeldPart{part}, from)
		}
	}
}

// records returns the parts that are suspects or in quarantine, and those that were cleared lately.
func (t *partQuarantine) records() crashrecords.Records {
	t.mu.Lock()
	defer t.mu.Unlock()
	return encodeHeldParts(t.tracker.Known(time.Now()))
}

// mount adds the handlers for the calls of other routers to r.
func (t *partQuarantine) mount(r chi.Router) {
	r.Post(pathPartFinishes, func(w http.ResponseWriter, req *http.Request) {
		var f finishesRequest
		if schedulerapi.DecodeRequest(w, req, maxPartsBytes, &f) {
			t.writeReply(w, t.finishes(f))
		}
	})
	r.Post(pathPartChanges, func(w http.ResponseWriter, req *http.Request) {
		var h crashrecords.Records
		if schedulerapi.DecodeRequest(w, req, maxPartsBytes, &h) {
			t.apply(h, req.RemoteAddr)
		}
	})
	r.Post(pathHeldParts, func(w http.ResponseWriter, _ *http.Request) {
		t.writeReply(w, t.records())
	})
}

func (t *partQuarantine) finishes(f finishesRequest) finishesReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var reply finishesReply
	for _, p := range f.Parts {
		if t.tracker.FinishedSince(p.Part, now.Add(-time.Duration(p.AgeMS)*time.Millisecond)) {
			reply.Finished = append(reply.Finished, p.Part)
		}
		if t.tracker.IsProven(p.Part, now) {
			reply.Proven = append(reply.Proven, p.Part)
		}
	}
	return reply
}

func (t *partQuarantine) writeReply(w http.ResponseWriter, reply any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		t.log.WithError(err).Info("response about prompt parts not sent")
	}
}

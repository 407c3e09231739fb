// Package timeline records typed events of one process in a bounded ring.
//
// Events carry a hybrid logical clock's timestamp, so that the rings of all
// processes merge into one order: Gatherer asks each process for its ring
// through the RPC that NewHandler serves. An event holds no key and no prompt
// text; texts that come from callers are bounded.
package timeline

import (
	"slices"
	"strings"
	"sync"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	KindProcessStarted   Kind = "process_started"  // A process began to serve.
	KindProcessDraining  Kind = "process_draining" // A process takes no new work and finishes the rest.
	KindRequestAdmitted  Kind = "request_admitted" // An entry took a request on: key, plan and limit were in order.
	KindRequestRefused   Kind = "request_refused"  // A caller or an entry got a refusal; the detail is its code.
	KindRequestSent      Kind = "request_sent"     // An entry sent an attempt to an endpoint's agent.
	KindRequestRetried   Kind = "request_retried"  // An entry gave an attempt up and tries elsewhere; the detail says why.
	KindRequestQueued    Kind = "request_queued"   // An agent has an attempt wait for its turn.
	KindRequestRunning   Kind = "request_running"  // An agent sent an attempt to its endpoint.
	KindRequestFinished  Kind = "request_finished" // The whole answer was passed on.
	KindRequestCut       Kind = "request_cut"      // A request was ended while it ran; the detail says why.
	KindAdapterLoaded    Kind = "adapter_loaded"
	KindAdapterUnloaded  Kind = "adapter_unloaded"
	KindAdapterFailed    Kind = "adapter_load_failed"
	KindEngineRestarted  Kind = "engine_restarted"
	KindRevisionInForce  Kind = "revision_in_force"
	KindStoreLost        Kind = "store_lost"
	KindStoreBack        Kind = "store_back"
	KindKeyWithdrawn     Kind = "key_withdrawn"
	KindShareMoved       Kind = "share_moved"
	KindMemberJoined     Kind = "member_joined"
	KindMemberGone       Kind = "member_gone"
	KindQuarantined      Kind = "request_quarantined"
	KindClaimed          Kind = "idempotency_claimed"
	KindClaimReplayed    Kind = "idempotency_replayed"
	KindFenceTaken       Kind = "fence_taken"
	KindEndpointDraining Kind = "endpoint_draining"
	KindAnswerDropped    Kind = "answer_dropped"
)

// Kinds returns all kinds of events.
func Kinds() []Kind {
	return []Kind{
		KindProcessStarted,
		KindProcessDraining,
		KindRequestAdmitted,
		KindRequestRefused,
		KindRequestSent,
		KindRequestRetried,
		KindRequestQueued,
		KindRequestRunning,
		KindRequestFinished,
		KindRequestCut,
		KindAdapterLoaded,
		KindAdapterUnloaded,
		KindAdapterFailed,
		KindEngineRestarted,
		KindRevisionInForce,
		KindStoreLost,
		KindStoreBack,
		KindKeyWithdrawn,
		KindShareMoved,
		KindMemberJoined,
		KindMemberGone,
		KindQuarantined,
		KindClaimed,
		KindClaimReplayed,
		KindFenceTaken,
		KindEndpointDraining,
		KindAnswerDropped,
	}
}

// Known reports whether k is one of Kinds.
func (k Kind) Known() bool {
	return slices.Contains(Kinds(), k)
}

// MaxDetailBytes bounds an event's detail; a longer one is cut.
const MaxDetailBytes = 256

// Event is one thing that happened in one process.
type Event struct {
	Time         hlc.Timestamp      `json:"time"`
	VM           ident.VM           `json:"vm"`
	Kind         Kind               `json:"kind"`
	Request      ident.RequestID    `json:"request,omitempty"`
	Attempt      ident.AttemptID    `json:"attempt,omitempty"`
	Organisation ident.Organisation `json:"organisation,omitempty"`
	Endpoint     ident.Endpoint     `json:"endpoint,omitempty"`
	Adapter      ident.Adapter      `json:"adapter,omitempty"`
	Version      ident.Version      `json:"version,omitempty"`
	Detail       string             `json:"detail,omitempty"` // Short reason in words.
}

// Ring keeps the last events of one process. A nil Ring records nothing. It
// is safe for concurrent use.
type Ring struct {
	vm    ident.VM
	clock *hlc.Clock

	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// NewRing returns a Ring of the given capacity in events for the process on vm.
func NewRing(vm ident.VM, clock *hlc.Clock, capacity int) *Ring {
	return &Ring{vm: vm, clock: clock, events: make([]Event, capacity)}
}

// Record stamps and keeps an event; the oldest one is dropped where the ring
// is full.
func (r *Ring) Record(e Event) {
	if r == nil {
		return
	}
	e.Detail = strings.ToValidUTF8(e.Detail[:min(len(e.Detail), MaxDetailBytes)], "")
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.clock.Now()
	e.VM = r.vm
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the kept events, oldest first.
func (r *Ring) Events() []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.events[:r.next]...)
	}
	out := append([]Event(nil), r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

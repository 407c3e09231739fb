// Package timeline records typed events of a process in a ring of fixed
// capacity.
//
// Events carry timestamps of a hybrid logical clock, so that the rings of all
// processes can be merged in one order. Gatherer reads each process's ring
// through the RPC that NewHandler serves.
//
// Events contain neither keys nor prompt texts. Texts from callers are bounded:
// a detail has at most MaxDetailBytes.
package timeline

import (
	"slices"
	"strings"
	"sync"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Kind is the type of an event.
type Kind string

// Kinds of events. A comment names what Event.Detail contains after "Detail:".
const (
	KindProcessStarted       Kind = "process_started"      // A process started to serve.
	KindProcessDraining      Kind = "process_draining"     // A process accepts no new work and finishes its running work.
	KindRequestAdmitted      Kind = "request_admitted"     // An entry admitted a request after it checked key, plan and limit.
	KindRequestRefused       Kind = "request_refused"      // A request or an attempt was refused. Detail: the refusal code.
	KindRequestSent          Kind = "request_sent"         // An entry sent an attempt to an endpoint's agent.
	KindRequestRetried       Kind = "request_retried"      // Retry on another endpoint. Detail: the refusal code of the failed attempt.
	KindRequestQueued        Kind = "request_queued"       // An attempt waits on an agent for its grant.
	KindRequestRunning       Kind = "request_running"      // An agent sent an attempt to its endpoint.
	KindRequestFinished      Kind = "request_finished"     // The whole response was forwarded.
	KindRequestAborted       Kind = "request_cut"          // A running request was cancelled or its response broke. Detail: the reason.
	KindAdapterLoaded        Kind = "adapter_loaded"       // An engine completed a load order.
	KindAdapterUnloaded      Kind = "adapter_unloaded"     // An engine completed an unload order.
	KindAdapterLoadFailed    Kind = "adapter_load_failed"  // A load order failed. Detail: the error.
	KindEngineRestarted      Kind = "engine_restarted"     // An agent detected a new boot ID. Detail: that ID.
	KindRevisionInForce      Kind = "revision_in_force"    // An entry applied a configuration revision. Detail: the revision.
	KindStoreUnavailable     Kind = "store_lost"           // The store became unavailable to an entry.
	KindStoreRecovered       Kind = "store_back"           // The store became available again.
	KindKeyWithdrawn         Kind = "key_withdrawn"        // An operator withdrew a key. Detail: the revision.
	KindSharesReassigned     Kind = "share_moved"          // The assignment of shares to holders changed.
	KindMemberJoined         Kind = "member_joined"        // An entry joined the fleet. Detail: its VM.
	KindMemberRemoved        Kind = "member_gone"          // An entry is no longer a member of the fleet. Detail: its VM.
	KindQuarantined          Kind = "request_quarantined"  // A request was quarantined after endpoint crashes. Detail: its fingerprint.
	KindIdempotencyClaimed   Kind = "idempotency_claimed"  // An agent claimed a request's idempotency key.
	KindIdempotencyReplayed  Kind = "idempotency_replayed" // An agent replayed the stored response of an idempotency key.
	KindFencingTokenAcquired Kind = "fence_taken"          // An agent acquired the fencing token of its engine.
	KindEndpointDraining     Kind = "endpoint_draining"    // An endpoint started to drain. Detail: the reason.
	KindResponseDropped      Kind = "answer_dropped"       // A response that belongs to another attempt was dropped.
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
		KindRequestAborted,
		KindAdapterLoaded,
		KindAdapterUnloaded,
		KindAdapterLoadFailed,
		KindEngineRestarted,
		KindRevisionInForce,
		KindStoreUnavailable,
		KindStoreRecovered,
		KindKeyWithdrawn,
		KindSharesReassigned,
		KindMemberJoined,
		KindMemberRemoved,
		KindQuarantined,
		KindIdempotencyClaimed,
		KindIdempotencyReplayed,
		KindFencingTokenAcquired,
		KindEndpointDraining,
		KindResponseDropped,
	}
}

// Known reports whether k is one of Kinds.
func (k Kind) Known() bool {
	return slices.Contains(Kinds(), k)
}

// MaxDetailBytes is the maximum length of an event's detail. A longer detail is
// truncated.
const MaxDetailBytes = 256

// Event is an event of one process.
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
	Detail       string             `json:"detail,omitempty"` // Reason or further information; its meaning depends on Kind.
}

// Ring stores the most recent events of one process. A nil Ring records
// nothing. It is safe for concurrent use.
type Ring struct {
	vm    ident.VM
	clock *hlc.Clock

	mu     sync.Mutex
	events []Event
	next   int  // Index of the next event to write.
	full   bool // Whether all of events are in use.
}

// NewRing returns a Ring for the process on vm that stores capacity events.
func NewRing(vm ident.VM, clock *hlc.Clock, capacity int) *Ring {
	return &Ring{vm: vm, clock: clock, events: make([]Event, capacity)}
}

// Record stores an event with the current timestamp and the ring's VM. A full
// ring overwrites its oldest event.
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

// Events returns the stored events, oldest first.
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

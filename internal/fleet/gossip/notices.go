// Package gossip spreads small facts between entries: liveness, the revision in
// force, the last confirmation by the store, and notices.
//
// Each entry exchanges facts with one other entry every ExchangeInterval. Ages in a
// response count from when the request was sent, so that neither a late
// response nor a paused process makes a fact look more recent than it is.
package gossip

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
)

const (
	// maxNotices bounds the notices that a process keeps.
	maxNotices = 1024
	// maxNoticesPerMessage bounds the notices of one message.
	maxNoticesPerMessage = 8
	// maxNoticeLifetime bounds the remaining time of a notice.
	maxNoticeLifetime = time.Hour
	// maxSubjectBytes bounds the subject of a notice.
	maxSubjectBytes = 64
	// noticeSends is the number of messages in which a process sends a notice
	// after it first receives the notice or an extension of it.
	noticeSends = 12
)

// NoticeKind is the kind of fact that a notice states.
type NoticeKind string

// NoticeQuarantine marks the fingerprint of a request that crashes endpoints.
const NoticeQuarantine NoticeKind = "quarantine"

// Notice is a fact that holds until it expires. Subject has at most 64 bytes
// and contains no key and no prompt text.
type Notice struct {
	Kind    NoticeKind
	Subject string
	Expires time.Time // Capped at maxNoticeLifetime from when the process stores it.
}

// Notices stores the notices in force in this process. It is safe for
// concurrent use.
type Notices struct {
	mu     sync.Mutex
	active map[noticeKey]*noticeState
}

type noticeKey struct {
	kind    NoticeKind
	subject string
}

type noticeState struct {
	expires        time.Time
	remainingSends int // Number of further messages that carry the notice.
}

// NewNotices returns an empty Notices.
func NewNotices() *Notices {
	return &Notices{active: make(map[noticeKey]*noticeState)}
}

// Publish puts a notice in force in this process and includes it in the next
// noticeSends messages.
func (n *Notices) Publish(notice Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.add(notice, time.Now())
}

// Active reports whether a notice is in force at now, and returns its expiry.
func (n *Notices) Active(kind NoticeKind, subject string, now time.Time) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	state, ok := n.active[noticeKey{kind, subject}]
	if !ok || !state.expires.After(now) {
		return time.Time{}, false
	}
	return state.expires, true
}

// add stores a notice. It ignores expired notices, notices with a too long
// subject, and notices that are already stored with the same or a later expiry.
// n.mu must be held.
func (n *Notices) add(notice Notice, now time.Time) {
	expires := notice.Expires
	if latest := now.Add(maxNoticeLifetime); expires.After(latest) {
		expires = latest
	}
	if !expires.After(now) || len(notice.Subject) > maxSubjectBytes {
		return
	}
	// Messages carry milliseconds. With a finer expiry, each entry would treat
	// the copies of other entries as extended notices.
	expires = expires.Truncate(time.Millisecond)
	key := noticeKey{notice.Kind, notice.Subject}
	if state, ok := n.active[key]; ok && !expires.After(state.expires) {
		return
	}
	n.active[key] = &noticeState{expires: expires, remainingSends: noticeSends}
	n.evict(now)
}

// evict removes the expired notices if more than maxNotices are stored. If
// there are still too many, it removes the one that expires first. n.mu must be
// held.
func (n *Notices) evict(now time.Time) {
	if len(n.active) <= maxNotices {
		return
	}
	var first noticeKey
	var soonest time.Time
	for key, state := range n.active {
		if !state.expires.After(now) {
			delete(n.active, key)
			continue
		}
		if soonest.IsZero() || state.expires.Before(soonest) {
			first, soonest = key, state.expires
		}
	}
	if len(n.active) > maxNotices {
		delete(n.active, first)
	}
}

// nextNotices returns the notices for the next message, those with the most
// remaining sends first, and counts them as sent.
func (n *Notices) nextNotices(now time.Time) []*rpc.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var pending []noticeKey
	for key, state := range n.active {
		if state.remainingSends > 0 && state.expires.After(now) {
			pending = append(pending, key)
		}
	}
	slices.SortFunc(pending, func(a, b noticeKey) int {
		if c := cmp.Compare(n.active[b].remainingSends, n.active[a].remainingSends); c != 0 {
			return c
		}
		return cmp.Compare(a.subject, b.subject)
	})
	var out []*rpc.Notice
	for _, key := range pending[:min(len(pending), maxNoticesPerMessage)] {
		state := n.active[key]
		state.remainingSends--
		out = append(out, &rpc.Notice{
			Kind: string(key.kind), Subject: key.subject, ExpiresMs: state.expires.UnixMilli(),
		})
	}
	return out
}

// merge adds the notices of a received message.
func (n *Notices) merge(now time.Time, notices []*rpc.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, notice := range notices[:min(len(notices), maxNoticesPerMessage)] {
		n.add(Notice{NoticeKind(notice.Kind), notice.Subject, time.UnixMilli(notice.ExpiresMs)}, now)
	}
}

// Package gossip exchanges small facts between entries: who lives, which
// revision is in force, when the store confirmed it, and notices.
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
	// maxShared bounds the notices of one message.
	maxShared = 8
	// maxNoticeLife bounds how long a notice may be in force.
	maxNoticeLife = time.Hour
	// maxSubjectBytes bounds a notice's subject.
	maxSubjectBytes = 64
	// shares is how many times a process passes a notice on after it has
	// learnt it or learnt that it lasts longer.
	shares = 12
)

// NoticeKind names what a notice is about.
type NoticeKind string

// NoticeQuarantine marks a request fingerprint that crashes endpoints.
const NoticeQuarantine NoticeKind = "quarantine"

// Notice is a fact that is true until it expires. Subject is at most 64 bytes
// and holds no key and no prompt text.
type Notice struct {
	Kind    NoticeKind
	Subject string
	Expires time.Time // At most an hour ahead.
}

// Notices keeps the notices in force in this process. It is safe for
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
	expires time.Time
	shares  int // Messages that are still to carry it.
}

// NewNotices returns an empty Notices.
func NewNotices() *Notices {
	return &Notices{active: make(map[noticeKey]*noticeState)}
}

// Publish puts a notice in force here and passes it on to the fleet.
func (n *Notices) Publish(notice Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.put(notice, time.Now())
}

// Active reports whether a notice is in force at now, and until when.
func (n *Notices) Active(kind NoticeKind, subject string, now time.Time) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	state, ok := n.active[noticeKey{kind, subject}]
	if !ok || !state.expires.After(now) {
		return time.Time{}, false
	}
	return state.expires, true
}

// put keeps a notice unless the same is kept for as long already.
func (n *Notices) put(notice Notice, now time.Time) {
	expires := notice.Expires
	if limit := now.Add(maxNoticeLife); expires.After(limit) {
		expires = limit
	}
	if !expires.After(now) || len(notice.Subject) > maxSubjectBytes {
		return
	}
	// Messages carry milliseconds; a finer time would make each entry take
	// the others' copies for longer ones.
	expires = expires.Truncate(time.Millisecond)
	key := noticeKey{notice.Kind, notice.Subject}
	if state, ok := n.active[key]; ok && !expires.After(state.expires) {
		return
	}
	n.active[key] = &noticeState{expires: expires, shares: shares}
	n.trim(now)
}

// trim drops the expired notices and, above the bound, those that expire
// first.
func (n *Notices) trim(now time.Time) {
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

// share returns the notices that the next message is to carry.
func (n *Notices) share(now time.Time) []*rpc.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var due []noticeKey
	for key, state := range n.active {
		if state.shares > 0 && state.expires.After(now) {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b noticeKey) int {
		if c := cmp.Compare(n.active[b].shares, n.active[a].shares); c != 0 {
			return c
		}
		return cmp.Compare(a.subject, b.subject)
	})
	var out []*rpc.Notice
	for _, key := range due[:min(len(due), maxShared)] {
		state := n.active[key]
		state.shares--
		out = append(out, &rpc.Notice{
			Kind: string(key.kind), Subject: key.subject, ExpiresMs: state.expires.UnixMilli(),
		})
	}
	return out
}

// merge takes the notices of a message.
func (n *Notices) merge(now time.Time, notices []*rpc.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, notice := range notices[:min(len(notices), maxShared)] {
		n.put(Notice{NoticeKind(notice.Kind), notice.Subject, time.UnixMilli(notice.ExpiresMs)}, now)
	}
}

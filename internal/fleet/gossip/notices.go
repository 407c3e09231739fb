// Package gossip spreads small facts between entries.
package gossip

import (
	"sync"
	"time"
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
	Expires time.Time
}

// Notices keeps the notices in force in this process. It is safe for
// concurrent use.
type Notices struct {
	mu     sync.Mutex
	active map[noticeKey]time.Time
}

type noticeKey struct {
	kind    NoticeKind
	subject string
}

// NewNotices returns an empty Notices.
func NewNotices() *Notices {
	return &Notices{active: make(map[noticeKey]time.Time)}
}

// Publish puts a notice in force here and passes it on to the fleet.
func (n *Notices) Publish(notice Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := noticeKey{notice.Kind, notice.Subject}
	if notice.Expires.After(n.active[key]) {
		n.active[key] = notice.Expires
	}
}

// Active reports whether a notice is in force at now, and until when.
func (n *Notices) Active(kind NoticeKind, subject string, now time.Time) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	expires, ok := n.active[noticeKey{kind, subject}]
	if !ok || !expires.After(now) {
		return time.Time{}, false
	}
	return expires, true
}

package router

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/pause"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/turns"
	"github.com/hyssoptiller/hyssoptiller/internal/turncall"
)

// errNoReply says that a scheduler did not answer a request for a turn.
const errNoReply = errors.ConstError("scheduler did not answer")

const (
	// linkSilent is how old a snapshot may be; a scheduler sends one at least
	// every 600 ms.
	linkSilent = 1500 * time.Millisecond
	// linkRetry is the pause before a scheduler that is lost is called again.
	linkRetry = 200 * time.Millisecond
	// sentFor is how long a turn that was asked for may be missing in the
	// snapshots.
	sentFor = 250 * time.Millisecond
	// remembered is how many adapters an engine is expected to load quickly, those
	// that it holds included: 42 and 7 to 9 on the sheets, less some that came
	// and went between two snapshots.
	remembered = 44
	// replySlack is added to a turn's patience before the scheduler counts as
	// silent.
	replySlack = 500 * time.Millisecond
)

// link is the connection to the scheduler beside one engine.
type link struct {
	address string // Of the scheduler.
	client  *http.Client
	log     *logrus.Entry
	cancel  context.CancelFunc

	mu       sync.Mutex
	snapshot turns.Snapshot
	seen     time.Time
	sent     []sentTurn
	held     map[catalog.AdapterKey]time.Time // Adapters of this incarnation, when they were seen last.
}

// sentTurn is a turn that was asked for a moment ago.
type sentTurn struct {
	at   time.Time
	ms   float64 // Of reading.
	load bool    // Needs a load from the weight store.
}

// watch reads snapshots until ctx ends.
func (l *link) watch(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := l.read(ctx, &lost)
		if ctx.Err() != nil {
			return
		}
		if !lost {
			lost = true
			l.log.WithError(err).WithField("event", "scheduler_lost").WithField("scheduler", l.address).Warn("scheduler lost")
		}
		if pause.For(ctx, linkRetry) != nil {
			return
		}
	}
}

func (l *link) read(ctx context.Context, lost *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(linkSilent, cancel)
	defer silent.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.address+turncall.PathState, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	lines := json.NewDecoder(resp.Body)
	for {
		var s turns.Snapshot
		if err := lines.Decode(&s); err != nil {
			return errors.Trace(err)
		}
		silent.Reset(linkSilent)
		if *lost {
			*lost = false
			l.log.WithField("event", "scheduler_up").WithField("scheduler", l.address).Info("scheduler answers")
		}
		l.take(s, time.Now())
	}
}

// take takes a snapshot.
func (l *link) take(s turns.Snapshot, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil || s.Born != l.snapshot.Born {
		l.held = make(map[catalog.AdapterKey]time.Time)
	}
	for _, a := range s.Adapters {
		l.held[catalog.AdapterKey{Model: a.Model, Adapter: a.Adapter}] = now
	}
	for len(l.held) > remembered {
		l.forgetOldest()
	}
	l.snapshot, l.seen = s, now
}

func (l *link) forgetOldest() {
	var oldest catalog.AdapterKey
	var at time.Time
	for key, seen := range l.held {
		if at.IsZero() || seen.Before(at) {
			oldest, at = key, seen
		}
	}
	delete(l.held, oldest)
}

// remembers reports whether the engine held an adapter lately.
func (l *link) remembers(key catalog.AdapterKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, held := l.held[key]
	return held
}

// linkState is what a router knows of an engine at one moment.
type linkState struct {
	snapshot turns.Snapshot
	fresh    bool    // The snapshot is recent.
	sentMS   float64 // Reading of the turns that were asked for since.
	asked    int     // Loads from the weight store that were asked for since.
}

func (l *link) state(now time.Time) linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := linkState{snapshot: l.snapshot, fresh: now.Sub(l.seen) < linkSilent}
	kept := l.sent[:0]
	for _, t := range l.sent {
		if now.Sub(t.at) >= sentFor {
			continue
		}
		kept = append(kept, t)
		s.sentMS += t.ms
		if t.load && t.at.After(l.seen) {
			s.asked++
		}
	}
	l.sent = kept
	return s
}

// noteSent notes a turn that is asked for, with the milliseconds of its reading.
func (l *link) noteSent(now time.Time, ms float64, load bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, sentTurn{at: now, ms: ms, load: load})
}

// turn is a granted turn. It is held until release.
type turn struct {
	reply   turncall.Reply
	release func()
}

// ask asks for a turn and waits for the reply. The turn is held until release.
func (l *link) ask(ctx context.Context, ask turncall.Ask) (*turn, turncall.Reply, error) {
	data, err := json.Marshal(ask)
	if err != nil {
		return nil, turncall.Reply{}, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	late := time.AfterFunc(time.Duration(ask.PatienceMS)*time.Millisecond+replySlack, cancel)
	defer late.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address+turncall.PathTurn, bytes.NewReader(data))
	if err != nil {
		cancel()
		return nil, turncall.Reply{}, errors.Trace(err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		cancel()
		return nil, turncall.Reply{}, errors.WithType(err, errNoReply)
	}
	lines := json.NewDecoder(resp.Body)
	var reply turncall.Reply
	if err := lines.Decode(&reply); err != nil || !reply.Granted || !late.Stop() {
		_ = resp.Body.Close()
		cancel()
		if err != nil {
			return nil, reply, errors.WithType(err, errNoReply)
		}
		reply.Granted = false
		return nil, reply, nil
	}
	t := &turn{reply: reply, release: func() {
		cancel()
		_ = resp.Body.Close()
	}}
	return t, reply, nil
}

// links are the links to all engines of the view, by the engine's address.
type links struct {
	port   int
	client *http.Client
	log    *logrus.Entry

	mu  sync.Mutex
	all map[string]*link
}

func newLinks(port int, transport http.RoundTripper, log *logrus.Entry) *links {
	return &links{port: port, client: &http.Client{Transport: transport}, log: log, all: make(map[string]*link)}
}

// sync opens links to the engines of a view and closes those to others.
func (ls *links) sync(ctx context.Context, v *catalog.View) {
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
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for address, l := range ls.all {
		if !wanted[address] {
			l.cancel()
			delete(ls.all, address)
		}
	}
	for address := range wanted {
		if ls.all[address] == nil {
			ls.open(ctx, address)
		}
	}
}

func (ls *links) open(ctx context.Context, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		ls.log.WithError(err).WithField("address", address).Warn("engine without a usable address")
		return
	}
	own, cancel := context.WithCancel(ctx)
	l := &link{
		address: net.JoinHostPort(host, strconv.Itoa(ls.port)), client: ls.client, log: ls.log, cancel: cancel,
	}
	ls.all[address] = l
	go l.watch(own)
}

// to returns the link to the engine at an address, or nil.
func (ls *links) to(address string) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.all[address]
}

package timeline

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	defaultConcurrency = 16
	defaultCallTimeout = 2 * time.Second
	defaultTimeout     = 8 * time.Second
	defaultLimit       = 1000 // Events.
	maxReasonBytes     = 120
)

// Peer is another process with a ring.
type Peer struct {
	VM  ident.VM
	URL string // Scheme, host and port of its fleet address.
}

// GathererOptions configures NewGatherer. Concurrency and the timeouts have
// defaults for values that are not positive.
type GathererOptions struct {
	Ring        *Ring          // Ring of this process.
	HTTP        rpc.HTTPClient // Adds the fleet's credentials.
	Peers       func() []Peer  // All other processes on the VM list.
	Concurrency int            // Maximum number of concurrent calls.
	CallTimeout time.Duration  // Maximum duration of one call.
	Timeout     time.Duration  // Maximum duration of Gather.
}

// Gatherer merges the rings of all processes into one timeline.
type Gatherer struct {
	opts GathererOptions
}

// NewGatherer returns a Gatherer.
func NewGatherer(opts GathererOptions) *Gatherer {
	if opts.Concurrency <= 0 {
		opts.Concurrency = defaultConcurrency
	}
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	return &Gatherer{opts: opts}
}

// UnreachableProcess is a process whose ring could not be read.
type UnreachableProcess struct {
	VM     ident.VM `json:"vm"`
	Reason string   `json:"reason"`
}

// Merged is the merged timeline.
type Merged struct {
	Events      []Event              `json:"events"`         // Ordered by time, oldest first.
	More        bool                 `json:"more"`           // Whether the limit excluded older events that match.
	Unreachable []UnreachableProcess `json:"silent"`         // Processes whose ring could not be read, ordered by VM.
	Queried     int                  `json:"asked"`          // Number of processes queried, including this one.
	Overwritten []ident.VM           `json:"lost,omitempty"` // Processes whose ring may have overwritten events after Filter.After.
}

// Gather reads the rings of all processes and merges the events that match. It
// returns after GathererOptions.Timeout at the latest; processes that did not
// respond by then are listed in Merged.Unreachable. It holds at most f.Limit
// events and one page for each concurrent call. A limit outside 1 to MaxPage is
// replaced by defaultLimit.
func (g *Gatherer) Gather(ctx context.Context, f Filter) Merged {
	if f.Limit <= 0 || f.Limit > MaxPage {
		f.Limit = defaultLimit
	}
	ctx, cancel := context.WithTimeout(ctx, g.opts.Timeout)
	defer cancel()
	m := &merger{filter: f}
	m.addPage(g.opts.Ring.vm, g.opts.Ring.Read(f))
	var group errgroup.Group
	group.SetLimit(g.opts.Concurrency)
	for _, p := range g.opts.Peers() {
		group.Go(func() error {
			g.queryPeer(ctx, p, m)
			return nil
		})
	}
	_ = group.Wait()
	return m.result()
}

// queryPeer reads the ring of one process and adds the result to m.
func (g *Gatherer) queryPeer(ctx context.Context, p Peer, m *merger) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.CallTimeout)
	defer cancel()
	client := rpc.NewTimelineProtobufClient(p.URL, g.opts.HTTP)
	resp, err := client.Read(ctx, filterToRPC(m.filter))
	if err != nil {
		m.addFailure(p.VM, err)
		return
	}
	page := Page{More: resp.GetMore(), Oldest: timeFromRPC(resp.GetOldest())}
	for _, e := range resp.GetEvents() {
		page.Events = append(page.Events, eventFromRPC(e))
	}
	m.addPage(p.VM, page)
}

// merger merges pages into one Merged. It is safe for concurrent use.
type merger struct {
	filter Filter
	mu     sync.Mutex
	merged Merged
}

// addPage merges the page of one process. It keeps the newest events up to the
// filter's limit.
func (m *merger) addPage(vm ident.VM, page Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merged.Queried++
	m.merged.More = m.merged.More || page.More
	if m.filter.After.Wall > 0 && m.filter.After.Before(page.Oldest) {
		m.merged.Overwritten = append(m.merged.Overwritten, vm)
	}
	m.merged.Events = append(m.merged.Events, page.Events...)
	slices.SortFunc(m.merged.Events, compareEvents)
	if extra := len(m.merged.Events) - m.filter.Limit; extra > 0 {
		m.merged.More = true
		m.merged.Events = append([]Event(nil), m.merged.Events[extra:]...)
	}
}

// addFailure records that the ring of one process could not be read. The reason
// is truncated to maxReasonBytes.
func (m *merger) addFailure(vm ident.VM, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merged.Queried++
	reason := err.Error()
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	m.merged.Unreachable = append(m.merged.Unreachable, UnreachableProcess{VM: vm, Reason: reason})
}

func (m *merger) result() Merged {
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortFunc(m.merged.Unreachable, func(a, b UnreachableProcess) int { return cmp.Compare(a.VM, b.VM) })
	slices.Sort(m.merged.Overwritten)
	return m.merged
}

// compareEvents orders events by time, then by VM.
func compareEvents(a, b Event) int {
	if a.Time.Before(b.Time) {
		return -1
	}
	if b.Time.Before(a.Time) {
		return 1
	}
	return cmp.Compare(a.VM, b.VM)
}

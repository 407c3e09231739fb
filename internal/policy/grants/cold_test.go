package grants

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/coldstart"
)

var coldSettings = coldstart.Settings{Period: 3 * time.Second, PerSecond: 6.9}

// coldModel is an engine that is cold after its starts and from time to time, and its scheduler. Incarnations are
// the starts of the engine by a clock that is set meanwhile.
type coldModel struct {
	t           *rapid.T
	settings    coldstart.Settings
	machine     *Machine
	incarnation int64
	coldUntil   time.Time
	received    []time.Time // Requests that the current incarnation received while it was cold.
	names       map[RequestID]int64
	schedulerAt time.Time // Start of the scheduler.
	stated      bool      // Routers state how long the engine remains cold.
}

func (c *coldModel) limits() Limits {
	limits := testLimits(2)
	limits.Slots, limits.KVTokens, limits.Cold = 1000, 1e9, c.settings
	return limits
}

func (c *coldModel) startEngine(now time.Time) {
	clockSet := time.Duration(rapid.IntRange(-20_000, 5000).Draw(c.t, "clock set by")) * time.Millisecond
	c.incarnation = max(c.incarnation+1, now.Add(-clockSet).UnixMilli())
	c.coldUntil, c.received = now.Add(c.settings.Period), nil
}

func (c *coldModel) startScheduler(now time.Time) {
	c.machine, c.names, c.schedulerAt = New(DefaultConfig()), make(map[RequestID]int64), now
}

// request requests a grant for a router that knows the current incarnation, or only a former one.
func (c *coldModel) request(id RequestID, now time.Time) {
	c.names[id] = c.incarnation - int64(rapid.IntRange(0, 1).Draw(c.t, "late"))
	if c.stated {
		c.machine.ObserveCold(c.names[id], c.coldUntil.Sub(now), now)
	}
	c.machine.RequestGrant(Request{
		ID: id, Key: catalog.AdapterKey{Model: "base"}, PromptTokens: 1, MaxOutputTokens: 1, Incarnation: c.names[id],
		MaxWait: time.Duration(rapid.IntRange(1, 2000).Draw(c.t, "max wait")) * time.Millisecond,
	}, now)
}

// checkReceived fails the test if a cold engine received more requests in 1 s than the bound of the design page.
func (c *coldModel) checkReceived(now time.Time) {
	for _, d := range c.machine.TakeDecisions() {
		if d.Granted && c.names[d.ID] == c.incarnation && now.Before(c.coldUntil) {
			c.received = append(c.received, now)
		}
		if d.Refusal == RefusalCold && (d.ExpectedWait <= 0 || d.ExpectedWait > c.settings.Period) {
			c.t.Fatalf("request %d refused with an expected wait of %s, want at most the period", d.ID, d.ExpectedWait)
		}
	}
	n := 0
	for _, at := range c.received {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if most := 1.5*c.settings.PerSecond + 5; float64(n) > most {
		c.t.Fatalf("cold engine received %d requests in 1 s, want at most %.1f", n, most)
	}
}

// Many routers ask without a pause while engine and scheduler start again and are suspended, clocks are set, routers
// learn of a start late, and the limits arrive late. A cold engine must never receive more than it sustains.
func TestColdEngineReceivesNoMoreThanItSustains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &coldModel{t: t, settings: coldstart.Settings{
			Period: 3 * time.Second, PerSecond: rapid.Float64Range(0.5, 20).Draw(t, "per second"),
		}, stated: rapid.Bool().Draw(t, "stated")}
		now := start
		c.startEngine(now)
		c.startScheduler(now)
		id := RequestID(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 250).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0:
				c.startEngine(now)
			case 1:
				if now.Sub(c.schedulerAt) > 500*time.Millisecond { // A process takes longer to start.
					c.startScheduler(now)
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "suspended")) * time.Millisecond)
			case 3: // Becomes cold again, which only routers see. A scheduler that starts again learns it from them.
				if c.stated && c.machine.Incarnation() == c.incarnation {
					c.coldUntil = now.Add(c.settings.Period)
					c.machine.ObserveCold(c.incarnation, c.settings.Period, now)
				}
			case 4, 5:
				c.machine.SetLimits(c.limits())
			case 6, 7, 8:
				c.machine.ApplyReport(Report{Incarnation: c.incarnation, Models: []string{"base"}}, now)
			default:
				for range 20 {
					id++
					c.request(id, now)
				}
			}
			c.checkReceived(now)
		}
	})
}

// The wait of a cold engine must show in snapshots, so that work goes elsewhere, and must end with the cold time.
// What a router states on another incarnation has no effect.
func TestSnapshotShowsWaitOfColdEngine(t *testing.T) {
	m := newTestMachine(2)
	limits := testLimits(2)
	limits.Cold = coldSettings
	m.ApplyReport(Report{Incarnation: at(10).UnixMilli(), Models: []string{"base"}}, at(10))
	m.SetLimits(limits) // Known later than the first report.
	for id := range RequestID(5) {
		m.RequestGrant(Request{ID: id, Key: catalog.AdapterKey{Model: "base"}, PromptTokens: 1}, at(20))
	}
	if n := len(m.TakeDecisions()); n != 1 {
		t.Errorf("decisions on 5 requests to a cold engine = %d, want one grant", n)
	}
	if ms := m.Snapshot(at(20)).RateWaitMS; ms < 700 || ms > 730 {
		t.Errorf("rate wait with 4 queued requests at 6.9/s = %d ms, want about 725", ms)
	}
	if ms := m.Snapshot(at(2900)).RateWaitMS; ms > 110 {
		t.Errorf("rate wait 110 ms before the end of the cold time = %d ms, want no more", ms)
	}
	m.RequestGrant(Request{ID: 9, Key: catalog.AdapterKey{Model: "base"}, PromptTokens: 1}, at(3011))
	if n, ms := len(m.TakeDecisions()), m.Snapshot(at(3011)).RateWaitMS; n != 5 || ms != 0 {
		t.Errorf("after the cold time: %d decisions and a rate wait of %d ms, want 5 grants and 0", n, ms)
	}
	m.ObserveCold(at(9).UnixMilli(), time.Second, at(3020))
	if ms := m.Snapshot(at(3020)).RateWaitMS; ms != 0 {
		t.Errorf("rate wait after a statement on a former incarnation = %d ms, want 0", ms)
	}
	m.ObserveCold(at(10).UnixMilli(), time.Second, at(3030))
	if c := m.Cold(); c.Source != coldstart.SourceRouter || c.Remaining(at(3030)) != time.Second {
		t.Errorf("cold after a statement on the incarnation = %+v, want 1 s", c)
	}
}

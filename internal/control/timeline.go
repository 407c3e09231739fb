package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/gather"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	followInterval = time.Second
	// followOverlap is read again by each poll, so that events of a process
	// that answered late or whose clock lags are not passed over.
	followOverlap = 15 * time.Second
	clockLayout   = "15:04:05.000"
	columnWidth   = 8
	shortAttempt  = 8 // Characters of an attempt id that tell attempts apart.
)

const timelineHelp = `Shows the events of all processes in one order.

Examples:
  hyssopctl timeline --request 4f1c2a
  hyssopctl timeline --organisation smithy --since 10m
  hyssopctl timeline --endpoint engine-3 --kind adapter_loaded --follow
  hyssopctl timeline --output json | jq .kind`

// timelineCommand holds the arguments of the command timeline.
type timelineCommand struct {
	program *Program
	filter  timeline.Filter
	since   time.Duration
	follow  bool
}

func addTimeline(p *Program) {
	c := &timelineCommand{program: p}
	clause := p.App.Command("timeline", timelineHelp)
	clause.Flag("request", "Only events of this request.").StringVar((*string)(&c.filter.Request))
	clause.Flag("organisation", "Only events of this organisation.").StringVar((*string)(&c.filter.Organisation))
	clause.Flag("endpoint", "Only events of this endpoint.").StringVar((*string)(&c.filter.Endpoint))
	clause.Flag("kind", "Only events of this kind.").EnumVar((*string)(&c.filter.Kind), kindNames()...)
	clause.Flag("since", "Only events of so long ago or later.").DurationVar(&c.since)
	clause.Flag("limit", "Largest number of events, the newest ones.").Default("1000").IntVar(&c.filter.Limit)
	clause.Flag("follow", "Goes on with events as they come.").Short('f').BoolVar(&c.follow)
	p.Handle(clause, c.run)
}

func kindNames() []string {
	var names []string
	for _, k := range timeline.Kinds() {
		names = append(names, string(k))
	}
	return names
}

// Timeline returns the events of the fleet that match.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (timeline.Gathered, error) {
	var out timeline.Gathered
	err := c.json(ctx, http.MethodGet, "/timeline?"+gather.Query(f).Encode(), &out)
	return out, err
}

func (c *timelineCommand) run(ctx context.Context) error {
	if c.since > 0 {
		c.filter.After = hlc.Timestamp{Wall: time.Now().Add(-c.since).UnixNano()}
	}
	client := c.program.Client()
	out := &eventPrinter{out: c.program.Out, json: *c.program.output == outputJSON, ofOneRequest: c.filter.Request != ""}
	gathered, err := client.Timeline(ctx, c.filter)
	if err != nil {
		return err
	}
	if err := out.print(gathered); err != nil || !c.follow {
		return err
	}
	return c.goOn(ctx, client, out, gathered.Events)
}

// goOn polls until the command is interrupted.
func (c *timelineCommand) goOn(ctx context.Context, client *Client, out *eventPrinter, shown []timeline.Event) error {
	seen := make(seenEvents)
	seen.fresh(shown, time.Now())
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if err := c.poll(ctx, client, out, seen, now); err != nil {
				return err
			}
		}
	}
}

func (c *timelineCommand) poll(ctx context.Context, client *Client, out *eventPrinter, seen seenEvents, now time.Time) error {
	f := c.filter
	f.After = hlc.Timestamp{Wall: now.Add(-followOverlap).UnixNano()}
	gathered, err := client.Timeline(ctx, f)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	gathered.Events = seen.fresh(gathered.Events, now)
	return out.print(gathered)
}

// eventID is what makes an event unique: no process stamps two events alike.
type eventID struct {
	vm   ident.VM
	time hlc.Timestamp
}

// seenEvents holds the events that were shown within the overlap.
type seenEvents map[eventID]bool

// fresh returns the events that were not shown before, and forgets those that
// no later poll can return.
func (s seenEvents) fresh(events []timeline.Event, now time.Time) []timeline.Event {
	var out []timeline.Event
	for _, e := range events {
		id := eventID{e.VM, e.Time}
		if !s[id] {
			s[id] = true
			out = append(out, e)
		}
	}
	oldest := now.Add(-2 * followOverlap).UnixNano()
	for id := range s {
		if id.time.Wall < oldest {
			delete(s, id)
		}
	}
	return out
}

// eventPrinter prints events as JSON lines or as a table.
type eventPrinter struct {
	out          io.Writer
	json         bool
	ofOneRequest bool // Whether the column of the request is left out.
	began        bool
	notice       string // Last notice on missing events, so that it is given once.
}

func (p *eventPrinter) print(g timeline.Gathered) error {
	if p.json {
		return p.printLines(g)
	}
	w := tabwriter.NewWriter(p.out, columnWidth, 0, 2, ' ', 0)
	if !p.began {
		p.began = true
		fmt.Fprintln(w, strings.Join(p.heading(), "\t"))
	}
	for _, e := range g.Events {
		fmt.Fprintln(w, strings.Join(p.row(e), "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return p.printNotice(missing(g))
}

func (p *eventPrinter) heading() []string {
	if p.ofOneRequest {
		return []string{"TIME", "VM", "EVENT", "ORGANISATION", "ENDPOINT", "BUILD", "ATTEMPT", "DETAIL"}
	}
	return []string{"TIME", "VM", "EVENT", "REQUEST", "ORGANISATION", "ENDPOINT", "BUILD", "ATTEMPT", "DETAIL"}
}

func (p *eventPrinter) row(e timeline.Event) []string {
	row := []string{e.Time.Time().Format(clockLayout), string(e.VM), string(e.Kind)}
	if !p.ofOneRequest {
		row = append(row, orDash(string(e.Request)))
	}
	attempt := string(e.Attempt)
	return append(row, orDash(string(e.Organisation)), orDash(string(e.Endpoint)), orDash(buildOf(e)),
		orDash(attempt[:min(len(attempt), shortAttempt)]), orDash(e.Detail))
}

func buildOf(e timeline.Event) string {
	if e.Adapter == "" {
		return ""
	}
	return string(e.Adapter) + "@" + string(e.Version)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// printLines prints an event a line, and where events are missing a last line
// that says whose.
func (p *eventPrinter) printLines(g timeline.Gathered) error {
	encoder := json.NewEncoder(p.out)
	for _, e := range g.Events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	notice := missing(g)
	if notice == "" || notice == p.notice {
		return nil
	}
	p.notice = notice
	g.Events = nil
	return encoder.Encode(missingLine{More: g.More, Silent: g.Silent, Lost: g.Lost})
}

type missingLine struct {
	More   bool              `json:"more"`
	Silent []timeline.Silent `json:"silent"`
	Lost   []ident.VM        `json:"lost"`
}

func (p *eventPrinter) printNotice(notice string) error {
	if notice == p.notice {
		return nil
	}
	p.notice = notice
	_, err := io.WriteString(p.out, notice)
	return err
}

// missing says in words which events are missing, or returns "".
func missing(g timeline.Gathered) string {
	var b strings.Builder
	for _, s := range g.Silent {
		fmt.Fprintf(&b, "no answer from %s: %s\n", s.VM, s.Reason)
	}
	for _, vm := range g.Lost {
		fmt.Fprintf(&b, "%s keeps no events back to that time\n", vm)
	}
	if g.More {
		b.WriteString("older events were left out, narrow the filters or raise --limit\n")
	}
	return b.String()
}

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

	"github.com/hyssoptiller/hyssoptiller/internal/entry/timelineapi"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	followInterval = time.Second
	// Each poll requests the events of the last followOverlap again. Otherwise it
	// would miss events of a process that responded late or whose clock is slow.
	followOverlap       = 15 * time.Second
	clockLayout         = "15:04:05.000"
	minCellWidth        = 8
	attemptPrefixLength = 8 // Number of characters shown of an attempt id; enough to tell attempts apart.
)

const timelineHelp = `Shows the events of all processes, ordered by time.

Examples:
  hyssopctl timeline --request 4f1c2a
  hyssopctl timeline --organisation smithy --since 10m
  hyssopctl timeline --endpoint engine-3 --kind adapter_loaded --follow
  hyssopctl timeline --output json | jq .kind`

// timelineCommand holds the arguments of the timeline command.
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
	clause.Flag("since", "Maximum age of the events, such as 10m.").DurationVar(&c.since)
	clause.Flag("limit", "Maximum number of events; older ones are left out.").Default("1000").IntVar(&c.filter.Limit)
	clause.Flag("follow", "Continues to show new events until interrupted.").Short('f').BoolVar(&c.follow)
	p.Handle(clause, c.run)
}

func kindNames() []string {
	var names []string
	for _, k := range timeline.Kinds() {
		names = append(names, string(k))
	}
	return names
}

// Timeline returns the events of the fleet that match the filter.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (timeline.Merged, error) {
	var out timeline.Merged
	err := c.callJSON(ctx, http.MethodGet, "/timeline?"+timelineapi.EncodeQuery(f).Encode(), &out)
	return out, err
}

func (c *timelineCommand) run(ctx context.Context) error {
	if c.since > 0 {
		c.filter.After = hlc.Timestamp{Wall: time.Now().Add(-c.since).UnixNano()}
	}
	client := c.program.Client()
	printer := &eventPrinter{out: c.program.Out, json: *c.program.output == outputJSON, hideRequest: c.filter.Request != ""}
	merged, err := client.Timeline(ctx, c.filter)
	if err != nil {
		return err
	}
	if err := printer.print(merged); err != nil || !c.follow {
		return err
	}
	return c.followEvents(ctx, client, printer, merged.Events)
}

// followEvents polls for new events until the command is interrupted.
func (c *timelineCommand) followEvents(ctx context.Context, client *Client, printer *eventPrinter, shown []timeline.Event) error {
	seen := make(seenEvents)
	seen.filterNew(shown, time.Now())
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if err := c.poll(ctx, client, printer, seen, now); err != nil {
				return err
			}
		}
	}
}

// poll requests the events of the last followOverlap and prints those that are not
// in seen.
func (c *timelineCommand) poll(ctx context.Context, client *Client, printer *eventPrinter, seen seenEvents, now time.Time) error {
	f := c.filter
	f.After = hlc.Timestamp{Wall: now.Add(-followOverlap).UnixNano()}
	merged, err := client.Timeline(ctx, f)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	merged.Events = seen.filterNew(merged.Events, now)
	return printer.print(merged)
}

// eventID identifies an event: a process gives no two events the same timestamp.
type eventID struct {
	vm   ident.VM
	time hlc.Timestamp
}

// seenEvents holds the events that were shown and that a later poll can return
// again.
type seenEvents map[eventID]bool

// filterNew returns the events that were not shown before and adds them to s. It
// removes events older than twice followOverlap, which no later poll returns.
func (s seenEvents) filterNew(events []timeline.Event, now time.Time) []timeline.Event {
	var out []timeline.Event
	for _, e := range events {
		id := eventID{e.VM, e.Time}
		if !s[id] {
			s[id] = true
			out = append(out, e)
		}
	}
	oldestKept := now.Add(-2 * followOverlap).UnixNano()
	for id := range s {
		if id.time.Wall < oldestKept {
			delete(s, id)
		}
	}
	return out
}

// eventPrinter prints events as JSON, one line per event, or as a table.
type eventPrinter struct {
	out            io.Writer
	json           bool
	hideRequest    bool // Whether the REQUEST column is left out.
	headingPrinted bool
	lastNotice     string // Last printed notice on missing events. It is not repeated until it changes.
}

// print writes the events, and a notice if events are missing.
func (p *eventPrinter) print(merged timeline.Merged) error {
	if p.json {
		return p.printLines(merged)
	}
	w := tabwriter.NewWriter(p.out, minCellWidth, 0, 2, ' ', 0)
	if !p.headingPrinted {
		p.headingPrinted = true
		fmt.Fprintln(w, strings.Join(p.heading(), "\t"))
	}
	for _, e := range merged.Events {
		fmt.Fprintln(w, strings.Join(p.row(e), "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return p.printNotice(missingNotice(merged))
}

func (p *eventPrinter) heading() []string {
	if p.hideRequest {
		return []string{"TIME", "VM", "EVENT", "ORGANISATION", "ENDPOINT", "BUILD", "ATTEMPT", "DETAIL"}
	}
	return []string{"TIME", "VM", "EVENT", "REQUEST", "ORGANISATION", "ENDPOINT", "BUILD", "ATTEMPT", "DETAIL"}
}

func (p *eventPrinter) row(e timeline.Event) []string {
	row := []string{e.Time.Time().Format(clockLayout), string(e.VM), string(e.Kind)}
	if !p.hideRequest {
		row = append(row, orDash(string(e.Request)))
	}
	attempt := string(e.Attempt)
	return append(row, orDash(string(e.Organisation)), orDash(string(e.Endpoint)), orDash(buildOf(e)),
		orDash(attempt[:min(len(attempt), attemptPrefixLength)]), orDash(e.Detail))
}

// buildOf returns the adapter build of the event, or "" if it has none.
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

// printLines prints one JSON line per event. If events are missing, it adds a line
// that names the processes and the reasons.
func (p *eventPrinter) printLines(merged timeline.Merged) error {
	encoder := json.NewEncoder(p.out)
	for _, e := range merged.Events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	notice := missingNotice(merged)
	if notice == "" || notice == p.lastNotice {
		return nil
	}
	p.lastNotice = notice
	merged.Events = nil
	return encoder.Encode(missingEvents{More: merged.More, Silent: merged.Unreachable, Lost: merged.Overwritten})
}

// missingEvents is the JSON line on missing events.
type missingEvents struct {
	More   bool                          `json:"more"`
	Silent []timeline.UnreachableProcess `json:"silent"`
	Lost   []ident.VM                    `json:"lost"`
}

func (p *eventPrinter) printNotice(notice string) error {
	if notice == p.lastNotice {
		return nil
	}
	p.lastNotice = notice
	_, err := io.WriteString(p.out, notice)
	return err
}

// missingNotice describes which events are missing, one line per reason. It returns
// "" if none are missing.
func missingNotice(merged timeline.Merged) string {
	var b strings.Builder
	for _, s := range merged.Unreachable {
		fmt.Fprintf(&b, "no answer from %s: %s\n", s.VM, s.Reason)
	}
	for _, vm := range merged.Overwritten {
		fmt.Fprintf(&b, "%s keeps no events back to that time\n", vm)
	}
	if merged.More {
		b.WriteString("older events were left out, narrow the filters or raise --limit\n")
	}
	return b.String()
}

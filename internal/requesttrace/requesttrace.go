// Package requesttrace extracts the trace of one request from the logs of routers
// and schedulers. The trace consists of the log lines with the id of the request,
// and of the state changes of its endpoints and VMs that were logged shortly
// before or during the request.
package requesttrace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/logging"
)

// ErrNotFound means that no log line has the id of the request.
const ErrNotFound = errors.ConstError("no log line has this request id")

const (
	// leadTime is how long before a request a state change can still affect it. It
	// exceeds the 4 s after which a heartbeat expires and the 2 s for which an
	// endpoint stays blocked.
	leadTime = 5 * time.Second
	// maxLineBytes is the maximum length of a log line. The longest lines that
	// processes write take 2 KB.
	maxLineBytes = 1 << 20
)

// Line is one parsed line of a log.
type Line struct {
	Time   time.Time // Time of day; the date is 1 January of year 0, as time.Parse sets it.
	VM     string
	Event  string
	Fields map[string]any // Fields of the line except commonFields.
}

// commonFields are the fields that are not specific to an event. Line.Fields does
// not contain them.
var commonFields = []string{"time", "vm", "event", "level", "program", "msg"}

// Read parses the JSON lines of a log. It ignores text before the first brace of a
// line, such as the timestamp of a log collector. It skips lines that are not JSON
// objects or have no valid time. It returns an error if r fails or a line is
// longer than maxLineBytes.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Trace(scanner.Err())
}

// parseLine returns the Line of a line of text, and false if Read skips the line.
func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	timeOfDay, _ := fields["time"].(string)
	t, err := time.Parse(logging.TimeLayout, timeOfDay)
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: t, Fields: fields}
	l.VM, _ = fields["vm"].(string)
	l.Event, _ = fields["event"].(string)
	for _, name := range commonFields {
		delete(fields, name)
	}
	return l, true
}

// ForRequest returns the trace of a request: its own lines and the state changes
// that can have affected it, sorted by time. It returns ErrNotFound if no line has
// the id of the request.
func ForRequest(request string, lines []Line) ([]Line, error) {
	var requestLines []Line
	for _, l := range lines {
		if l.Fields["request"] == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil, errors.Annotate(ErrNotFound, request)
	}
	from, to := relevantPeriod(requestLines)
	subjects := subjectsOf(requestLines)
	trace := requestLines
	for _, l := range lines {
		if l.Fields["request"] == nil && !l.Time.Before(from) && !l.Time.After(to) && changesState(l, subjects) {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return trace, nil
}

// relevantPeriod returns the period in which state changes can affect a request. It
// begins leadTime before the earliest start of a line's operation, which is the
// time of the line minus its "took_ms", and ends at the last line.
func relevantPeriod(requestLines []Line) (from, to time.Time) {
	from, to = requestLines[0].Time, requestLines[0].Time
	for _, l := range requestLines {
		start := l.Time
		if ms, ok := l.Fields["took_ms"].(float64); ok {
			start = start.Add(-time.Duration(ms) * time.Millisecond)
		}
		if start.Before(from) {
			from = start
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	return from.Add(-leadTime), to
}

// subjectsOf returns the VMs that wrote the lines of a request, and the endpoints
// in their field "steps". Each step has the form ENDPOINT:OUTCOME.
func subjectsOf(requestLines []Line) map[string]bool {
	subjects := make(map[string]bool)
	for _, l := range requestLines {
		subjects[l.VM] = true
		steps, _ := l.Fields["steps"].([]any)
		for _, s := range steps {
			text, _ := s.(string)
			id, _, _ := strings.Cut(text, ":")
			subjects[id] = true
		}
	}
	return subjects
}

// stateEvents are the events that record a state change of a process or of an
// endpoint.
var stateEvents = []string{
	"endpoint", "endpoint_gone", "engine_lost", "engine_up", "scheduler_lost", "scheduler_up", "crash", "config",
	"quota_home", "quota_home_silent", "drain", "drain_closed", "start", "stop", "router_gone", "endpoint_rate_limit",
	"store_restored", "endpoint_draining", "endpoint_pushback", "endpoint_expired", "prompt_part", "evacuation",
}

// changesState reports whether l records a state change of the subjects. A change
// of an endpoint counts only if the VM that logged it is a subject too.
func changesState(l Line, subjects map[string]bool) bool {
	if !slices.Contains(stateEvents, l.Event) {
		return false
	}
	endpoint, _ := l.Fields["endpoint"].(string)
	if endpoint != "" {
		return subjects[endpoint] && subjects[l.VM]
	}
	return subjects[l.VM]
}

// FieldsText returns the fields in the form NAME=VALUE, sorted by name and
// separated by spaces.
func (l Line) FieldsText() string {
	keys := make([]string, 0, len(l.Fields))
	for key := range l.Fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	parts := make([]string, 0, len(keys))
	for _, key := range keys {
		parts = append(parts, fmt.Sprintf("%s=%v", key, l.Fields[key]))
	}
	return strings.Join(parts, " ")
}

// TimeOfDay returns the time of day in the layout logging.TimeLayout.
func (l Line) TimeOfDay() string { return l.Time.Format(logging.TimeLayout) }

package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/timelineapi"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
)

// testEvent returns an event of the entry entry-1 at the given time in nanoseconds.
func testEvent(wall int64, kind timeline.Kind) timeline.Event {
	return timeline.Event{
		Time: hlc.Timestamp{Wall: wall}, VM: "entry-1", Kind: kind, Request: "r-1", Organisation: "smithy",
		Attempt: "0123456789abcdef", Adapter: "syllabus", Version: "v1", Detail: "endpoint_busy",
	}
}

// runTimeline runs the timeline command against a server that responds with merged. It
// returns the output and the filter that the server received.
func runTimeline(t *testing.T, merged timeline.Merged, args ...string) (string, timeline.Filter) {
	t.Helper()
	var received timeline.Filter
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, err := timelineapi.ParseQuery(r.URL.Query())
		if err != nil {
			t.Error("parse the timeline query:", err)
		}
		received = f
		_ = json.NewEncoder(w).Encode(merged)
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	args = append([]string{"--operators", strings.TrimPrefix(server.URL, "http://"), "timeline"}, args...)
	if code := NewProgram(&out).Run(context.Background(), args, &errOut); code != ExitOK {
		t.Fatalf("exit code of timeline is %d, want ExitOK; errors: %s", code, errOut.String())
	}
	return out.String(), received
}

func TestTimelineTableShowsEventsAndUnreachableProcesses(t *testing.T) {
	merged := timeline.Merged{
		Events:      []timeline.Event{testEvent(int64(time.Hour), timeline.KindRequestRetried)},
		Unreachable: []timeline.UnreachableProcess{{VM: "engine-2", Reason: "timeout"}},
	}
	out, _ := runTimeline(t, merged)
	for _, want := range []string{
		"01:00:00.000", "request_retried", "syllabus@v1", "01234567 ", "endpoint_busy", "no answer from engine-2: timeout",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("output does not contain %q:\n%s", want, out)
		}
	}
}

func TestTimelineJSONHasOneLinePerEvent(t *testing.T) {
	merged := timeline.Merged{Events: []timeline.Event{
		testEvent(1, timeline.KindRequestSent), testEvent(2, timeline.KindRequestFinished),
	}}
	out, _ := runTimeline(t, merged, "--output", "json")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 2 {
		t.Fatalf("output has %d lines, want 2:\n%s", len(lines), out)
	}
	var e timeline.Event
	if err := json.Unmarshal([]byte(lines[1]), &e); err != nil || e.Kind != timeline.KindRequestFinished {
		t.Fatalf("second line is the event %+v, error %v; want kind request_finished", e, err)
	}
}

func TestTimelineSendsAllFilters(t *testing.T) {
	_, received := runTimeline(t, timeline.Merged{}, "--request", "r-1", "--organisation", "smithy",
		"--endpoint", "engine-1", "--kind", "request_cut", "--since", "10m", "--limit", "7")
	if received.Request != "r-1" || received.Organisation != "smithy" || received.Endpoint != "engine-1" ||
		received.Kind != timeline.KindRequestAborted || received.Limit != 7 || received.After.Wall == 0 {
		t.Fatalf("server received the filter %+v, want all flags in it", received)
	}
}

func TestUnknownKindIsRejectedWithTheValidKinds(t *testing.T) {
	var out, errOut bytes.Buffer
	code := NewProgram(&out).Run(context.Background(), []string{"timeline", "--kind", "nothing"}, &errOut)
	if code != ExitUsage || !strings.Contains(errOut.String(), "request_cut") {
		t.Fatalf("exit code is %d, want ExitUsage and the valid kinds in the errors: %s", code, errOut.String())
	}
}

func TestFollowShowsEachEventOnce(t *testing.T) {
	seen := make(seenEvents)
	now := time.Unix(100, 0)
	first := testEvent(now.UnixNano(), timeline.KindRequestSent)
	late := testEvent(now.UnixNano()-1, timeline.KindRequestAdmitted)
	if got := seen.filterNew([]timeline.Event{first}, now); len(got) != 1 {
		t.Fatalf("first poll shows %d events, want 1", len(got))
	}
	if got := seen.filterNew([]timeline.Event{late, first}, now); len(got) != 1 || got[0].Kind != late.Kind {
		t.Fatalf("second poll shows %+v, want only the late event", got)
	}
	seen.filterNew(nil, now.Add(time.Hour))
	if len(seen) != 0 {
		t.Fatalf("%d events are kept after an hour, want 0", len(seen))
	}
}

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

	"github.com/hyssoptiller/hyssoptiller/internal/entry/gather"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
)

func event(wall int64, kind timeline.Kind) timeline.Event {
	return timeline.Event{
		Time: hlc.Timestamp{Wall: wall}, VM: "entry-1", Kind: kind, Request: "r-1", Organisation: "smithy",
		Attempt: "0123456789abcdef", Adapter: "syllabus", Version: "v1", Detail: "endpoint_busy",
	}
}

// answering runs a command against a server that answers with g and returns
// its output and the filter that was asked for.
func answering(t *testing.T, g timeline.Gathered, args ...string) (string, timeline.Filter) {
	t.Helper()
	var asked timeline.Filter
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, err := gather.ParseQuery(r.URL.Query())
		if err != nil {
			t.Error(err)
		}
		asked = f
		_ = json.NewEncoder(w).Encode(g)
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	args = append([]string{"--operators", strings.TrimPrefix(server.URL, "http://"), "timeline"}, args...)
	if code := NewProgram(&out).Run(context.Background(), args, &errOut); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	return out.String(), asked
}

func TestTimelineTableNamesTheMissing(t *testing.T) {
	g := timeline.Gathered{
		Events: []timeline.Event{event(int64(time.Hour), timeline.KindRequestRetried)},
		Silent: []timeline.Silent{{VM: "engine-2", Reason: "timeout"}},
	}
	out, _ := answering(t, g)
	for _, want := range []string{"01:00:00.000", "request_retried", "syllabus@v1", "01234567 ", "endpoint_busy", "no answer from engine-2: timeout"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing in\n%s", want, out)
		}
	}
}

func TestTimelineJSONIsALineAnEvent(t *testing.T) {
	g := timeline.Gathered{Events: []timeline.Event{event(1, timeline.KindRequestSent), event(2, timeline.KindRequestFinished)}}
	out, _ := answering(t, g, "--output", "json")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines:\n%s", len(lines), out)
	}
	var e timeline.Event
	if err := json.Unmarshal([]byte(lines[1]), &e); err != nil || e.Kind != timeline.KindRequestFinished {
		t.Fatalf("%+v: %v", e, err)
	}
}

func TestTimelineFiltersReachTheEntry(t *testing.T) {
	_, asked := answering(t, timeline.Gathered{}, "--request", "r-1", "--organisation", "smithy",
		"--endpoint", "engine-1", "--kind", "request_cut", "--since", "10m", "--limit", "7")
	if asked.Request != "r-1" || asked.Organisation != "smithy" || asked.Endpoint != "engine-1" ||
		asked.Kind != timeline.KindRequestCut || asked.Limit != 7 || asked.After.Wall == 0 {
		t.Fatalf("asked for %+v", asked)
	}
}

func TestUnknownKindIsRefusedByName(t *testing.T) {
	var out, errOut bytes.Buffer
	code := NewProgram(&out).Run(context.Background(), []string{"timeline", "--kind", "nothing"}, &errOut)
	if code != ExitUsage || !strings.Contains(errOut.String(), "request_cut") {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
}

func TestFollowShowsEachEventOnce(t *testing.T) {
	seen := make(seenEvents)
	now := time.Unix(100, 0)
	first := event(now.UnixNano(), timeline.KindRequestSent)
	late := event(now.UnixNano()-1, timeline.KindRequestAdmitted)
	if got := seen.fresh([]timeline.Event{first}, now); len(got) != 1 {
		t.Fatalf("first poll showed %d", len(got))
	}
	if got := seen.fresh([]timeline.Event{late, first}, now); len(got) != 1 || got[0].Kind != late.Kind {
		t.Fatalf("second poll showed %+v", got)
	}
	seen.fresh(nil, now.Add(time.Hour))
	if len(seen) != 0 {
		t.Fatalf("%d events are still remembered after an hour", len(seen))
	}
}

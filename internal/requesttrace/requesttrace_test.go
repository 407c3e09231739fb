package requesttrace

import (
	"errors"
	"strings"
	"testing"
)

const logText = `
  1.0 entry-1 {"event":"start","time":"10:00:00.000","vm":"entry-1","msg":"started"}
not a line
{"event":"engine_lost","time":"10:00:09.500","vm":"vm-3","msg":"engine does not respond"}
{"event":"endpoint","endpoint":"i-1","draining":true,"time":"10:00:09.600","vm":"entry-1"}
{"event":"endpoint","endpoint":"i-2","draining":true,"time":"10:00:09.700","vm":"entry-1"}
{"event":"turn","request":"r1","refusal":"engine_lost","time":"10:00:10.100","vm":"vm-3"}
{"event":"request","request":"r1","status":503,"took_ms":400,"steps":["i-1:engine_lost"],"time":"10:00:10.400","vm":"entry-1"}
{"event":"request","request":"r2","status":200,"time":"10:00:10.500","vm":"entry-1"}
{"event":"config","version":9,"time":"10:00:11.000","vm":"entry-1"}
`

func TestTraceContainsRequestLinesAndStateChanges(t *testing.T) {
	lines, err := Read(strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	trace, err := ForRequest("r1", lines)
	if err != nil {
		t.Fatal(err)
	}
	var events []string
	for _, l := range trace {
		events = append(events, l.TimeOfDay()[6:]+" "+l.Event)
	}
	want := "09.500 engine_lost,09.600 endpoint,10.100 turn,10.400 request"
	if strings.Join(events, ",") != want {
		t.Errorf("trace of r1 = %s, want %s", strings.Join(events, ","), want)
	}
	if text := trace[3].FieldsText(); text != "request=r1 status=503 steps=[i-1:engine_lost] took_ms=400" {
		t.Errorf("text of the last line = %q, want the sorted fields of the request", text)
	}
}

func TestUnknownRequestReturnsErrNotFound(t *testing.T) {
	lines, err := Read(strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ForRequest("r9", lines); !errors.Is(err, ErrNotFound) {
		t.Errorf("ForRequest(r9) returned the error %v, want ErrNotFound", err)
	}
}

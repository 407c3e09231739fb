package dispatch_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	enginestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
)

const loadTime = 20 * time.Millisecond // Longer than a load takes.

const endMark = "data: [DONE]\n\n"

var plainEngine = enginestandin.Options{
	Slots: 2, LoadTime: 10 * time.Millisecond, TokenTime: 100 * time.Millisecond, ChecksFence: true,
}

func wantWhole(t *testing.T, a answer, stream bool) {
	t.Helper()
	if a.Refusal != nil || a.Broken || a.status != http.StatusOK {
		t.Errorf("answered %d %s %v, want a whole answer", a.status, a.body, a.Refusal)
		return
	}
	if !strings.Contains(a.body, "syllabus@v1") || !strings.Contains(a.body, "t3") {
		t.Errorf("not whole: %s", a.body)
	}
	if stream && (!strings.HasSuffix(a.body, endMark) || a.Events != 4) {
		t.Errorf("%d events in %s", a.Events, a.body)
	}
}

// runsOf returns how many completions began on each engine.
func (f *fleet) runsOf() []int {
	var out []int
	for _, e := range f.engines {
		out = append(out, len(e.Runs()))
	}
	return out
}

func TestBrokenAnswers(t *testing.T) {
	tests := []struct {
		name   string
		stream bool
		after  int  // Tokens before the break.
		retry  bool // Whether the answer is tried elsewhere.
	}{
		{name: "plain", after: 2, retry: true},
		{name: "stream before its first event", stream: true, retry: true},
		{name: "stream midway", stream: true, after: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(f *fleet) {
				f.addEngines(2, plainEngine)
				f.engines[0].BreakAnswers(1, tt.after)
				got := f.complete(tt.stream, "x")
				if tt.retry {
					wantWhole(f.t, got, tt.stream)
					return
				}
				if !got.Broken || got.Refusal != nil || strings.Contains(got.body, "[DONE]") {
					f.t.Errorf("a broken stream ended as %+v", got)
				}
				if runs := f.runsOf(); runs[1] != 0 {
					f.t.Errorf("a stream that had begun was tried again: %v", runs)
				}
			})
		})
	}
}

func TestCrossedAnswerIsDroppedAndTriedElsewhere(t *testing.T) {
	for _, stream := range []bool{false, true} {
		run(t, func(f *fleet) {
			f.addEngines(2, plainEngine)
			f.engines[0].CrossAnswers(1)
			wantWhole(f.t, f.complete(stream, "x"), stream)
			if runs := f.runsOf(); runs[0] != 1 || runs[1] != 1 {
				f.t.Errorf("runs %v, want one on each engine", runs)
			}
		})
	}
}

func TestAgentKilledMidStream(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		time.AfterFunc(250*time.Millisecond, f.nodes[0].kill)
		got := f.complete(true, "x")
		if !got.Broken || strings.Contains(got.body, "[DONE]") || !strings.HasSuffix(got.body, "\n\n") {
			f.t.Errorf("a cut stream ended as %+v", got)
		}
	})
}

func TestAgentKilledDuringPlainAnswerIsTriedElsewhere(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		time.AfterFunc(250*time.Millisecond, f.nodes[0].kill)
		wantWhole(f.t, f.complete(false, "x"), false)
	})
}

func TestStoppedAgentsRequestsGoElsewhere(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		wantWhole(f.t, f.complete(false, "warm"), false)
		f.net.freeze(f.nodes[0].vm.Address)
		began := time.Now()
		wantWhole(f.t, f.complete(false, "x"), false)
		if took := time.Since(began); took > 4*time.Second {
			f.t.Errorf("took %v beside a stopped agent", took)
		}
		f.net.resume(f.nodes[0].vm.Address)
		f.settle()
		wantWhole(f.t, f.complete(true, "y"), true)
	})
}

func TestStoppedAgentIsWaitedForWhereThereIsNoOther(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(1, plainEngine)
		wantWhole(f.t, f.complete(false, "warm"), false)
		f.net.freeze(f.nodes[0].vm.Address)
		time.AfterFunc(8*time.Second, func() { f.net.resume(f.nodes[0].vm.Address) })
		wantWhole(f.t, f.complete(false, "x"), false)
	})
}

func TestRefusalTellsOfAllAttemptsTogether(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		f.engines[0].BreakAnswers(1, 1)
		f.nodes[1].kill()
		got := f.complete(false, "x")
		if got.Refusal == nil || got.Refusal.Ran != refusal.RanYes || got.header.Get("Retry-After") == "" {
			f.t.Errorf("the first attempt ran and the second was not reached, refused with %v", got.Refusal)
		}
	})
}

func TestPlainServicesOwnAnswersPassThrough(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		status  int
		header  string
		value   string
	}{
		{
			name: "its own refusal", status: http.StatusServiceUnavailable, header: "Retry-After", value: "7",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "7")
				w.Header().Set(refusal.HeaderRan, "no") // Not the endpoint's to say.
				w.WriteHeader(http.StatusServiceUnavailable)
			},
		},
		{
			name: "a redirect", status: http.StatusSeeOther, header: "Location", value: "/services/booking/deposits/1",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/deposits/1")
				w.WriteHeader(http.StatusSeeOther)
			},
		},
		{
			name: "no cookie", status: http.StatusOK, header: "Set-Cookie", value: "",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Set-Cookie", "a=b") },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(f *fleet) {
				calls := 0
				handler := func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/health" {
						calls++
						tt.handler(w, r)
					}
				}
				f.addPlain(http.HandlerFunc(handler))
				got := f.deposit("")
				if got.Refusal != nil || got.status != tt.status || got.header.Get(tt.header) != tt.value {
					f.t.Errorf("answered %d %v %v", got.status, got.header, got.Refusal)
				}
				if got.header.Get(refusal.HeaderRan) != "" || calls != 1 {
					f.t.Errorf("%d calls, header %v", calls, got.header)
				}
			})
		})
	}
}

func TestObservationsTellEachAttempt(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		f.engines[0].BreakAnswers(1, 1)
		f.complete(false, "x")
		want := []dispatch.Outcome{
			dispatch.OutcomeSent, dispatch.OutcomeFailed,
			dispatch.OutcomeSent, dispatch.OutcomeAnswer, dispatch.OutcomeDone,
		}
		for i, o := range f.observed {
			if i >= len(want) || o.Outcome != want[i] {
				f.t.Fatalf("observed %+v, want %v", f.observed, want)
			}
		}
		if last := f.observed[len(f.observed)-1]; last.Boot != f.engines[1].Boot() || last.Load.Capacity == 0 {
			f.t.Errorf("last observation %+v", last)
		}
	})
}

// A caller that leaves says nothing against the endpoint.
func TestCallerThatLeavesIsObservedAsSuch(t *testing.T) {
	run(t, func(f *fleet) {
		f.addServices(1)
		f.services[0].SetDelay(2 * time.Second)
		ctx, cancel := context.WithCancel(f.t.Context())
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		send(ctx, f.dispatcher, depositJob("k"), `{"amount":5}`)
		last := f.observed[len(f.observed)-1]
		if last.Outcome != dispatch.OutcomeAbandoned {
			f.t.Errorf("last observation %+v", last)
		}
	})
}

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

const loadTime = 20 * time.Millisecond // Longer than plainEngine takes to load an adapter.

const endMark = "data: [DONE]\n\n"

var plainEngine = enginestandin.Options{
	Slots: 2, LoadTime: 10 * time.Millisecond, TokenTime: 100 * time.Millisecond, ChecksFencingToken: true,
}

// checkCompletion checks that a completion of four tokens was received whole.
func checkCompletion(t *testing.T, got callerResponse, stream bool) {
	t.Helper()
	if got.Refusal != nil || got.Incomplete || got.status != http.StatusOK {
		t.Errorf("response = %d %s (refusal %v, incomplete %t), want a complete response",
			got.status, got.body, got.Refusal, got.Incomplete)
		return
	}
	if !strings.Contains(got.body, "syllabus@v1") || !strings.Contains(got.body, "t3") {
		t.Errorf("response body = %s, want model syllabus@v1 and the last token t3", got.body)
	}
	if stream && (!strings.HasSuffix(got.body, endMark) || got.Events != 4) {
		t.Errorf("stream = %s with %d events, want 4 events and the end mark", got.body, got.Events)
	}
}

// runCounts returns the number of completions that started on each engine.
func (f *fleet) runCounts() []int {
	var out []int
	for _, e := range f.engines {
		out = append(out, len(e.Runs()))
	}
	return out
}

func TestBrokenResponseIsRetriedIfNothingWasForwarded(t *testing.T) {
	tests := []struct {
		name   string
		stream bool
		after  int  // Tokens before the engine breaks the response.
		retry  bool // Whether the request is retried on the other engine.
	}{
		{name: "plain", after: 2, retry: true},
		{name: "stream before its first event", stream: true, retry: true},
		{name: "stream midway", stream: true, after: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleetTest(t, func(f *fleet) {
				f.addEngines(2, plainEngine)
				f.engines[0].TruncateResponses(1, tt.after)
				got := f.complete(tt.stream, "x")
				if tt.retry {
					checkCompletion(f.t, got, tt.stream)
					return
				}
				if !got.Incomplete || got.Refusal != nil || strings.Contains(got.body, "[DONE]") {
					f.t.Errorf("response = %+v, want a broken stream without an end mark", got)
				}
				if runs := f.runCounts(); runs[1] != 0 {
					f.t.Errorf("runs per engine = %v, want no retry after an event was forwarded", runs)
				}
			})
		})
	}
}

func TestMismatchedResponseIsDroppedAndRetried(t *testing.T) {
	for _, stream := range []bool{false, true} {
		runFleetTest(t, func(f *fleet) {
			f.addEngines(2, plainEngine)
			f.engines[0].MismatchResponseIDs(1)
			checkCompletion(f.t, f.complete(stream, "x"), stream)
			if runs := f.runCounts(); runs[0] != 1 || runs[1] != 1 {
				f.t.Errorf("runs per engine = %v, want [1 1]", runs)
			}
		})
	}
}

func TestStreamIsBrokenIfAgentIsKilled(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		time.AfterFunc(250*time.Millisecond, f.nodes[0].kill)
		got := f.complete(true, "x")
		if !got.Incomplete || strings.Contains(got.body, "[DONE]") || !strings.HasSuffix(got.body, "\n\n") {
			f.t.Errorf("response = %+v, want a broken stream that ends after a whole event", got)
		}
	})
}

func TestNonStreamingRequestIsRetriedIfAgentIsKilled(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		time.AfterFunc(250*time.Millisecond, f.nodes[0].kill)
		checkCompletion(f.t, f.complete(false, "x"), false)
	})
}

func TestFrozenAgentsRequestsAreRetried(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		checkCompletion(f.t, f.complete(false, "warm"), false)
		f.net.freeze(f.nodes[0].vm.Address)
		start := time.Now()
		checkCompletion(f.t, f.complete(false, "x"), false)
		if took := time.Since(start); took > 4*time.Second {
			f.t.Errorf("request took %v with one frozen agent, want at most 4s", took)
		}
		f.net.resume(f.nodes[0].vm.Address)
		f.settle()
		checkCompletion(f.t, f.complete(true, "y"), true)
	})
}

func TestFrozenAgentIsAwaitedIfItIsTheOnlyCandidate(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(1, plainEngine)
		checkCompletion(f.t, f.complete(false, "warm"), false)
		f.net.freeze(f.nodes[0].vm.Address)
		time.AfterFunc(8*time.Second, func() { f.net.resume(f.nodes[0].vm.Address) })
		checkCompletion(f.t, f.complete(false, "x"), false)
	})
}

func TestFinalRefusalCoversAllAttempts(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		f.engines[0].TruncateResponses(1, 1)
		f.nodes[1].kill()
		got := f.complete(false, "x")
		if got.Refusal == nil || got.Refusal.Ran != refusal.RanYes || got.header.Get("Retry-After") == "" {
			f.t.Errorf("refusal = %v, want ran yes with Retry-After: the first attempt ran, the second agent was unreachable",
				got.Refusal)
		}
	})
}

func TestServiceResponseIsFilteredAndForwarded(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		status  int
		header  string
		value   string
	}{
		{
			name: "error status of the service", status: http.StatusServiceUnavailable, header: "Retry-After", value: "7",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "7")
				w.Header().Set(refusal.HeaderRan, "no") // Only agents may set this header.
				w.WriteHeader(http.StatusServiceUnavailable)
			},
		},
		{
			name: "local redirect", status: http.StatusSeeOther, header: "Location", value: "/services/booking/deposits/1",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/deposits/1")
				w.WriteHeader(http.StatusSeeOther)
			},
		},
		{
			name: "cookie is removed", status: http.StatusOK, header: "Set-Cookie", value: "",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Set-Cookie", "a=b") },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleetTest(t, func(f *fleet) {
				calls := 0
				handler := func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/health" {
						calls++
						tt.handler(w, r)
					}
				}
				f.addServiceHandler(http.HandlerFunc(handler))
				got := f.deposit("")
				if got.Refusal != nil || got.status != tt.status || got.header.Get(tt.header) != tt.value {
					f.t.Errorf("response = %d %v (refusal %v), want %d with %s %q",
						got.status, got.header, got.Refusal, tt.status, tt.header, tt.value)
				}
				if got.header.Get(refusal.HeaderRan) != "" || calls != 1 {
					f.t.Errorf("service received %d calls, response header %v; want 1 call and no %s",
						calls, got.header, refusal.HeaderRan)
				}
			})
		})
	}
}

func TestEachAttemptIsObserved(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		f.engines[0].TruncateResponses(1, 1)
		f.complete(false, "x")
		want := []dispatch.Outcome{
			dispatch.OutcomeSent, dispatch.OutcomeFailed,
			dispatch.OutcomeSent, dispatch.OutcomeResponseStarted, dispatch.OutcomeCompleted,
		}
		for i, o := range f.observations {
			if i >= len(want) || o.Outcome != want[i] {
				f.t.Fatalf("observations = %+v, want outcomes %v", f.observations, want)
			}
		}
		if last := f.observations[len(f.observations)-1]; last.Boot != f.engines[1].Boot() || last.Load.Capacity == 0 {
			f.t.Errorf("last observation = %+v, want the boot ID of engine 1 and a load with a capacity", last)
		}
	})
}

// TestCancelledRequestIsNotObservedAsFailed guards against counting a caller's
// cancellation as a failure of the endpoint.
func TestCancelledRequestIsNotObservedAsFailed(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(1)
		f.services[0].SetDelay(2 * time.Second)
		ctx, cancel := context.WithCancel(f.t.Context())
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		send(ctx, f.dispatcher, depositJob("k"), `{"amount":5}`)
		last := f.observations[len(f.observations)-1]
		if last.Outcome != dispatch.OutcomeCallerLeft {
			f.t.Errorf("last observation = %+v, want OutcomeCallerLeft", last)
		}
	})
}

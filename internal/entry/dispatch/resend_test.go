package dispatch_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	enginestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
)

// TestAgentDoesNotResendToEndpoint guards against a second send by net/http,
// which by itself resends a request without a body if the endpoint closes a
// reused connection before it responds.
func TestAgentDoesNotResendToEndpoint(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		runFleetTest(t, func(f *fleet) {
			var calls atomic.Int64
			f.addServiceHandler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/health" && calls.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			job := depositJob("")
			job.Method = http.MethodGet
			job.Idempotent = idempotent
			send(f.t.Context(), f.dispatcher, job, "")
			got := send(f.t.Context(), f.dispatcher, job, "")
			checkRefusal(f.t, got, refusal.CodeEndpointFailed, refusal.RanUnknown)
			if calls.Load() != 2 {
				f.t.Errorf("idempotent %t: endpoint received %d calls for 2 requests, want 2", idempotent, calls.Load())
			}
		})
	}
}

// TestEntryDoesNotResendToAgent guards against a second send by net/http if the
// agent resets the HTTP/2 stream of a request without a body.
func TestEntryDoesNotResendToAgent(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		var calls atomic.Int64
		f.addAgent(func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		got := send(f.t.Context(), f.dispatcher, depositJob(""), "")
		checkRefusal(f.t, got, refusal.CodeEndpointFailed, refusal.RanUnknown)
		if calls.Load() != 1 {
			f.t.Errorf("agent received %d calls, want 1", calls.Load())
		}
	})
}

// TestResponseOfAnotherAttemptIsDropped guards against forwarding another
// caller's response.
func TestResponseOfAnotherAttemptIsDropped(t *testing.T) {
	for name, status := range map[string]int{"response": http.StatusOK, "refusal": http.StatusServiceUnavailable} {
		runFleetTest(t, func(f *fleet) {
			f.addAgent(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(wire.HeaderAttempt, "another")
				if status != http.StatusOK {
					w.Header().Set(refusal.HeaderRan, string(refusal.RanNo))
				}
				w.WriteHeader(status)
				_, _ = w.Write([]byte(`{"error":{"code":"draining","ran":"no"},"secret":"of another caller"}`))
			})
			got := f.deposit("")
			checkRefusal(f.t, got, refusal.CodeBrokenResponse, refusal.RanUnknown)
			if strings.Contains(got.body, "secret") {
				f.t.Errorf("%s of another attempt reached the caller: %s", name, got.body)
			}
		})
	}
}

// TestResponseWithoutCompleteTrailerIsBroken guards against taking a response
// for complete because its body looks so: the agent sends the whole body but
// not the trailer that confirms it.
func TestResponseWithoutCompleteTrailerIsBroken(t *testing.T) {
	tests := []struct {
		name, contentType, body string
		stream                  bool
	}{
		{"plain", "application/json", `{"deposit":1}`, false},
		{"stream", wire.EventStream, "data: {}\n\n" + endMark, true},
		{"stream with only the end mark", wire.EventStream, endMark, true},
	}
	for _, tt := range tests {
		for _, reset := range []bool{true, false} {
			runFleetTest(t, func(f *fleet) {
				f.addAgent(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
					w.Header().Set("Content-Type", tt.contentType)
					_, _ = w.Write([]byte(tt.body))
					if reset {
						_ = http.NewResponseController(w).Flush()
						panic(http.ErrAbortHandler)
					}
				})
				job := completionJob(tt.stream)
				if !tt.stream {
					job = depositJob("")
				}
				got := send(f.t.Context(), f.dispatcher, job, "{}")
				if got.Refusal == nil && !got.Incomplete || strings.Contains(got.body, "[DONE]") {
					f.t.Errorf("%s (stream reset: %t): response = %+v, want it broken or refused", tt.name, reset, got)
				}
				if got.Ran != refusal.RanYes {
					f.t.Errorf("%s (stream reset: %t): ran = %s, want yes", tt.name, reset, got.Ran)
				}
			})
		}
	}
}

// addAgent adds a fake agent with the handler h.
func (f *fleet) addAgent(h http.HandlerFunc) {
	server, err := transport.NewServer(security, nil, h)
	if err != nil {
		f.t.Fatal(err)
	}
	vm := vmlist.VM{ID: "fake", Role: vmlist.RolePlain, Service: "booking", Address: "fake:1"}
	engine := vmlist.VM{ID: "fake", Role: vmlist.RoleEngine, Address: vm.Address}
	go func() { _ = server.Serve(f.net.listen(vm.Address)) }()
	f.vms = append(f.vms, vm, engine)
	f.settle()
}

// TestIsolatedRequestsRunOneAtATime checks that an agent runs two requests that
// are marked to run alone one after the other.
func TestIsolatedRequestsRunOneAtATime(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(1, enginestandin.Options{Slots: 2, TokenTime: 300 * time.Millisecond})
		f.complete(false, "warm")
		done := make(chan time.Duration)
		for _, prompt := range []string{"a", "b"} {
			go func() {
				job := completionJob(false)
				job.IsolateSuspect = true
				start := time.Now()
				body := `{"model":"syllabus@v1","max_tokens":4,"prompt":"` + prompt + `"}`
				checkCompletion(f.t, send(f.t.Context(), f.newDispatcher(), job, body), false)
				done <- time.Since(start)
			}()
		}
		first, second := <-done, <-done
		if second < 2*first {
			f.t.Errorf("two isolated requests took %v and %v, want the second to take at least twice as long", first, second)
		}
	})
}

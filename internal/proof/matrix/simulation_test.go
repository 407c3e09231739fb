package matrix_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
)

const (
	subjectOrg   ident.Organisation = "smithy"
	neighbourOrg ident.Organisation = "lima"

	crashMarker     = "crash-the-engine"
	tokensPerSecond = 100
	burst           = 1000
	maxTokens       = 10
	inForceWithin   = 5 * time.Second // Promise of the configuration.
	settleTime      = 5 * time.Second
	recoveryTime    = 20 * time.Second
)

const plansText = `plans:
  - organisation: smithy
    plan: school
    weight: 1
  - organisation: lima
    plan: crew
    weight: 1
`

const allowancesText = `allowances:
  - plan: school
    tokens_per_second: 100
    burst: 1000
    priority: 1
    adapters:
      - name: syllabus
        version: VERSION
        base: base
SERVICES  - plan: crew
    tokens_per_second: 100
    burst: 1000
    priority: 1
    adapters:
      - name: leak-brief
        version: v1
        base: base
`

// servicesText are the plan's services, by the service that a kind uses.
var servicesText = map[ident.Service]string{
	"booking": `    services:
      - name: booking
        routes:
          - method: POST
            path: /deposits
            idempotent: false
          - method: GET
            path: /hours
            idempotent: true
            open: true
`,
	"calendar": `    services:
      - name: calendar
        routes:
          - method: GET
            path: /hours
            idempotent: true
`,
}

// allowances returns the list with the given version of the subject's adapter.
func (w *world) allowances(version string) string {
	return strings.NewReplacer("VERSION", version, "SERVICES", servicesText[w.kind.service]).Replace(allowancesText)
}

// kind is a kind of route.
type kind struct {
	name       string
	engine     bool // Whether it runs on a model engine.
	stream     bool
	open       bool // Whether it needs no key.
	idempotent bool
	keyed      bool // Whether an Idempotency-Key is sent.
	service    ident.Service
}

var kinds = []kind{
	{name: "completion", engine: true, idempotent: true},
	{name: "stream", engine: true, stream: true, idempotent: true},
	{name: "idempotent", idempotent: true, service: "calendar"},
	{name: "non-idempotent", service: "booking"},
	{name: "idempotency key", service: "booking", keyed: true},
	{name: "open", idempotent: true, open: true, service: "booking"},
}

// sent is one call with its answer.
type sent struct {
	kind   kind
	org    ident.Organisation
	marker string
	at     time.Time
	answer harness.Response
}

// world is one cell's fleet with what callers did to it.
type world struct {
	t       *testing.T
	f       *harness.Fleet
	kind    kind
	started time.Time
	keys    map[ident.Organisation]string
	holdFor time.Duration // From the fault until held runs go on.

	callerGone   context.CancelFunc // Ends the subject's call.
	upgradeAsked time.Time          // When version v2 was asked for.
	upgraded     time.Time          // When version v2 was accepted; zero where not.
	alone        bool               // Whether only one fault is caused.
	resumed      time.Time          // When a paused entry goes on; zero where none was paused.
	withdrawn    time.Time          // When the subject's key was withdrawn; zero where not.
	cold         bool               // Whether the subject's adapter is to be loaded by the subject.

	exported []store.Entry // The store's data before an edit.

	mu    sync.Mutex
	calls []sent
}

func newWorld(t *testing.T, k kind) *world {
	opts := harness.Options{Entries: 2, Engines: 3, Slots: 2, Capacity: 2, CrashMarker: crashMarker}
	if !k.engine {
		opts.Engines = 1
		opts.Services = []ident.Service{k.service}
	}
	f := harness.Start(t, opts)
	t.Cleanup(f.Stop)
	w := &world{t: t, f: f, kind: k, started: time.Now(), keys: make(map[ident.Organisation]string), holdFor: time.Second}
	f.ReplaceList(t.Context(), "entry-1", config.ListAllowances, w.allowances("v1"))
	f.ReplaceList(t.Context(), "entry-1", config.ListPlans, plansText)
	for _, org := range []ident.Organisation{subjectOrg, neighbourOrg} {
		w.keys[org] = f.GrantKey(t.Context(), "entry-1", org)
	}
	time.Sleep(settleTime)
	return w
}

// call builds a call of a kind; the marker is what endpoints see of it.
func (w *world) call(k kind, org ident.Organisation, entry, marker string) harness.Call {
	c := harness.Call{Entry: entry, RequestID: fmt.Sprintf("%s.%s", marker, entry), Key: w.keys[org]}
	if k.keyed {
		c.IdempotencyKey = "key-of-" + marker
	}
	if k.open {
		c.Key = ""
	}
	switch {
	case k.engine:
		c.Method, c.Path = http.MethodPost, "/v1/completions"
		c.Body = fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"prompt":%q}`, adapterOf(org), maxTokens, k.stream, marker)
	case k.service == "booking" && !k.open:
		c.Method, c.Path = http.MethodPost, "/services/booking/deposits"
		c.Body = fmt.Sprintf(`{"amount":5,"marker":%q}`, marker)
	default:
		c.Method, c.Path = http.MethodGet, "/services/"+string(k.service)+"/hours?marker="+marker
	}
	return c
}

func adapterOf(org ident.Organisation) string {
	if org == subjectOrg {
		return "syllabus"
	}
	return "leak-brief"
}

// send sends a call and keeps its answer.
func (w *world) send(ctx context.Context, k kind, org ident.Organisation, entry, marker string) harness.Response {
	return w.sendCall(ctx, k, org, marker, w.call(k, org, entry, marker))
}

func (w *world) sendCall(ctx context.Context, k kind, org ident.Organisation, marker string, c harness.Call) harness.Response {
	at := time.Now()
	a := w.f.Do(ctx, c)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, sent{kind: k, org: org, marker: marker, at: at, answer: a})
	return a
}

// target returns the VM whose endpoint runs the subject, or ran the last
// request of its kind.
func (w *world) target() string {
	prefix := "engine-"
	if !w.kind.engine {
		prefix = string(w.kind.service) + "-"
	}
	best, last := w.f.VMNames(prefix)[0], time.Time{}
	for _, vm := range w.f.VMNames(prefix) {
		e := w.f.Endpoints[vm]
		for _, r := range append(e.Orders(), e.Runs()...) {
			if r.Contains(blockMarker) || r.Start.Before(last) {
				continue
			}
			best, last = vm, r.Start
		}
	}
	return best
}

const blockMarker = "blocker"

// occupyAll fills every endpoint of the subject's kind until the returned
// hold is released.
func (w *world) occupyAll() *harness.Hold {
	hold := w.f.HoldRuns(blockMarker, harness.HoldOnArrival)
	prefix := "engine-"
	if !w.kind.engine {
		prefix = string(w.kind.service) + "-"
	}
	for _, vm := range w.f.VMNames(prefix) {
		for i := range 2 {
			job := wire.Job{
				Request: ident.RequestID(fmt.Sprintf("%s-%d", vm, i)), Attempt: ident.NewAttemptID(),
				Organisation: "blocker", Method: http.MethodPost, Path: "/v1/completions", Weight: 1, Cost: maxTokens,
				Idempotent: true, Timeout: time.Minute, Service: w.kind.service,
			}
			body := fmt.Sprintf(`{"model":"filler@v1","max_tokens":1,"prompt":%q}`, blockMarker)
			if w.kind.engine {
				job.Base, job.Adapter, job.Version = harness.Base, "filler", "v1"
			} else {
				job.Method, job.Path = http.MethodGet, "/hours?marker="+blockMarker
			}
			w.f.SendJob(w.t.Context(), vm, job, body)
		}
	}
	time.Sleep(time.Second)
	return hold
}

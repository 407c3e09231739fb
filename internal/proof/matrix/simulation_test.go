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
	maxPropagation  = 5 * time.Second  // An accepted change must be in force everywhere after it.
	settleTime      = 5 * time.Second  // From the first configuration to the first request.
	recoveryTime    = 20 * time.Second // From healing the faults to the checks.
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

// servicesText holds the services section of the school plan, by the service
// that the route kind uses.
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

// allowances returns the allowances list with the given version of the subject's
// adapter.
func (sim *simulation) allowances(version string) string {
	return strings.NewReplacer("VERSION", version, "SERVICES", servicesText[sim.kind.service]).Replace(allowancesText)
}

// routeKind is a kind of route, with the properties that decide its behaviour
// under faults.
type routeKind struct {
	name              string
	onEngine          bool // Runs on an engine, not on a plain service.
	stream            bool
	open              bool // Needs no API key.
	idempotent        bool
	hasIdempotencyKey bool // Requests carry an Idempotency-Key.
	service           ident.Service
}

var routeKinds = []routeKind{
	{name: "completion", onEngine: true, idempotent: true},
	{name: "stream", onEngine: true, stream: true, idempotent: true},
	{name: "idempotent", idempotent: true, service: "calendar"},
	{name: "non-idempotent", service: "booking"},
	{name: "idempotency key", service: "booking", hasIdempotencyKey: true},
	{name: "open", idempotent: true, open: true, service: "booking"},
}

// sentCall is one call with its response.
type sentCall struct {
	kind     routeKind
	org      ident.Organisation
	marker   string
	sentAt   time.Time
	response harness.Response
}

// simulation is the fleet of one cell with the calls sent to it.
type simulation struct {
	t         *testing.T
	fleet     *harness.Fleet
	kind      routeKind
	startedAt time.Time
	keys      map[ident.Organisation]string
	holdTime  time.Duration // From the fault to the release of held runs.

	cancelSubject     context.CancelFunc // Cancels the subject's call; nil before it is sent.
	upgradeSentAt     time.Time          // When the edit to version v2 was sent; zero if it was refused or not sent.
	upgradeAcceptedAt time.Time          // When version v2 was accepted; zero if it was not.
	singleFault       bool               // Whether the cell has one fault.
	entryResumesAt    time.Time          // When a paused entry resumes; zero if none was paused.
	keyWithdrawnAt    time.Time          // When the subject's key was withdrawn; zero if it was not.
	skipWarmUp        bool               // Whether the subject itself must cause its adapter's load.

	storeBeforeEdit []store.Record // Content of the store before the edit of a change.

	mu    sync.Mutex
	calls []sentCall
}

// newSimulation starts a fleet, configures both organisations and waits until
// the configuration is in force.
func newSimulation(t *testing.T, k routeKind) *simulation {
	opts := harness.Options{Entries: 2, Engines: 3, Slots: 2, Capacity: 2, CrashMarker: crashMarker}
	if !k.onEngine {
		opts.Engines = 1
		opts.Services = []ident.Service{k.service}
	}
	f := harness.Start(t, opts)
	t.Cleanup(f.Stop)
	sim := &simulation{
		t: t, fleet: f, kind: k, startedAt: time.Now(), keys: make(map[ident.Organisation]string), holdTime: time.Second,
	}
	f.ReplaceList(t.Context(), "entry-1", config.ListAllowances, sim.allowances("v1"))
	f.ReplaceList(t.Context(), "entry-1", config.ListPlans, plansText)
	for _, org := range []ident.Organisation{subjectOrg, neighbourOrg} {
		sim.keys[org] = f.GrantKey(t.Context(), "entry-1", org)
	}
	time.Sleep(settleTime)
	return sim
}

// newCall returns a call of a route kind. The marker identifies its runs at the
// endpoints.
func (sim *simulation) newCall(k routeKind, org ident.Organisation, entry, marker string) harness.Call {
	c := harness.Call{Entry: entry, RequestID: fmt.Sprintf("%s.%s", marker, entry), Key: sim.keys[org]}
	if k.hasIdempotencyKey {
		c.IdempotencyKey = "key-of-" + marker
	}
	if k.open {
		c.Key = ""
	}
	switch {
	case k.onEngine:
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

// adapterOf returns the adapter in an organisation's plan.
func adapterOf(org ident.Organisation) string {
	if org == subjectOrg {
		return "syllabus"
	}
	return "leak-brief"
}

// send sends a call of a route kind and records it with its response.
func (sim *simulation) send(ctx context.Context, k routeKind, org ident.Organisation, entry, marker string) harness.Response {
	return sim.sendCall(ctx, k, org, marker, sim.newCall(k, org, entry, marker))
}

// sendCall sends c and records it with its response.
func (sim *simulation) sendCall(ctx context.Context, k routeKind, org ident.Organisation, marker string, c harness.Call) harness.Response {
	sentAt := time.Now()
	resp := sim.fleet.Do(ctx, c)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.calls = append(sim.calls, sentCall{kind: k, org: org, marker: marker, sentAt: sentAt, response: resp})
	return resp
}

// targetVM returns, among the VMs that can run the subject, the one whose
// endpoint received the latest request or order, or the first if there was none.
func (sim *simulation) targetVM() string {
	prefix := "engine-"
	if !sim.kind.onEngine {
		prefix = string(sim.kind.service) + "-"
	}
	target, latest := sim.fleet.VMNames(prefix)[0], time.Time{}
	for _, vm := range sim.fleet.VMNames(prefix) {
		e := sim.fleet.Endpoints[vm]
		for _, r := range append(e.Orders(), e.Runs()...) {
			if r.Contains(blockerMarker) || r.Start.Before(latest) {
				continue
			}
			target, latest = vm, r.Start
		}
	}
	return target
}

// blockerMarker marks the jobs that fill endpoints or crowd an engine.
const blockerMarker = "blocker"

// fillEndpoints fills every endpoint of the subject's route kind to its capacity
// until the returned hold is released.
func (sim *simulation) fillEndpoints() *harness.Hold {
	hold := sim.fleet.HoldRuns(blockerMarker, harness.HoldOnArrival)
	prefix := "engine-"
	if !sim.kind.onEngine {
		prefix = string(sim.kind.service) + "-"
	}
	for _, vm := range sim.fleet.VMNames(prefix) {
		for i := range 2 {
			job := wire.Job{
				RequestID: ident.RequestID(fmt.Sprintf("%s-%d", vm, i)), AttemptID: ident.NewAttemptID(),
				Organisation: "blocker", Method: http.MethodPost, Path: "/v1/completions", Weight: 1, Cost: maxTokens,
				Idempotent: true, Timeout: time.Minute, Service: sim.kind.service,
			}
			body := fmt.Sprintf(`{"model":"filler@v1","max_tokens":1,"prompt":%q}`, blockerMarker)
			if sim.kind.onEngine {
				job.Base, job.Adapter, job.Version = harness.Base, "filler", "v1"
			} else {
				job.Method, job.Path = http.MethodGet, "/hours?marker="+blockerMarker
			}
			sim.fleet.SendJob(sim.t.Context(), vm, job, body)
		}
	}
	time.Sleep(time.Second)
	return hold
}

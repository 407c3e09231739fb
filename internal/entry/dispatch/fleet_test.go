package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/agent"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/gossip"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
	enginestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
	servicestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/service"
)

const (
	timeout      = 20 * time.Second // Deadline of each request, and the agents' DrainTimeout.
	storeTimeout = time.Second      // Also the agents' OrderTimeout.
	settleTime   = 3 * time.Second  // Longer than agents take to start and to poll their endpoint.
)

var security = transport.Security{Secret: "a-fleet-secret-of-tests"}

// fleet is a dispatcher with agents and stand-in endpoints. It runs in a
// synctest bubble and implements dispatch.Endpoints.
type fleet struct {
	t          *testing.T
	net        *network
	store      *store.Memory
	notices    *gossip.Notices
	dispatcher *dispatch.Dispatcher
	nodes      []*node
	services   []*servicestandin.Server
	engines    []*enginestandin.Server

	mu           sync.Mutex
	vms          []vmlist.VM
	observations []dispatch.Observation
}

// node is one agent and the address of its endpoint.
type node struct {
	fleet    *fleet
	vm       vmlist.VM
	endpoint string
	store    *killableStore
	stop     context.CancelFunc
	done     chan error
}

// runFleetTest runs a test on a new fleet in a synctest bubble.
func runFleetTest(t *testing.T, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, net: newNetwork(), store: store.NewMemory(), notices: gossip.NewNotices()}
		f.dispatcher = f.newDispatcher()
		defer f.close()
		test(f)
	})
}

func (f *fleet) newDispatcher() *dispatch.Dispatcher {
	client, err := transport.NewClient(security, nil, f.net.dial)
	if err != nil {
		f.t.Fatal(err)
	}
	return dispatch.New(dispatch.Options{Client: client, Endpoints: f, Notices: f.notices})
}

func (f *fleet) close() {
	f.store.SetFault(store.FaultNone)
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		<-n.done
	}
	f.net.disconnectAll()
}

// Candidates implements dispatch.Endpoints. It returns the VMs of the job's
// service in the order of f.vms.
func (f *fleet) Candidates(job wire.Job) []vmlist.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []vmlist.VM
	for _, vm := range f.vms {
		if vm.Service == job.Service {
			out = append(out, vm)
		}
	}
	return out
}

// Observe implements dispatch.Endpoints.
func (f *fleet) Observe(o dispatch.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, o)
}

// addServices adds n agents with instances of the booking service.
func (f *fleet) addServices(n int) {
	for range n {
		s := servicestandin.NewServer()
		f.services = append(f.services, s)
		f.addNode(vmlist.VM{Role: vmlist.RolePlain, Service: "booking"}, s, nil)
	}
	f.settle()
}

// addServiceHandler adds an agent whose booking service is h.
func (f *fleet) addServiceHandler(h http.Handler) {
	f.addNode(vmlist.VM{Role: vmlist.RolePlain, Service: "booking"}, h, nil)
	f.settle()
}

// addEngines adds n agents with engines.
func (f *fleet) addEngines(n int, opts enginestandin.Options) {
	f.addEnginesWith(n, opts, func(*agent.Settings) {})
}

// addEnginesWith adds n agents with engines and lets change modify the agents'
// settings.
func (f *fleet) addEnginesWith(n int, opts enginestandin.Options, change func(*agent.Settings)) {
	for range n {
		e := enginestandin.NewServer(opts)
		f.engines = append(f.engines, e)
		f.addNode(vmlist.VM{Role: vmlist.RoleEngine}, e, func(s *agent.Settings) {
			s.Slots = opts.Slots
			change(s)
		})
	}
	f.settle()
}

// addSecondAgent starts another agent for the endpoint of an existing node.
// checksToken is the agent's setting ChecksFencingToken.
func (f *fleet) addSecondAgent(first *node, checksToken bool) {
	n := &node{fleet: f, vm: first.vm, endpoint: first.endpoint, store: &killableStore{Store: f.store}}
	n.vm.Address = "successor:1"
	n.start(func(s *agent.Settings) {
		s.Slots = plainEngine.Slots
		s.ChecksFencingToken = checksToken
	})
	f.nodes = append(f.nodes, n)
	f.vms = append(f.vms, n.vm)
}

// settle waits until starts, polls and background work have finished.
func (f *fleet) settle() {
	time.Sleep(settleTime)
	synctest.Wait()
}

func (f *fleet) addNode(vm vmlist.VM, endpoint http.Handler, change func(*agent.Settings)) *node {
	i := len(f.nodes)
	vm.ID = ident.VM(fmt.Sprintf("vm-%d", i))
	vm.Address = fmt.Sprintf("agent-%d:1", i)
	n := &node{fleet: f, vm: vm, endpoint: fmt.Sprintf("endpoint-%d:1", i), store: &killableStore{Store: f.store}}
	server := &http.Server{Handler: endpoint}
	go func() { _ = server.Serve(f.net.listen(n.endpoint)) }()
	n.start(change)
	f.nodes = append(f.nodes, n)
	f.mu.Lock()
	f.vms = append(f.vms, vm)
	f.mu.Unlock()
	return n
}

// start starts the node's agent.
func (n *node) start(change func(*agent.Settings)) {
	settings := agent.Settings{
		VM: n.vm.ID, EndpointAddress: n.endpoint, Capacity: 32, Security: security,
		OrderTimeout: storeTimeout, DrainTimeout: timeout, StoreTimeout: storeTimeout,
		MaxBodyBytes: 1 << 20, TimelineEvents: 64, ChecksFencingToken: true,
	}
	if change != nil {
		change(&settings)
	}
	a, err := agent.New(agent.Options{
		Settings: settings, Store: n.store, Dial: n.fleet.net.dial,
		FleetListener: n.fleet.net.listen(n.vm.Address), AdminListener: n.fleet.net.listen("admin-" + n.vm.Address),
		Log: process.NewLogger(io.Discard, logrus.ErrorLevel, "test"),
	})
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.done = make(chan error, 1)
	go func() { n.done <- a.Serve(ctx) }()
}

// kill closes the agent's connections and its access to the store at once, as the
// end of its process does.
func (n *node) kill() {
	n.store.killed.Store(true)
	n.fleet.net.disconnect(n.vm.Address)
	n.fleet.net.disconnect(n.endpoint)
}

// killableStore is a Store that fails with ErrUnavailable once its process is
// killed. The hooks run before and after each write.
type killableStore struct {
	store.Store
	killed      atomic.Bool
	beforeWrite func()
	afterWrite  func()
}

// Get implements store.Store.
func (s *killableStore) Get(ctx context.Context, key string) (store.Record, error) {
	if s.killed.Load() {
		return store.Record{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// CompareAndSwap implements store.Store.
func (s *killableStore) CompareAndSwap(ctx context.Context, key string, value []byte, prev store.Index) (bool, error) {
	if s.beforeWrite != nil {
		s.beforeWrite()
	}
	if s.killed.Load() {
		return false, store.ErrUnavailable
	}
	ok, err := s.Store.CompareAndSwap(ctx, key, value, prev)
	if s.afterWrite != nil {
		s.afterWrite()
	}
	return ok, err
}

// callerResponse is the response that a caller received and the dispatcher's
// result.
type callerResponse struct {
	dispatch.Result
	status int
	header http.Header
	body   string
}

// send dispatches one request with the test's timeout.
func send(ctx context.Context, d *dispatch.Dispatcher, job wire.Job, body string) callerResponse {
	job.RequestID = ident.NewRequestID()
	w := httptest.NewRecorder()
	req := dispatch.Request{Job: job, Body: []byte(body), Deadline: time.Now().Add(timeout)}
	result := d.Dispatch(ctx, req, w)
	if result.Refusal != nil {
		result.Refusal.Write(w)
	}
	return callerResponse{Result: result, status: w.Code, header: w.Header(), body: w.Body.String()}
}

// deposit sends a deposit with an Idempotency-Key, or without one if key is
// empty.
func (f *fleet) deposit(key string) callerResponse {
	return f.depositWithBody(key, `{"amount":5}`)
}

// depositWithBody is deposit with the given request body.
func (f *fleet) depositWithBody(key, body string) callerResponse {
	return send(f.t.Context(), f.dispatcher, depositJob(key), body)
}

func depositJob(key string) wire.Job {
	return wire.Job{
		Organisation: "smithy", Service: "booking", Method: http.MethodPost, Path: "/deposits",
		ContentType: "application/json", IdempotencyKey: key, Weight: 1, Cost: 1,
	}
}

// complete sends a completion request for four tokens.
func (f *fleet) complete(stream bool, prompt string) callerResponse {
	body := fmt.Sprintf(`{"model":"syllabus@v1","max_tokens":4,"stream":%t,"prompt":%q}`, stream, prompt)
	return send(f.t.Context(), f.dispatcher, completionJob(stream), body)
}

func completionJob(stream bool) wire.Job {
	return wire.Job{
		Organisation: "smithy", Adapter: "syllabus", Version: "v1", Method: http.MethodPost,
		Path: "/v1/completions", ContentType: "application/json", Idempotent: true, Stream: stream, Weight: 1, Cost: 8,
	}
}

// deposits returns the number of deposits that ran on all instances.
func (f *fleet) deposits() int {
	n := 0
	for _, s := range f.services {
		n += len(s.Deposits())
	}
	return n
}

// checkDepositCount checks the number of deposits after all background work has
// ended.
func (f *fleet) checkDepositCount(want int) {
	f.t.Helper()
	f.settle()
	if got := f.deposits(); got != want {
		f.t.Errorf("number of deposits that ran = %d, want %d", got, want)
	}
}

package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/agent"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/entry"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
	"github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/standin/service"
)

// Settings that every fleet shares.
const (
	Base           ident.BaseModel = "base"
	Region         ident.Region    = "region"
	OperatorsToken                 = "operators-token-of-the-test"

	fleetSecret     = "fleet-secret-of-the-test"
	adapterLoadTime = 250 * time.Millisecond
	timePerToken    = 20 * time.Millisecond
	RequestTimeout  = 30 * time.Second // Entry's limit for one request.
	callerTimeout   = 10 * time.Second // Entry's limit for reading a request body and for writing to a caller.
	drainDelay      = time.Second
	drainTimeout    = 10 * time.Second
	storeTimeout    = 2 * time.Second
	orderTimeout    = 5 * time.Second
	vmListInterval  = time.Second
	maxBodyBytes    = 1 << 20
	timelineEvents  = 4096
	portFleet       = "7000"
	portCallers     = "8080"
	portOperators   = "8090"
	portAdmin       = "9090"
	portEndpoint    = "8000"
)

// Options configures the fleet that Start creates.
type Options struct {
	Entries             int
	Engines             int
	Slots               int             // Adapter slots of each engine.
	Capacity            int             // Maximum concurrent attempts of each endpoint.
	CrashMarker         string          // A request body that contains it crashes its engine.
	IgnoreFencingTokens bool            // Whether engines execute orders with an outdated fencing token.
	Services            []ident.Service // Plain services; each runs on two VMs.
	Handler             http.Handler    // Stand-in for every plain service; nil selects the booking stand-in.
}

// Process is one incarnation of an entry or agent.
type Process struct {
	Name string
	Host *Host

	store     *gatedStore
	cancel    context.CancelFunc
	done      chan struct{}
	row       vmlist.VM
	newServer func(*Process) (server, error)
}

type server interface{ Serve(context.Context) error }

// Fleet is a running fleet inside one synctest bubble.
type Fleet struct {
	Network   *Network
	Store     *store.Memory
	VMList    *vmlist.Static
	Endpoints map[string]*Endpoint // By VM name.

	t          *testing.T
	opts       Options
	log        *logrus.Entry
	callerHost *Host
	mu         sync.Mutex
	processes  map[string]*Process
	startOrder []string
	stopFuncs  []func()
}

// Start starts a fleet and waits until it is idle. The caller must call Stop.
func Start(t *testing.T, opts Options) *Fleet {
	t.Helper()
	log := process.NewLogger(io.Discard, logrus.ErrorLevel, "proof")
	f := &Fleet{
		Network: NewNetwork(), Store: store.NewMemory(), VMList: vmlist.NewStatic(),
		Endpoints: make(map[string]*Endpoint), t: t, opts: opts, log: log,
		processes: make(map[string]*Process),
	}
	f.callerHost = f.Network.NewHost("caller")
	for i := range opts.Engines {
		f.addEngine(i)
	}
	for _, s := range opts.Services {
		f.addService(s, 1)
		f.addService(s, 2)
	}
	for i := range opts.Entries {
		f.addEntry(i)
	}
	f.publishVMList()
	synctest.Wait()
	return f
}

// Process returns the current incarnation of the process on a VM. It ends the
// test if the VM has none.
func (f *Fleet) Process(vm string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[vm]
	if !ok {
		f.t.Fatalf("Process(%q): no process was started on this VM", vm)
	}
	return p
}

// VMNames returns the VM names that begin with prefix, in start order.
func (f *Fleet) VMNames(prefix string) []string {
	var out []string
	for _, name := range f.startOrder {
		if strings.HasPrefix(name, prefix) {
			out = append(out, name)
		}
	}
	return out
}

// Stop stops every process and endpoint and waits until they have ended.
func (f *Fleet) Stop() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.Resume()
		p.cancel()
	}
	f.Network.Close()
	for _, p := range processes {
		<-p.done
	}
	// Reset the connections that were opened during the shutdown.
	f.Network.Close()
	for _, stop := range f.stopFuncs {
		stop()
	}
}

// Kill ends a process without notice to its peers, as the loss of its VM does.
// The VM stays on the VM list.
func (f *Fleet) Kill(vm string) {
	p := f.Process(vm)
	p.store.setUnavailable(true)
	p.store.resume()
	p.Host.Kill()
	p.cancel()
}

// Shutdown starts the graceful shutdown of a process.
func (f *Fleet) Shutdown(vm string) {
	f.Process(vm).cancel()
}

// Replace kills a process and starts a new incarnation on its VM.
func (f *Fleet) Replace(vm string) {
	f.Kill(vm)
	old := f.Process(vm)
	f.startProcess(vm, old.row, old.newServer)
}

// Pause blocks the process's traffic and store calls until Resume.
func (p *Process) Pause() {
	p.store.pause()
	p.Host.Pause()
}

// Resume ends Pause.
func (p *Process) Resume() {
	p.store.resume()
	p.Host.Resume()
}

// SetStoreUnreachable sets whether the key-value service is unreachable for this
// process only.
func (p *Process) SetStoreUnreachable(unreachable bool) {
	p.store.setUnavailable(unreachable)
}

// RemoveFromVMList publishes the VM list without one VM.
func (f *Fleet) RemoveFromVMList(vm string) {
	f.updateVMList(func(row vmlist.VM) (vmlist.VM, bool) { return row, string(row.ID) != vm })
}

// MarkLeaving publishes the VM list with one VM marked as leaving.
func (f *Fleet) MarkLeaving(vm string) {
	f.updateVMList(func(row vmlist.VM) (vmlist.VM, bool) {
		if string(row.ID) == vm {
			row.State = vmlist.StateLeaving
		}
		return row, true
	})
}

// publishVMList publishes every VM as live.
func (f *Fleet) publishVMList() {
	f.updateVMList(func(row vmlist.VM) (vmlist.VM, bool) { return row, true })
}

// updateVMList publishes the original row of each VM as changed by change, and
// omits a VM for which change returns false.
func (f *Fleet) updateVMList(change func(vmlist.VM) (vmlist.VM, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []vmlist.VM
	for _, name := range f.startOrder {
		if row, ok := change(f.processes[name].row); ok {
			rows = append(rows, row)
		}
	}
	f.VMList.Set(rows...)
}

func (f *Fleet) addEngine(i int) {
	server := engine.NewServer(engine.Options{
		Slots: f.opts.Slots, LoadTime: adapterLoadTime, TokenTime: timePerToken,
		ChecksFencingToken: !f.opts.IgnoreFencingTokens, CrashMarker: f.opts.CrashMarker,
	})
	name := fmt.Sprintf("engine-%d", i+1)
	f.addEndpoint(name, server, &Endpoint{Engine: server})
	row := f.newRow(name, i, vmlist.RoleEngine)
	row.Base = Base
	f.startProcess(name, row, f.newAgentFunc(row, f.opts.Slots))
}

func (f *Fleet) addService(s ident.Service, i int) {
	handler := f.opts.Handler
	if handler == nil {
		handler = service.NewServer()
	}
	name := fmt.Sprintf("%s-%d", s, i)
	f.addEndpoint(name, handler, &Endpoint{})
	row := f.newRow(name, i, vmlist.RolePlain)
	row.Service = s
	f.startProcess(name, row, f.newAgentFunc(row, 0))
}

func (f *Fleet) addEntry(i int) {
	row := f.newRow(fmt.Sprintf("entry-%d", i+1), i, vmlist.RoleEntry)
	f.startProcess(string(row.ID), row, f.newEntryFunc(row))
}

func (f *Fleet) newRow(name string, i int, role vmlist.Role) vmlist.VM {
	return vmlist.VM{
		ID: ident.VM(name), Role: role, Address: name + ":" + portFleet, Region: Region,
		FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", i%4+1)), State: vmlist.StateLive,
	}
}

// endpointHost returns the host name of the endpoint on a VM.
func endpointHost(vm string) string { return vm + "-endpoint" }

// addEndpoint starts the HTTP server of the endpoint on a VM.
func (f *Fleet) addEndpoint(vm string, handler http.Handler, e *Endpoint) {
	e.Host = f.Network.NewHost(endpointHost(vm))
	e.handler = handler
	f.Endpoints[vm] = e
	server := process.NewHTTPServer(vm, e.Host.Listen(portEndpoint), e, 0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx)
	}()
	f.stopFuncs = append(f.stopFuncs, func() {
		cancel()
		<-done
	})
}

// startProcess starts an incarnation of a process. It ends the test if the
// process can't be created.
func (f *Fleet) startProcess(vm string, row vmlist.VM, newServer func(*Process) (server, error)) {
	p := &Process{
		Name: vm, Host: f.Network.NewHost(vm), store: &gatedStore{Store: f.Store},
		done: make(chan struct{}), row: row, newServer: newServer,
	}
	s, err := newServer(p)
	if err != nil {
		f.t.Fatalf("start %s: %v", vm, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		_ = s.Serve(ctx)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.processes[vm]; ok {
		f.stopFuncs = append(f.stopFuncs, func() { <-old.done })
	} else {
		f.startOrder = append(f.startOrder, vm)
	}
	f.processes[vm] = p
}

// newAgentFunc returns the constructor for an agent's incarnations.
func (f *Fleet) newAgentFunc(row vmlist.VM, slots int) func(*Process) (server, error) {
	return func(p *Process) (server, error) {
		return agent.New(agent.Options{
			Settings: agent.Settings{
				VM: row.ID, FailureDomain: row.FailureDomain, Region: Region,
				EndpointAddress: endpointHost(p.Name) + ":" + portEndpoint, ChecksFencingToken: !f.opts.IgnoreFencingTokens,
				Slots: slots, Capacity: f.opts.Capacity, Security: transport.Security{Secret: fleetSecret},
				OrderTimeout: orderTimeout, DrainTimeout: drainTimeout, StoreTimeout: storeTimeout,
				MaxBodyBytes: maxBodyBytes, TimelineEvents: timelineEvents,
			},
			Store:         p.store,
			VMList:        f.VMList,
			FleetListener: p.Host.Listen(portFleet),
			AdminListener: p.Host.Listen(portAdmin),
			Log:           f.log,
			Dial:          p.Host.Dial,
		})
	}
}

// newEntryFunc returns the constructor for an entry's incarnations.
func (f *Fleet) newEntryFunc(row vmlist.VM) func(*Process) (server, error) {
	return func(p *Process) (server, error) {
		return entry.New(entry.Options{
			Settings: entry.Settings{
				VM: row.ID, FailureDomain: row.FailureDomain, Region: Region, OperatorsToken: OperatorsToken,
				Security: transport.Security{Secret: fleetSecret}, MaxBodyBytes: maxBodyBytes,
				RequestTimeout: RequestTimeout, BodyTimeout: callerTimeout, WriteTimeout: callerTimeout,
				DrainDelay: drainDelay, DrainTimeout: drainTimeout, StoreTimeout: storeTimeout,
				VMListInterval: vmListInterval, TimelineEvents: timelineEvents,
			},
			Store:             p.store,
			VMList:            f.VMList,
			CallersListener:   p.Host.Listen(portCallers),
			OperatorsListener: p.Host.Listen(portOperators),
			FleetListener:     p.Host.Listen(portFleet),
			AdminListener:     p.Host.Listen(portAdmin),
			Log:               f.log,
			Dial:              p.Host.Dial,
		})
	}
}

// Package demo runs a small fleet in one process on loopback TCP addresses. It
// consists of entries, four engines and one plain service with their agents, and
// stand-ins for the key-value service and the VM list of the platform.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/agent"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/entry"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
	enginestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/standin/kv"
	servicestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/service"
	vmliststandin "github.com/hyssoptiller/hyssoptiller/internal/standin/vmlist"
)

// Times of the engines in hyssop-demo.
const (
	EngineLoadTime  = 250 * time.Millisecond // Duration of an adapter load.
	EngineTokenTime = 20 * time.Millisecond  // Time per output token.
)

// OperatorsToken is the token with which operators authenticate.
const OperatorsToken = "demo-operators-token"

const (
	fleetSecret       = "demo-fleet-secret"
	engineCount       = 4
	engineSlots       = 4  // Adapter slots of an engine.
	endpointCapacity  = 16 // Attempts that run on an endpoint at the same time.
	drainTimeout      = 30 * time.Second
	storeTimeout      = 2 * time.Second
	requestTimeout    = 2 * time.Minute
	callerIOTimeout   = 30 * time.Second
	vmListInterval    = time.Second
	vmListLag         = 2 * time.Second  // Lag of the stand-in for the VM list.
	maxVMListLag      = 10 * time.Second // Maximum lag of the VM list in the settings of the entries.
	orderTimeout      = 10 * time.Second
	maxBodyBytes      = 4 << 20
	timelineEvents    = 4096
	baseModel         = "base-7b"
	bookingService    = "booking"
	readyPollInterval = 20 * time.Millisecond
	region            = "region-1"
	loopbackFreePort  = "127.0.0.1:0"
)

// Options configures New.
type Options struct {
	Callers        []string      // Listen addresses for callers, one for each entry.
	Operators      string        // Listen address of the first entry for operators.
	TokenTime      time.Duration // Time per output token on the engines.
	LoadTime       time.Duration // Duration of an adapter load on the engines.
	Allowances     string        // Allowances list in YAML; if empty, seedAllowances is used.
	RecordRequests bool          // Whether the engines record the headers and bodies of requests.
	Log            *logrus.Entry
}

// Demo is a fleet with its stand-ins. The exported fields give tests access to them.
type Demo struct {
	Memory  *store.Memory           // Data and faults of the key-value service.
	VMs     *vmliststandin.Server   // The VM list.
	Engines []*enginestandin.Server // The model engines.
	Booking *servicestandin.Server  // The plain service.
	Entries []*entry.Entry
	Agents  []*agent.Agent

	opts             Options
	supervisor       *suture.Supervisor
	storeAddress     string
	vmListAddress    string
	rows             []vmlist.VM // Initial rows of the VM list.
	callersAddresses []string
	operatorsAddress string
}

// New opens all listeners and creates the fleet. Serve starts it.
func New(opts Options) (*Demo, error) {
	d := &Demo{
		Memory:     store.NewMemory(),
		Booking:    servicestandin.NewServer(),
		opts:       opts,
		supervisor: process.NewSupervisor("demo", opts.Log, drainTimeout),
	}
	allowances := opts.Allowances
	if allowances == "" {
		allowances = seedAllowances
	}
	if err := seed(context.Background(), d.Memory, allowances); err != nil {
		return nil, err
	}
	d.VMs = vmliststandin.NewServer(vmListLag)
	steps := []func() error{d.addPlatform, d.addEngines, d.addBooking, d.addEntries}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	d.VMs.SetNow(d.rows...)
	return d, nil
}

// CallersAddresses returns the address for callers of each entry.
func (d *Demo) CallersAddresses() []string {
	return d.callersAddresses
}

// OperatorsAddress returns the address of the first entry for operators.
func (d *Demo) OperatorsAddress() string {
	return d.operatorsAddress
}

// Serve runs the fleet until ctx ends. It returns an error only if the fleet ends
// earlier.
func (d *Demo) Serve(ctx context.Context) error {
	err := d.supervisor.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// WaitReady waits until every entry is ready. It returns an error if ctx ends before.
func (d *Demo) WaitReady(ctx context.Context) error {
	for {
		ready := true
		for _, e := range d.Entries {
			ready = ready && e.Ready()
		}
		if ready {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// serveHTTP adds an HTTP server on a free loopback port and returns its address.
func (d *Demo) serveHTTP(name string, h http.Handler) (string, error) {
	l, err := process.Listen(loopbackFreePort)
	if err != nil {
		return "", err
	}
	d.supervisor.Add(process.NewHTTPServer(name, l, h, time.Second))
	return l.Addr().String(), nil
}

// addPlatform adds the servers of the stand-ins for the key-value service and the VM list.
func (d *Demo) addPlatform() error {
	var err error
	d.storeAddress, err = d.serveHTTP("store", kv.NewServer(d.Memory))
	if err != nil {
		return err
	}
	d.vmListAddress, err = d.serveHTTP("vm-list", d.VMs)
	return err
}

func (d *Demo) addEngines() error {
	for i := range engineCount {
		server := enginestandin.NewServer(enginestandin.Options{
			Slots: engineSlots, LoadTime: d.opts.LoadTime, TokenTime: d.opts.TokenTime,
			ChecksFencingToken: true, RecordRequests: d.opts.RecordRequests,
		})
		d.Engines = append(d.Engines, server)
		vm := vmlist.VM{
			ID: ident.VM(fmt.Sprintf("engine-%d", i+1)), Role: vmlist.RoleEngine, Base: baseModel,
			FailureDomain: failureDomain(i),
		}
		if err := d.addAgent(vm, server, engineSlots); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) addBooking() error {
	vm := vmlist.VM{ID: "booking-1", Role: vmlist.RolePlain, Service: bookingService, FailureDomain: failureDomain(0)}
	return d.addAgent(vm, d.Booking, 0)
}

// addAgent adds an endpoint and its agent, and completes the row vm of the VM list. A
// plain service has 0 slots.
func (d *Demo) addAgent(vm vmlist.VM, endpoint http.Handler, slots int) error {
	endpointAddress, err := d.serveHTTP("endpoint "+string(vm.ID), endpoint)
	if err != nil {
		return err
	}
	fleet, admin, err := listenPair()
	if err != nil {
		return err
	}
	vm.Address = fleet.Addr().String()
	vm.Region = region
	vm.State = vmlist.StateLive
	a, err := agent.New(agent.Options{
		Settings: agent.Settings{
			VM: vm.ID, FailureDomain: vm.FailureDomain, Region: region,
			EndpointAddress: endpointAddress, ChecksFencingToken: true, Slots: slots, Capacity: endpointCapacity,
			StoreAddress: d.storeAddress, Security: transport.Security{Secret: fleetSecret},
			OrderTimeout: orderTimeout, DrainTimeout: drainTimeout, StoreTimeout: storeTimeout,
			MaxBodyBytes: maxBodyBytes, TimelineEvents: timelineEvents,
		},
		Store:         d.storeClient(),
		VMList:        vmlist.NewClient("http://"+d.vmListAddress+"/vms", storeTimeout),
		FleetListener: fleet,
		AdminListener: admin,
		Log:           d.opts.Log.WithField("vm", vm.ID),
	})
	if err != nil {
		return err
	}
	d.Agents = append(d.Agents, a)
	d.rows = append(d.rows, vm)
	d.supervisor.Add(a)
	return nil
}

// addEntries adds one entry for each address of Options.Callers.
func (d *Demo) addEntries() error {
	for i, address := range d.opts.Callers {
		operatorsAddress := loopbackFreePort
		if i == 0 {
			operatorsAddress = d.opts.Operators
		}
		if err := d.addEntry(i, address, operatorsAddress); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) addEntry(i int, callersAddress, operatorsAddress string) error {
	callers, err := process.Listen(callersAddress)
	if err != nil {
		return err
	}
	operators, err := process.Listen(operatorsAddress)
	if err != nil {
		return err
	}
	fleet, admin, err := listenPair()
	if err != nil {
		return err
	}
	id := ident.VM(fmt.Sprintf("entry-%d", i+1))
	e, err := entry.New(entry.Options{
		Settings: entry.Settings{
			VM: id, FailureDomain: failureDomain(i), Region: region, OperatorsToken: OperatorsToken,
			Security: transport.Security{Secret: fleetSecret}, MaxBodyBytes: maxBodyBytes,
			RequestTimeout: requestTimeout, BodyTimeout: callerIOTimeout, WriteTimeout: callerIOTimeout,
			DrainTimeout: drainTimeout, StoreTimeout: storeTimeout, VMListInterval: vmListInterval, VMListLag: maxVMListLag,
			TimelineEvents: timelineEvents,
		},
		Store:             d.storeClient(),
		VMList:            vmlist.NewClient("http://"+d.vmListAddress+"/vms", storeTimeout),
		CallersListener:   callers,
		OperatorsListener: operators,
		FleetListener:     fleet,
		AdminListener:     admin,
		Log:               d.opts.Log.WithField("vm", id),
	})
	if err != nil {
		return err
	}
	if i == 0 {
		d.operatorsAddress = operators.Addr().String()
	}
	d.callersAddresses = append(d.callersAddresses, callers.Addr().String())
	d.Entries = append(d.Entries, e)
	d.rows = append(d.rows, vmlist.VM{
		ID: id, Role: vmlist.RoleEntry, Address: fleet.Addr().String(),
		FailureDomain: failureDomain(i), Region: region, State: vmlist.StateLive,
	})
	d.supervisor.Add(e)
	return nil
}

func (d *Demo) storeClient() store.Store {
	return store.NewConsul(store.ConsulOptions{Address: d.storeAddress, Prefix: "hyssop/", Timeout: storeTimeout})
}

// listenPair opens two listeners on free loopback ports.
func listenPair() (net.Listener, net.Listener, error) {
	first, err := process.Listen(loopbackFreePort)
	if err != nil {
		return nil, nil, err
	}
	second, err := process.Listen(loopbackFreePort)
	return first, second, err
}

// failureDomain returns the failure domain of the process with the index i. Indexes
// are assigned in rotation to engineCount domains.
func failureDomain(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("domain-%d", i%engineCount+1))
}

// prefixedStore adds the key prefix of storeClient to the keys of Get and
// CompareAndSwap, so that the editor writes the seed to the keys that clients read.
// Its other methods do not add the prefix.
type prefixedStore struct {
	store.Store
}

// Get implements store.Store.
func (p prefixedStore) Get(ctx context.Context, key string) (store.Record, error) {
	return p.Store.Get(ctx, "hyssop/"+key)
}

// CompareAndSwap implements store.Store.
func (p prefixedStore) CompareAndSwap(ctx context.Context, key string, value []byte, prev store.Index) (bool, error) {
	return p.Store.CompareAndSwap(ctx, "hyssop/"+key, value, prev)
}

// Seed writes the lists and keys of the demo to memory.
func Seed(ctx context.Context, memory *store.Memory) error {
	return seed(ctx, memory, seedAllowances)
}

// seed writes the plans and keys of the demo and the given allowances to memory.
func seed(ctx context.Context, memory *store.Memory, allowances string) error {
	editor := config.NewEditor(prefixedStore{memory})
	if _, err := editor.Apply(ctx, config.ListAllowances, allowances, 0); err != nil {
		return errors.Annotate(err, "write allowances of the demo")
	}
	if _, err := editor.Apply(ctx, config.ListPlans, seedPlans, 1); err != nil {
		return errors.Annotate(err, "write plans of the demo")
	}
	for _, k := range seedKeys {
		key := config.Key{Hash: ident.HashKey(k.key), Organisation: k.organisation}
		if _, err := editor.GrantKey(ctx, key); err != nil {
			return errors.Annotate(err, "write keys of the demo")
		}
	}
	return nil
}

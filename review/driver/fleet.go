//go:build review

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hyssoptiller/hyssoptiller/platform/standin"
)

// Names and bounds of the deployment that the cases play. The bounds are those of the users' sheet.
const (
	host          = "forge.example"
	apiKey        = "k3y0fsm1thy"
	modelName     = "base70b"
	schedulerPort = "7180"
	contactTime   = 3 * time.Second
	heartbeat     = 1200 * time.Millisecond
	versionBound  = 5 * time.Second
)

// fleet is the deployment of one case.
type fleet struct {
	began   time.Time
	trouble bool
	network string // First three bytes of the loopback addresses.
	store   *standin.Store
	address string // Of the store.

	mu        sync.Mutex
	out       io.Writer
	processes []*process
	routers   []*process
}

func newFleet(out io.Writer, trouble bool) *fleet {
	return &fleet{began: time.Now(), trouble: trouble, out: out}
}

// now returns the time since the start of the case, in seconds.
func (f *fleet) now() float64 { return time.Since(f.began).Seconds() }

// record writes one line of the record.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.out, "%8.3f  %s\n", f.now(), fmt.Sprintf(format, args...))
}

// startStore finds a free loopback network and starts the store with a configuration.
func (f *fleet) startStore(config map[string]any) {
	var l net.Listener
	for range 50 {
		var b [2]byte
		_, _ = rand.Read(b[:])
		f.network = fmt.Sprintf("127.%d.%d", 60+int(b[0])%150, 1+int(b[1])%250)
		probe, err := net.Listen("tcp", f.network+".100:8221")
		if err != nil {
			continue
		}
		_ = probe.Close()
		if l, err = net.Listen("tcp", f.network+".1:0"); err == nil {
			break
		}
	}
	if l == nil {
		panic("no free loopback network")
	}
	f.store, f.address = standin.NewStore(), l.Addr().String()
	go func() { _ = (&http.Server{Handler: f.store}).Serve(l) }()
	f.store.Put("op/config", config)
	f.record("store at %s, configuration written", f.address)
}

// route returns a route of the configuration.
func route(prefix, kind, service string, attempts, timeoutMS, targetMS int) map[string]any {
	return map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "host": host, "path-prefix": prefix, "kind": kind, "service": service,
		"timeout-ms": timeoutMS, "target-latency-ms": targetMS, "gap-aim-ms": 300, "attempts": attempts, "resumable": false, "priority": 1,
	}
}

// config returns a configuration with one tenant.
func config(routes ...any) map[string]any {
	return map[string]any{
		"version": 4, "routes": routes,
		"services": []any{
			map[string]any{"name": "kowal-llm", "engine": map[string]any{
				"slots": 64, "kv-capacity": 254706, "adapter-slots": 7, "weights-mb": 66500,
				"models": []any{map[string]any{"name": modelName, "weights-mb": 65100, "load-s": 1.9, "adapters": 3000, "adapter-mb": 12}},
			}},
			map[string]any{"name": "kowal-app"},
		},
		"tenants": []any{map[string]any{
			"name": "smithy", "api-keys": []string{apiKey}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 1e6, "burst": 2e6,
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000,
		},
	}
}

// process is a program of the project.
type process struct {
	f    *fleet
	name string
	path string
	env  []string
	// Addresses of a router.
	callers, ready string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log := io.Discard
	if dir := os.Getenv("CASE_LOGS"); dir != "" { // For reading what happened; not needed to judge.
		file, err := os.OpenFile(dir+"/"+p.name+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err == nil {
			log = file
		}
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(fmt.Sprintf("%s: %v (build with the command of the deploy file and review/build.sh)", p.name, err))
	}
	p.cmd = cmd
	p.f.record("%s started, process %d", p.name, cmd.Process.Pid)
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
		p.f.record("%s gets signal %s", p.name, s)
	}
}

// wait waits for the end of the process, which it kills after grace.
func (p *process) wait(grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	timer := time.AfterFunc(grace, func() { _ = p.cmd.Process.Kill() })
	_ = p.cmd.Wait()
	timer.Stop()
	p.cmd = nil
	p.f.record("%s ended", p.name)
}

// stopAll kills all processes.
func (f *fleet) stopAll() {
	f.mu.Lock()
	list := f.processes
	f.mu.Unlock()
	for _, p := range list {
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
			p.cmd = nil
		}
		p.mu.Unlock()
	}
}

func (f *fleet) addProcess(p *process) *process {
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	p.start()
	return p
}

// addRouter starts a router with the settings of the deploy file.
func (f *fleet) addRouter(zone string) *process {
	n := len(f.routers) + 1
	ip := fmt.Sprintf("%s.%d", f.network, 99+n)
	name := fmt.Sprintf("front-%s-%d", zone, n)
	p := &process{f: f, name: name, path: "target/hyssop-router", callers: ip + ":8221", ready: ip + ":8224", env: []string{
		"HYSSOP_VM=" + name, "HYSSOP_FAILURE_DOMAIN=" + zone, "HYSSOP_CALLERS=" + ip + ":8221", "HYSSOP_READY=" + ip + ":8224",
		"HYSSOP_PEERS=" + ip + ":" + schedulerPort, "HYSSOP_ADMIN=" + ip + ":9464", "HYSSOP_STORE=" + f.address,
		"HYSSOP_SCHEDULER_PORT=" + schedulerPort, "HYSSOP_MEMORY_MB=284", "HYSSOP_GRACE=8s", "HYSSOP_DRAIN_BOUND=2000ms",
		"HYSSOP_CONFIG_BOUND=2000ms", "HYSSOP_RETRY_RATIO=0.2", "HYSSOP_RETRY_BURST=58",
	}}
	f.routers = append(f.routers, p)
	return f.addProcess(p)
}

// addScheduler starts the scheduler beside an engine, with the settings of the deploy file.
func (f *fleet) addScheduler(r *runner) *process {
	ip, _, _ := net.SplitHostPort(r.address)
	name := "side-" + r.name
	return f.addProcess(&process{f: f, name: name, path: "target/hyssop-scheduler", env: []string{
		"HYSSOP_VM=" + name, "HYSSOP_FAILURE_DOMAIN=" + r.zone, "HYSSOP_SERVICE=" + r.service, "HYSSOP_ENGINE=" + r.address,
		"HYSSOP_LISTEN=" + ip + ":" + schedulerPort, "HYSSOP_ADMIN=" + ip + ":9464", "HYSSOP_STORE=" + f.address, "HYSSOP_MEMORY_MB=216",
	}})
}

// waitReady waits until a router says that it is ready.
func (f *fleet) waitReady(p *process) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + p.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.record("%s is ready", p.name)
			return
		}
	}
	panic(p.name + " is not ready")
}

// answer is what a client got for one request.
type answer struct {
	id     string
	status int // 0 if none.
	header http.Header
	body   string
	err    error
}

// newID returns a new request id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// client sends the requests of clients. Each one opens connections of its own and keeps them.
var client = &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second, DisableCompression: true}

// send sends one client attempt to a router and records it.
func (f *fleet) send(to *process, method, path, body string, deadline time.Duration, headers map[string]string) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil // The transport must not send it again.
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	sent := f.now()
	resp, err := client.RoundTrip(req)
	if err != nil {
		a.err = err
		f.record("client: %s %s id %s sent at %.3f to %s: no answer (%v)", method, path, a.id, sent, to.name, err)
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(data), err
	f.record("client: %s %s id %s sent at %.3f to %s: status %d, Response-Seal %q, %d bytes, whole %t",
		method, path, a.id, sent, to.name, a.status, a.header.Get("Response-Seal"), len(data), err == nil)
	return a
}

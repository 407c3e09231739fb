package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hyssoptiller/hyssoptiller/platform/standin"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

const deployFile = "deploy/system.toml"

// Bounds and sizes of the deployment: those of the users' booking deployment.
const (
	contact       = 3000 * time.Millisecond
	versionBound  = 5000 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	frontMemoryMB = 284
	sideMemoryMB  = 216
	firstPort     = 7600
	frontPort     = 8221
	readyPort     = 8224
	appPort       = 8228
	storePort     = 8225
	host          = "forge.example"
	model         = "base70"
	llm           = "kowal-llm"
	app           = "kowal-app"
	hours         = "kowal-hours"
)

// fleet is the store, the runners and the processes of one case.
type fleet struct {
	trouble bool
	network string // First three bytes of the loopback addresses.
	dir     string
	store   *standin.Store
	began   time.Time
	roles   map[string]role

	mu      sync.Mutex
	record  *os.File
	procs   []*proc
	runners []*runner
	ended   bool
}

// role is a role of the deploy file.
type role struct {
	run string
	env map[string]string
}

func newFleet(recordPath string, trouble bool) (*fleet, error) {
	roles, err := readDeployFile(deployFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{trouble: trouble, dir: dir, store: standin.NewStore(), began: time.Now(), roles: roles, record: record}
	var l net.Listener
	for range 20 { // Another process may use the network.
		f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if l, err = net.Listen("tcp", f.storeAddress()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	f.log("trouble=%t", trouble)
	return f, nil
}

func (f *fleet) ip(n int) string          { return fmt.Sprintf("%s.%d", f.network, n) }
func (f *fleet) storeAddress() string     { return fmt.Sprintf("%s:%d", f.ip(2), storePort) }
func (f *fleet) since(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(f.began).Seconds()) }

// log writes a line to the record.
func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ended {
		fmt.Fprintf(f.record, "%s  %s\n", f.since(time.Now()), fmt.Sprintf(format, args...))
	}
}

// limitTime ends the case if it takes too long.
func (f *fleet) limitTime(seconds int) {
	time.AfterFunc(time.Duration(seconds)*time.Second, func() { f.end(exitCannotRun, "the case took too long") })
}

// end ends all processes, closes the record and exits.
func (f *fleet) end(code int, format string, args ...any) {
	verdict := map[int]string{exitHeld: "HELD", exitBroken: "BROKEN", exitCannotRun: "COULD NOT RUN"}[code]
	text := fmt.Sprintf(format, args...)
	f.log("%s: %s", verdict, text)
	f.mu.Lock()
	f.ended = true
	procs := f.procs
	f.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	_ = f.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	fmt.Printf("%s: %s\n", verdict, text)
	os.Exit(code)
}

// wait waits for a condition and ends the case if it does not come true in time.
func (f *fleet) wait(what string, limit time.Duration, done func() bool) {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
		if time.Now().After(end) {
			f.end(exitCannotRun, "waited in vain: %s", what)
		}
	}
}

// readDeployFile reads the commands and the settings of the roles.
func readDeployFile(path string) (map[string]role, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	roles, current, inEnv := make(map[string]role), "", false
	section := regexp.MustCompile(`^\[roles\.([a-z-]+)(\.env)?\]$`)
	entry := regexp.MustCompile(`^([A-Za-z_-]+) = "(.*)"$`)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if m := section.FindStringSubmatch(line); m != nil {
			current, inEnv = m[1], m[2] != ""
			if _, known := roles[current]; !known {
				roles[current] = role{env: make(map[string]string)}
			}
			continue
		}
		m := entry.FindStringSubmatch(line)
		if m == nil || current == "" {
			continue
		}
		r := roles[current]
		if inEnv {
			r.env[m[1]] = m[2]
		} else if m[1] == "run" {
			r.run = m[2]
		}
		roles[current] = r
	}
	return roles, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)

// render fills in a template of the deploy file.
func render(template string, settings map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		value, ok := settings[m[1]]
		switch {
		case !ok:
			return ""
		case m[2] != "":
			data, _ := json.Marshal(value) // Maps of strings only.
			return string(data)
		default:
			return fmt.Sprint(value)
		}
	})
}

// settings returns the settings of a machine, by the names of the deploy file.
func (f *fleet) settings(node, zone string, n int, front bool, storeAddress string) map[string]any {
	s := map[string]any{
		"node": node, "zone": zone, "ip": f.ip(n), "zones": map[string]string{"pl-south-a": "pl-south", "pl-south-b": "pl-south"},
		"port-range.0": firstPort, "platform.address": storeAddress, "limits.max-fds": 4100, "limits.link-mbps": 1000.0,
		"limits.cpu-share": 0.304, "limits.memory-mb": frontMemoryMB,
		"bounds.grace-s": 8, "bounds.drain-ms": 2000, "bounds.config-ms": 2000, "bounds.budget-ratio": 0.2, "bounds.budget-slack": 58,
		"listen.front": fmt.Sprintf("%s:%d", f.ip(n), frontPort), "listen.ready": fmt.Sprintf("%s:%d", f.ip(n), readyPort),
	}
	if !front {
		s["limits.memory-mb"], s["service"], s["app"] = sideMemoryMB, llm, fmt.Sprintf("%s:%d", f.ip(n), appPort)
	}
	return s
}

// proc is a process of the system, which may be started again.
type proc struct {
	fleet    *fleet
	name     string
	role     string
	ip       string
	settings map[string]any

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	starts int
}

// addProc adds and starts a process.
func (f *fleet) addProc(name, roleName, zone string, n int, storeAddress string) *proc {
	p := &proc{
		fleet: f, name: name, role: roleName, ip: f.ip(n), settings: f.settings(name, zone, n, roleName == "router", storeAddress),
	}
	f.mu.Lock()
	f.procs = append(f.procs, p)
	f.mu.Unlock()
	p.start()
	return p
}

// start starts the process with the command of the deploy file.
func (p *proc) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.fleet.roles[p.role]
	words := strings.Fields(r.run)
	if len(words) == 0 {
		p.fleet.end(exitCannotRun, "the deploy file has no role %s", p.role)
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.dir}
	for name, template := range r.env {
		cmd.Env = append(cmd.Env, name+"="+render(template, p.settings))
	}
	p.starts++
	out, err := os.Create(filepath.Join(p.fleet.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		p.fleet.end(exitCannotRun, "log of %s: %v", p.name, err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.fleet.end(exitCannotRun, "%s does not start: %v", p.name, err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(p.done)
	p.fleet.log("process %s started", p.name)
}

// pid returns the id of the running process, 0 if it has ended.
func (p *proc) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// signal sends a signal to the process.
func (p *proc) signal(s syscall.Signal) {
	if pid := p.pid(); pid != 0 {
		_ = syscall.Kill(pid, s)
	}
}

// kill ends the process and waits for its end.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// ready reports whether a router is ready.
func (p *proc) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", p.ip, readyPort))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// front returns the address of a router for clients.
func (p *proc) front() string { return fmt.Sprintf("%s:%d", p.ip, frontPort) }

// putConfig writes the operator's configuration.
func (f *fleet) putConfig(version int) {
	route := func(name, kind, service string, timeout, target, attempts, priority int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "service": service, "timeout-ms": timeout,
			"target-latency-ms": target, "attempts": attempts, "priority": priority, "resumable": resumable, "public": false, "gap-aim-ms": 300,
		}
	}
	f.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("digest", "stream", llm, 5000, 1000, 2, 1, true), route("brief", "stream", llm, 10000, 1000, 1, 1, false),
			route("chat", "stream", llm, 15000, 600, 2, 0, true), route("pay", "unsafe", app, 4000, 300, 1, 2, false),
			route("lookup", "safe", app, 4000, 300, 2, 2, false), route("hours", "safe", hours, 4000, 1000, 2, 2, false),
		},
		"services": []any{
			map[string]any{
				"name": llm, "health-path": "/health", "max-connections": 370, "engine": map[string]any{
					"slots": 64, "kv-capacity": 254706, "adapter-slots": 7, "weights-mb": 66000, "loads-per-s": 4.2,
					"models": []any{map[string]any{"name": model, "weights-mb": 65100, "load-s": 1.9, "adapters": 3000, "adapter-mb": 66}},
				},
			},
			map[string]any{"name": app, "health-path": "/health", "max-connections": 110},
			map[string]any{"name": hours, "health-path": "/health", "max-connections": 110},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{
			"name": "smithy", "api-keys": []string{"key-of-smithy"}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 1e6, "burst": 1e6,
		}},
	})
}

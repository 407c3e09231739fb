// Package crowd tests that callers cannot exhaust an entry or an agent.
package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	memoryMB    = 96      // Memory of the VM of the entry, and of that of the agent.
	descriptors = 400     // Descriptors of the VM of the entry, of which 200 are kept for files.
	maxBody     = 1 << 20 // Bytes; the bodies of all members together exceed the memory.
	sendTime    = 6 * time.Second
	patience    = 10 * time.Second
)

// The kinds of bodies of members. Those that finish reach the agent.
var kinds = []struct {
	framing string
	chunk   int // 0 if the length is announced.
	piece   int // Bytes of each write.
	ends    bool
}{
	{fmt.Sprintf("Content-Length: %d", maxBody), 0, maxBody, false},
	{fmt.Sprintf("Content-Length: %d", maxBody), 0, 16 << 10, false},
	{"Transfer-Encoding: chunked", 64 << 10, 64 << 10, false},
	{"Transfer-Encoding: chunked", 8, 64 << 10, false},
	{fmt.Sprintf("Content-Length: %d", maxBody), 0, 64 << 10, true},
}

// Many large bodies at once, most of which stop just short of their end.
func TestCrowdOfBodiesAtEntryIsSurvived(t *testing.T) {
	f := startFleet(t)
	wires := make([][]byte, len(kinds))
	for i, k := range kinds {
		wires[i] = wire(k.chunk, k.ends)
	}
	f.play(120, func(i int, c net.Conn) {
		k := i % len(kinds)
		_, _ = fmt.Fprintf(c, "POST /services/booking/deposits HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer demo-smithy\r\n%s\r\n\r\n", kinds[k].framing)
		for rest := wires[k]; len(rest) > 0; {
			n := min(kinds[k].piece, len(rest))
			_ = c.SetWriteDeadline(time.Now().Add(time.Second)) // The entry may stop reading.
			if _, err := c.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	})
}

// Connections that stop within their header section, more than the VM has descriptors.
func TestCrowdOfConnectionsAtEntryIsSurvived(t *testing.T) {
	startFleet(t).play(700, func(_ int, c net.Conn) {
		_, _ = io.WriteString(c, "POST /services/booking/deposits HTTP/1.1\r\nHost: ")
	})
}

// wire returns a body as sent; it lacks its last byte or its last chunk unless it ends.
func wire(chunk int, ends bool) []byte {
	if chunk == 0 {
		if ends {
			return bytes.Repeat([]byte("x"), maxBody)
		}
		return bytes.Repeat([]byte("x"), maxBody-1)
	}
	var b []byte
	for n := 0; n+chunk <= maxBody; n += chunk {
		b = fmt.Appendf(b, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte("x"), chunk))
	}
	return b
}

// fleet is an entry, an agent of the booking service and what they need, as processes.
type fleet struct {
	t            *testing.T
	host         string
	dir          string
	entry, agent *os.Process
}

func (f *fleet) address(port int) string { return net.JoinHostPort(f.host, strconv.Itoa(port)) }

// startFleet starts the fleet and waits until it serves an ordinary request.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, host: fmt.Sprintf("127.%d.251.1", 20+os.Getpid()%200), dir: t.TempDir()}
	build := exec.Command("go", "build", "-o", f.dir, "../../../cmd/hyssop-entry", "../../../cmd/hyssop-agent", "../../../cmd/hyssop-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	vms, err := json.Marshal([]map[string]string{
		{"id": "entry-1", "role": "entry", "address": f.address(7001), "failure_domain": "a", "region": "lima", "state": "live"},
		{"id": "booking-1", "role": "plain", "address": f.address(7102), "failure_domain": "b", "region": "lima", "state": "live", "service": "booking"},
	})
	if err != nil {
		t.Fatal(err)
	}
	list := filepath.Join(f.dir, "vms.json")
	if err := os.WriteFile(list, vms, 0o600); err != nil {
		t.Fatal(err)
	}
	f.start("hyssop-standin", "store", "--seed", "--listen", f.address(8500))
	f.start("hyssop-standin", "vm-list", "--file", list, "--listen", f.address(8501))
	f.start("hyssop-standin", "service", "--listen", f.address(8002))
	f.entry = f.start("hyssop-entry", "--vm", "entry-1", "--failure-domain", "a", "--region", "lima", "--callers", f.address(8080),
		"--operators", f.address(8090), "--fleet", f.address(7001), "--admin", f.address(9001))
	f.agent = f.start("hyssop-agent", "--vm", "booking-1", "--failure-domain", "b", "--region", "lima", "--endpoint", f.address(8002),
		"--slots", "0", "--fleet", f.address(7102), "--admin", f.address(9102))
	if !f.ordinaryRequest() {
		t.Fatal("the fleet serves no request")
	}
	return f
}

func (f *fleet) start(program string, args ...string) *os.Process {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(f.dir, program), args...)
	cmd.Env = []string{
		"HYSSOP_FLEET_SECRET=a-secret-of-the-fleet", "HYSSOP_OPERATORS_TOKEN=an-operators-token", "HYSSOP_STORE=" + f.address(8500),
		"HYSSOP_VM_LIST=http://" + f.address(8501) + "/vms", "HYSSOP_MAX_BODY_BYTES=" + strconv.Itoa(maxBody),
		"HYSSOP_MEMORY_MB=" + strconv.Itoa(memoryMB), "HYSSOP_MAX_FDS=" + strconv.Itoa(descriptors),
	}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// play opens the members' connections, calls send for each and keeps them open, and checks the processes.
func (f *fleet) play(members int, send func(i int, c net.Conn)) {
	f.t.Helper()
	stop := make(chan struct{})
	var all, sent sync.WaitGroup
	for i := range members {
		sent.Add(1)
		all.Go(func() {
			done := sync.OnceFunc(sent.Done)
			defer done()
			c, err := net.Dial("tcp", f.address(8080))
			if err != nil {
				return
			}
			defer c.Close()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			send(i, c)
			done()
			<-stop
		})
	}
	f.t.Cleanup(func() {
		close(stop)
		all.Wait()
	})
	everySent := make(chan struct{})
	go func() {
		sent.Wait()
		close(everySent)
	}()
	open := 0
	for end := time.After(sendTime); everySent != nil; {
		select {
		case <-everySent:
			everySent = nil
		case <-end:
			everySent = nil
		case <-time.After(50 * time.Millisecond):
		}
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.entry.Pid))
		open = max(open, len(fds))
	}
	answered := f.ordinaryRequest()
	entry, agent := peakMemoryMB(f.entry.Pid), peakMemoryMB(f.agent.Pid)
	f.t.Logf("peak of resident memory: entry %d MB, agent %d MB, of %d; descriptors %d of %d; ordinary request answered: %t",
		entry, agent, memoryMB, open, descriptors, answered)
	if entry == 0 || agent == 0 {
		f.t.Fatal("a process has ended")
	}
	if entry >= memoryMB || agent >= memoryMB {
		f.t.Error("a process exceeds the memory of its VM")
	}
	if open >= descriptors {
		f.t.Error("the entry exceeds the descriptors of its VM")
	}
	if !answered {
		f.t.Error("an ordinary request was not answered")
	}
}

// ordinaryRequest sends a request of ordinary size, as often as a client would, and reports whether it was answered.
func (f *fleet) ordinaryRequest() bool {
	body := `{"amount":40,"note":"` + strings.Repeat("x", 20<<10) + `"}`
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+f.address(8080)+"/services/booking/deposits", strings.NewReader(body))
		if err != nil {
			f.t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer demo-smithy")
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusCreated {
			return true
		}
	}
	return false
}

// peakMemoryMB returns the peak of the resident memory of a process, or 0 if it has ended.
func peakMemoryMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["take-up"] = playTakeUp }

// Figures of the streams. The pause between two events stays below the sheet's 300 ms, and a stream ends
// within its time limit of 10 s.
const (
	streamEvents   = 41
	streamEventGap = 200 * time.Millisecond
	streamDeadline = 10 * time.Second
	// rollGap is the time between the stops of two machines, as on the users' sheet.
	rollGap = 1300 * time.Millisecond
	// minTakenUp is the number of streams from which the rule counts.
	minTakenUp = 12
)

// stream is one stream of a client over its tries.
type stream struct {
	path     string
	events   int
	first    string // Id of the attempt that brought the first event.
	software string
	last     int // Id of the last event.
	headers  map[string]string
	complete bool
	endedAt  time.Time
	err      string
}

// read sends one attempt and reads until the stream ends or leave is closed. It returns whether an event came.
func (s *stream) read(ctx context.Context, f *fleet, to *process) bool {
	ctx, cancel := context.WithTimeout(ctx, streamDeadline)
	defer cancel()
	id := newID()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+to.callers+s.path, strings.NewReader("notes"))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(streamDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range s.headers {
		req.Header.Set(name, value)
	}
	what := "begins a stream"
	if s.first != "" {
		req.Header.Set("Resumes", s.first)
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		what = fmt.Sprintf("takes up %s after event %d", s.first, s.last)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		f.record("client: id %s %s at %s: no answer (%v)", id, what, to.name, err)
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
		f.record("client: id %s %s at %s: status %d, Retry-After %q: %s", id, what, to.name, resp.StatusCode, resp.Header.Get("Retry-After"), text)
		return false
	}
	began := false
	lines := bufio.NewScanner(resp.Body)
	event := 0
	for lines.Scan() {
		text := lines.Text()
		if value, ok := strings.CutPrefix(text, "id: "); ok {
			event, _ = strconv.Atoi(value)
		}
		value, ok := strings.CutPrefix(text, "data: ")
		if !ok {
			continue
		}
		software := value[strings.LastIndex(value, " ")+1:]
		if s.first == "" {
			s.first, s.software = id, software
		}
		if !began {
			f.record("client: id %s %s at %s: goes on with event %d of software %s", id, what, to.name, event, software)
		}
		began = true
		if software != s.software || event != s.last+1 {
			s.err = fmt.Sprintf("event %d of software %s follows event %d of software %s", event, software, s.last, s.software)
		}
		s.last = event
	}
	s.complete, s.endedAt = lines.Err() == nil && s.last == s.events, time.Now()
	f.record("client: id %s: the answer ends after event %d of %d, error %v", id, s.last, s.events, lines.Err())
	return began
}

// playTakeUp stops and starts the processes beside the engines in turn while streams run. Then the clients of
// one router lose their connections and take their streams up again at the other one.
func playTakeUp(f *fleet) bool {
	brief := route("/brief/", "stream", "kowal-llm", 2, 10000, 1000)
	brief["resumable"] = true
	f.startStore(config(brief))
	zones := []string{"pl-south-a", "pl-south-b"}
	var engines []*runner
	var schedulers []*process
	for i := range 4 {
		engines = append(engines, f.addRunner(11+i, &runner{
			name: fmt.Sprintf("llm-%d", i+1), service: "kowal-llm", zone: zones[i%2], engine: true, slots: 64, software: []string{"v1", "v2"}[i/2],
			work: 100 * time.Millisecond, eventGap: streamEventGap, events: streamEvents,
			newest: func(string) int64 { return 1 }, preloaded: []string{"a1", "a2", "a3", "a4"},
		}))
	}
	for _, e := range engines {
		schedulers = append(schedulers, f.addScheduler(e))
	}
	for _, zone := range zones {
		f.addRouter(zone)
	}
	for _, p := range f.routers {
		f.waitReady(p)
	}
	time.Sleep(contactTime)
	headers := func(n int) map[string]string {
		return map[string]string{
			"Model": fmt.Sprintf("%s/a%d", modelName, n%4+1), "Token-Count": "826,210", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:119,91bd%04x:79,e4%010x:628", n%4, n),
		}
	}
	const count = 24
	var clients sync.WaitGroup
	var list []*stream
	leave, left := context.WithCancel(context.Background())
	defer left()
	for n := range count {
		s := &stream{path: "/brief/x", events: streamEvents, headers: headers(n)}
		list = append(list, s)
		clients.Go(func() { s.read(leave, f, f.routers[0]) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	for _, p := range schedulers {
		next := time.After(rollGap)
		if f.trouble {
			p.signal(syscall.SIGTERM)
			p.wait(8 * time.Second)
			time.Sleep(300 * time.Millisecond)
			p.start()
		}
		<-next
	}
	time.Sleep(400 * time.Millisecond)
	f.record("the clients at %s lose their connections", f.routers[0].name)
	left()
	clients.Wait()

	// The streams are taken up again, and as many new ones begin, at the router that nothing happened to.
	var mu sync.Mutex
	takenUp, wentOn, began, joined := 0, 0, 0, 0
	for n, s := range list {
		if s.first == "" || s.complete {
			continue
		}
		takenUp++
		clients.Go(func() {
			for range 2 {
				if s.read(context.Background(), f, f.routers[1]) {
					mu.Lock()
					wentOn++
					mu.Unlock()
					break
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
		clients.Go(func() {
			fresh := &stream{path: "/brief/x", events: streamEvents, headers: headers(100 + n)}
			if fresh.read(context.Background(), f, f.routers[1]) {
				mu.Lock()
				began++
				mu.Unlock()
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	joined = len(slices.DeleteFunc(list, func(s *stream) bool { return s.err == "" }))
	if takenUp < minTakenUp || began == 0 {
		panic(fmt.Sprintf("%d streams were taken up, %d new ones began", takenUp, began))
	}
	f.record("streams with events of two software versions, or with a gap: %d", joined)
	f.record("LOST: %d of %d streams that were taken up again went on, %d of %d new streams began; allowed: at least half of that share",
		wentOn, takenUp, began, takenUp)
	return 2*wentOn < began
}

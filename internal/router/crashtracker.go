package router

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/crashrecords"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	pathCrashes      = "/crash-reports"
	pathCrashRecords = "/crash-records" // Asks for the requests with crashes.
	// maxCrashRecords bounds the records in one response.
	maxCrashRecords = 1024
	// reportDelay is how long crash reports are collected before they are sent to the other routers. When
	// many engines crash at once, each router has a report for each request that it sent there.
	reportDelay = 80 * time.Millisecond
	// maxReportsBytes bounds a call with crash reports. A report names its prompt parts twice at most.
	maxReportsBytes = 2*maxPartsBytes + reportBytes
	// reportBytes is the size of a report without its prompt parts, rounded up.
	reportBytes = 512
	// crashProbeDelay gives a crashed process time to close its port.
	crashProbeDelay = 40 * time.Millisecond
	// crashProbeTimeout bounds the connection attempt that checks for a crash.
	crashProbeTimeout = 300 * time.Millisecond
	// minRestartTime is the shortest time between two crashes of one endpoint.
	minRestartTime = time.Second
)

// crash reports that an endpoint crashed while it ran a request.
type crash struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	Endpoint    catalog.EndpointID     `json:"endpoint"`
	// Incarnation is that of the endpoint by its registration; 0 if unknown, also in reports of former builds.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// crashKey is what a crash is counted for.
type crashKey struct {
	fingerprint quarantine.Fingerprint
	endpoint    catalog.EndpointID
}

// countedCrash is the last crash that was counted for a crashKey.
type countedCrash struct {
	incarnation int64
	at          time.Time
}

// repeats reports whether a crash is the counted one, noticed by another request or router. A registration that is read late
// names the former incarnation, so that another one alone does not prove another crash.
func (c countedCrash) repeats(incarnation int64, now time.Time) bool {
	return incarnation == c.incarnation || incarnation == 0 || now.Sub(c.at) < minRestartTime
}

// crashReports is the body of a call that reports crashes.
type crashReports struct {
	Reports []crashReport `json:"reports"`
}

// crashReport reports a crash to other routers. Parts is set if it counts for prompt parts too.
type crashReport struct {
	crash
	Parts *partCrash `json:"parts,omitempty"`
}

// crashTracker finds requests that crash the endpoints that run them. A crash of an endpoint
// counts once for each distinct request that ran there.
type crashTracker struct {
	// OnPartCrash is called in the background for each reported crash that counts for prompt parts. It may
	// be nil.
	OnPartCrash func(partCrash)
	// OnCounted is called in the background after a crash that this router has noticed was counted. It may be nil.
	OnCounted func()

	peers *quota.Peers
	log   *logrus.Entry

	mu       sync.Mutex
	tracker  *quarantine.CrashTracker
	counted  map[crashKey]countedCrash
	outgoing []crashReport // Reports that were not sent to the other routers yet.
	fetches  int           // Routers asked for their records.
}

func newCrashTracker(peers *quota.Peers, log *logrus.Entry) *crashTracker {
	return &crashTracker{
		peers: peers, log: log, tracker: quarantine.NewCrashTracker(crashrecords.Limits()), counted: make(map[crashKey]countedCrash),
	}
}

// fingerprint returns the fingerprint of a request.
func fingerprint(org, method, uri string, body ...[]byte) quarantine.Fingerprint {
	return quarantine.NewFingerprint(ident.Organisation(org), method+" "+uri, body...)
}

// quarantined reports whether a request is quarantined. It calls fingerprint only while the
// tracker has entries.
func (t *crashTracker) quarantined(fingerprint func() quarantine.Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Only the number of crashes counts. Equal requests may run concurrently even after a
	// crash: serialising them would refuse requests only because they wait for another run.
	return t.tracker.Len() > 0 && t.tracker.IsQuarantined(fingerprint(), now)
}

// recordSuccess clears the crashes of a request that finished.
func (t *crashTracker) recordSuccess(fingerprint func() quarantine.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tracker.Len() > 0 {
		t.tracker.EndRun(fingerprint(), quarantine.VerdictRun, quarantine.OutcomeFinished, time.Now())
	}
}

// checkCrash probes, in the background, an endpoint whose connection broke during a request.
// If the endpoint accepts no connection, checkCrash counts a crash and reports it to all
// routers. If only the process has ended, not its VM, the crash counts for the prompt parts too.
// checkCrash then calls done, unless that is nil.
func (t *crashTracker) checkCrash(fingerprint quarantine.Fingerprint, endpoint *catalog.Endpoint, parts partCrash, done func()) {
	go func() {
		ctx := context.Background()
		_ = sleep.For(ctx, crashProbeDelay) // This context does not end.
		if result := probe(endpoint.Address); result != probeAccepted {
			report := crashReport{crash: crash{Fingerprint: fingerprint, Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation}}
			if result == probeRefused && len(parts.Parts) > 0 {
				report.Parts = &parts
			}
			t.broadcast(report)
			t.recordReport(report)
			if t.OnCounted != nil {
				t.OnCounted()
			}
		}
		if done != nil {
			done()
		}
	}()
}

// broadcast sends a report to the other routers after reportDelay, together with the reports that are
// added meanwhile.
func (t *crashTracker) broadcast(report crashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outgoing = append(t.outgoing, report)
	if len(t.outgoing) == 1 {
		time.AfterFunc(reportDelay, t.sendReports)
	}
}

// sendReports sends the collected reports to the other routers.
func (t *crashTracker) sendReports() {
	t.mu.Lock()
	reports := t.outgoing
	t.outgoing = nil
	t.mu.Unlock()
	for len(reports) > 0 {
		n, size := 0, 0
		for n < len(reports) && (n == 0 || size+reports[n].size() <= maxReportsBytes) {
			size += reports[n].size()
			n++
		}
		t.peers.Broadcast(context.Background(), pathCrashes, crashReports{reports[:n]})
		reports = reports[n:]
	}
}

// size returns an upper bound of the size of the encoded report.
func (r crashReport) size() int {
	size := reportBytes
	if r.Parts != nil {
		for _, part := range slices.Concat(r.Parts.Parts, r.Parts.Trial) {
			size += len(part) + 3
		}
	}
	return size
}

// recordReport records a crash that this router or another one has noticed.
func (t *crashTracker) recordReport(report crashReport) {
	t.recordCrash(report.crash)
	if report.Parts != nil && t.OnPartCrash != nil {
		t.OnPartCrash(*report.Parts)
	}
}

// probeResult is the result of a connection attempt to an endpoint.
type probeResult int

// Values of probeResult.
const (
	probeAccepted probeResult = iota
	probeRefused              // The VM responds, but no process listens.
	probeSilent               // The VM is unreachable.
)

// probe opens a TCP connection to an address and closes it.
func probe(address string) probeResult {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	switch {
	case err == nil:
		_ = conn.Close()
		return probeAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	default:
		return probeSilent
	}
}

// recordCrash counts a crash unless it was counted within the duration of a quarantine. An endpoint that comes back under its
// id may crash again.
func (t *crashTracker) recordCrash(c crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(t.counted, func(_ crashKey, c countedCrash) bool { return now.Sub(c.at) > crashrecords.Limits().QuarantineDuration })
	key := crashKey{c.Fingerprint, c.Endpoint}
	if last, known := t.counted[key]; known && last.repeats(c.Incarnation, now) {
		return
	}
	t.counted[key] = countedCrash{c.Incarnation, now}
	_, quarantined := t.tracker.EndRun(c.Fingerprint, quarantine.VerdictRun, quarantine.OutcomeCrashed, now)
	t.log.WithFields(logrus.Fields{
		"event": "crash", "fingerprint": c.Fingerprint, "endpoint": c.Endpoint, "born": c.Incarnation, "quarantined": quarantined,
	}).Warn("endpoint crashed while it ran this request")
}

// records returns the requests with at least the given crashes, and those in quarantine; the latest of them if there are
// many.
func (t *crashTracker) records(crashes int) crashrecords.Records {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := slices.DeleteFunc(t.tracker.Held(time.Now()), func(h quarantine.HeldRequest) bool {
		return h.Crashes < crashes && h.Quarantine == 0
	})
	return crashrecords.Records{Requests: crashrecords.EncodeRequests(held[max(len(held)-maxCrashRecords, 0):])}
}

// apply adopts the records of another process, except of requests that ran here without a crash since their last crash:
// they were not the cause.
func (t *crashTracker) apply(in crashrecords.Records, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range in.Requests {
		if !t.tracker.Excuses(r.Fingerprint, time.Now()) && t.tracker.Apply(r.Decode(), time.Now()) {
			t.log.WithFields(logrus.Fields{
				"event": "crash_record", "fingerprint": r.Fingerprint, "crashes": r.Crashes, "ms": r.QuarantineMS, "from": from,
			}).Info("crashes of a request adopted")
		}
	}
}

// fetch adopts the records of another router, unless maxFetches routers were asked before. A router that has started
// knows none.
func (t *crashTracker) fetch(from quota.Peer) {
	t.mu.Lock()
	t.fetches++
	enough := t.fetches > maxFetches
	t.mu.Unlock()
	if enough {
		return
	}
	var reply crashrecords.Records
	if err := t.peers.Call(context.Background(), from, pathCrashRecords, struct{}{}, &reply); err != nil {
		t.log.WithError(err).WithField("peer", from.VM).Info("crashes of requests not read from router")
		return
	}
	t.apply(reply, from.VM)
}

// mount adds the handlers for the calls of other routers to r.
func (t *crashTracker) mount(r chi.Router) {
	r.Post(pathCrashRecords, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(t.records(1)); err != nil {
			t.log.WithError(err).Info("crashes of requests not sent")
		}
	})
	r.Post(pathCrashes, func(w http.ResponseWriter, req *http.Request) {
		var in crashReports
		if !schedulerapi.DecodeRequest(w, req, maxReportsBytes, &in) {
			return
		}
		for _, report := range in.Reports {
			go t.recordReport(report)
		}
	})
}

package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

// snapshotRecorder decodes each written difference and passes the snapshot to onSnapshot.
type snapshotRecorder struct {
	*httptest.ResponseRecorder
	onSnapshot func(grants.Snapshot)
	snapshot   *grants.Snapshot
	bytes      *int
}

func newSnapshotRecorder(onSnapshot func(grants.Snapshot)) snapshotRecorder {
	return snapshotRecorder{httptest.NewRecorder(), onSnapshot, new(grants.Snapshot), new(int)}
}

func (r snapshotRecorder) Write(data []byte) (int, error) {
	var d grants.SnapshotDelta
	if err := json.Unmarshal(data, &d); err != nil {
		return 0, err
	}
	*r.snapshot = d.Apply(*r.snapshot)
	*r.bytes += len(data)
	r.onSnapshot(*r.snapshot)
	return len(data), nil
}

// Routers get the snapshot of a started engine at once. Further snapshots follow at intervals
// of at least minSnapshotInterval.
func TestSnapshotOfStartedEngineIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		e := NewEngine(nil, grants.DefaultConfig(), "llm", logrus.NewEntry(log), NewCounters(tally.NoopScope))
		began := time.Now()
		var alive []time.Duration
		w := newSnapshotRecorder(func(s grants.Snapshot) {
			if s.Alive {
				alive = append(alive, time.Since(began))
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		go e.serveSnapshots(w, httptest.NewRequestWithContext(ctx, http.MethodGet, schedulerapi.PathSnapshots, nil))
		reports := 0
		report := func(now time.Time) { // Each report changes the models, so that a snapshot is due.
			reports++
			e.machine.ApplyReport(grants.Report{Incarnation: 1, Models: []string{fmt.Sprint("base-", reports)}}, now)
		}
		time.Sleep(10 * time.Millisecond)
		e.update(report)
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			e.update(report)
		}
		cancel()
		synctest.Wait()
		if len(alive) < 2 || alive[0] != 10*time.Millisecond {
			t.Fatalf("snapshots of the live engine after %v, want at least 2 and the first after 10ms", alive)
		}
		if gap := alive[1] - alive[0]; gap < minSnapshotInterval {
			t.Errorf("second snapshot %v after the first, want at least %v", gap, minSnapshotInterval)
		}
	})
}

// Pattern: each engine sends its state to each router of the fleet. An engine whose state does not
// change for routers sends a short line at the longest interval, not its whole state each time that
// something happens. Before, 10 s of this cost 83 lines of 600 bytes.
func TestUnchangedSnapshotsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		e := NewEngine(nil, grants.DefaultConfig(), "llm", logrus.NewEntry(log), NewCounters(tally.NoopScope))
		lines := 0
		w := newSnapshotRecorder(func(grants.Snapshot) { lines++ })
		report := func(now time.Time) {
			e.machine.ApplyReport(grants.Report{Incarnation: 1, Models: []string{"base"}}, now)
		}
		e.update(report)
		ctx, cancel := context.WithCancel(t.Context())
		go e.serveSnapshots(w, httptest.NewRequestWithContext(ctx, http.MethodGet, schedulerapi.PathSnapshots, nil))
		synctest.Wait()
		first := *w.bytes
		began := time.Now()
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			e.update(report)
		}
		cancel()
		synctest.Wait()
		want := int(time.Since(began)/maxSnapshotInterval) + 1
		if lines > want+1 || lines < want-1 {
			t.Errorf("snapshots of an unchanged engine in %s = %d, want about %d", time.Since(began), lines, want)
		}
		if rest := *w.bytes - first; rest > 10*lines {
			t.Errorf("bytes of %d unchanged snapshots = %d, want at most 10 each", lines-1, rest)
		}
	})
}

// A call of a preload must not wait for the load, and a malformed one must not reach the machine.
func TestPreloadIsAnsweredAtOnce(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := NewEngine(nil, grants.DefaultConfig(), "llm", logrus.NewEntry(log), NewCounters(tally.NoopScope))
	for body, want := range map[string]int{
		`{"model":"base","adapter":"a"}`: http.StatusNoContent, `{"adapter":1}`: http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, schedulerapi.PathPreload, strings.NewReader(body)))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", body, w.Code, want)
		}
	}
}

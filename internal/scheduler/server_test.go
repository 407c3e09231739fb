package scheduler

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

// snapshotRecorder decodes each written snapshot and passes it to onSnapshot.
type snapshotRecorder struct {
	*httptest.ResponseRecorder
	onSnapshot func(grants.Snapshot)
}

func (r snapshotRecorder) Write(data []byte) (int, error) {
	var s grants.Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return 0, err
	}
	r.onSnapshot(s)
	return len(data), nil
}

// Routers get the snapshot of a started engine at once. Further snapshots follow at intervals
// of at least minSnapshotInterval.
func TestSnapshotOfStartedEngineIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		e := NewEngine(nil, grants.DefaultConfig(), logrus.NewEntry(log), NewCounters(tally.NoopScope))
		began := time.Now()
		var alive []time.Duration
		w := snapshotRecorder{httptest.NewRecorder(), func(s grants.Snapshot) {
			if s.Alive {
				alive = append(alive, time.Since(began))
			}
		}}
		ctx, cancel := context.WithCancel(t.Context())
		go e.serveSnapshots(w, httptest.NewRequestWithContext(ctx, http.MethodGet, schedulerapi.PathSnapshots, nil))
		report := func(now time.Time) {
			e.machine.ApplyReport(grants.Report{Incarnation: 1, Models: []string{"base"}}, now)
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

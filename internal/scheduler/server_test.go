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

	"github.com/hyssoptiller/hyssoptiller/internal/policy/turns"
	"github.com/hyssoptiller/hyssoptiller/internal/turncall"
)

// lines decodes each snapshot that is written, and notes when it came.
type lines struct {
	*httptest.ResponseRecorder
	seen func(turns.Snapshot)
}

func (l lines) Write(data []byte) (int, error) {
	var s turns.Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return 0, err
	}
	l.seen(s)
	return len(data), nil
}

// Routers hear at once of an engine that comes up, and later in bounded steps.
func TestEngineThatComesUpIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		e := NewEngine(nil, turns.DefaultConfig(), logrus.NewEntry(log), NewCounters(tally.NoopScope))
		began := time.Now()
		var alive []time.Duration
		w := lines{httptest.NewRecorder(), func(s turns.Snapshot) {
			if s.Alive {
				alive = append(alive, time.Since(began))
			}
		}}
		ctx, cancel := context.WithCancel(t.Context())
		go e.serveState(w, httptest.NewRequestWithContext(ctx, http.MethodGet, turncall.PathState, nil))
		report := func(now time.Time) { e.machine.Observe(turns.Report{Born: 1, Models: []string{"base"}}, now) }
		time.Sleep(10 * time.Millisecond)
		e.do(report)
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			e.do(report)
		}
		cancel()
		synctest.Wait()
		if len(alive) < 2 || alive[0] != 10*time.Millisecond {
			t.Fatalf("told at %v, want first after 10 ms", alive)
		}
		if gap := alive[1] - alive[0]; gap < stateLeast {
			t.Errorf("told again after %v, want at least %v", gap, stateLeast)
		}
	})
}

package process

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

// recorder is a service that takes stopDelay to end and then appends its name to
// ended.
type recorder struct {
	name      string
	stopDelay time.Duration
	ended     *[]string
}

func (r recorder) Serve(ctx context.Context) error {
	<-ctx.Done()
	time.Sleep(r.stopDelay)
	*r.ended = append(*r.ended, r.name)
	return suture.ErrDoNotRestart
}

func TestStagesEndInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewLogger(io.Discard, logrus.ErrorLevel, "test")
		var ended []string
		first := NewSupervisor("first", log, time.Minute)
		first.Add(recorder{name: "first", ended: &ended})
		second := NewSupervisor("second", log, time.Minute)
		second.Add(recorder{name: "second", stopDelay: 10 * time.Second, ended: &ended})
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Second)
			stop()
		}()
		err := NewStages(first, second).Serve(ctx, func() { ended = append(ended, "drain") })
		if err != nil {
			t.Errorf("Serve() = %v, want nil after its context ended", err)
		}
		want := []string{"drain", "second", "first"}
		for i := range want {
			if i >= len(ended) || ended[i] != want[i] {
				t.Fatalf("order of shutdown = %v, want %v", ended, want)
			}
		}
	})
}

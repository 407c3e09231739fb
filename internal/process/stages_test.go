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

// recorder appends its name when it ends, after taking its time.
type recorder struct {
	name  string
	takes time.Duration
	ended *[]string
}

func (r recorder) Serve(ctx context.Context) error {
	<-ctx.Done()
	time.Sleep(r.takes)
	*r.ended = append(*r.ended, r.name)
	return suture.ErrDoNotRestart
}

func TestLaterStagesEndFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewLogger(io.Discard, logrus.ErrorLevel, "test")
		var ended []string
		first := NewSupervisor("first", log, time.Minute)
		first.Add(recorder{name: "first", ended: &ended})
		second := NewSupervisor("second", log, time.Minute)
		second.Add(recorder{name: "second", takes: 10 * time.Second, ended: &ended})
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Second)
			stop()
		}()
		err := NewStages(first, second).Serve(ctx, func() { ended = append(ended, "drain") })
		if err != nil {
			t.Error(err)
		}
		want := []string{"drain", "second", "first"}
		for i := range want {
			if i >= len(ended) || ended[i] != want[i] {
				t.Fatalf("ended %v, want %v", ended, want)
			}
		}
	})
}

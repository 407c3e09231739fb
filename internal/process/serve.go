package process

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/logging"
)

// Options configures Serve.
type Options struct {
	Name     string // Name of the program in its log lines.
	VM       string // Name of the VM in the log lines.
	MemoryMB int    // Memory of the VM in MB of 2^20 bytes; 0 sets no limit.
	Level    string // Lowest level of the log lines that are written, a value of the flag --log-level.
}

// Serve calls serve with a context that is cancelled on SIGTERM or SIGINT, and
// returns the exit code of the program. The logger writes JSON lines to standard
// output and never blocks; see logging.Writer.
func Serve(o Options, serve func(ctx context.Context, log *logrus.Entry) error) int {
	LimitMemory(o.MemoryMB)
	out := logging.NewWriter(os.Stdout)
	defer out.Close()
	log := NewLogger(out, ParseLevel(o.Level), o.Name).WithField("vm", o.VM)
	log.Logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logging.TimeLayout})
	LogHangups(log)
	ctx, stop := SignalContext()
	defer stop()
	log.WithField("event", "start").Info("started")
	if err := serve(ctx, log); err != nil {
		log.WithField("event", "stop").WithError(err).Error("program failed")
		return exitFailure
	}
	log.WithField("event", "stop").Info("ended")
	return 0
}

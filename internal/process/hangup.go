package process

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// LogHangups logs each SIGHUP instead of letting it end the process. SIGHUP does
// not reload the settings, because a running process cannot change its listen
// addresses.
func LogHangups(log *logrus.Entry) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			log.WithField("event", "reload").Info("SIGHUP ignored: settings are read only at start")
		}
	}()
}

package process

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"
)

// Exit codes of a long-running program.
const (
	exitFailure  = 1 // The program failed while it ran.
	exitSettings = 2 // The settings are invalid.
)

// Parse parses the command line, calls check on the parsed settings and returns
// the log level. If check returns an error, Parse prints it and exits with code 2.
func Parse(app *kingpin.Application, check func() error) (level string) {
	flag := AddLevelFlag(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	return *flag
}

// Main parses the command line, checks the settings and calls run with a logger
// that carries the name of the program. It exits with code 2 if check returns an
// error and with code 1 if run returns one.
func Main(app *kingpin.Application, check func() error, run func(log *logrus.Entry) error) {
	level := Parse(app, check)
	log := NewLogger(os.Stderr, ParseLevel(level), app.Name)
	if err := run(log); err != nil {
		log.WithError(err).Error("program failed")
		os.Exit(exitFailure)
	}
}

package process

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/settings"
)

// Flag adds a flag with its HYSSOP_ variable to a program.
func Flag(app *kingpin.Application, name, help string) *kingpin.FlagClause {
	return app.Flag(name, help).Envar(settings.Variable(name))
}

// SecurityFlags adds the flags of transport.Security to a program.
func SecurityFlags(app *kingpin.Application, s *transport.Security) {
	Flag(app, "fleet-secret", "Secret shared by the fleet's processes; required without TLS.").StringVar(&s.Secret)
	Flag(app, "tls-cert", "PEM certificate of this process, for mutual TLS.").StringVar(&s.CertFile)
	Flag(app, "tls-key", "PEM key of this process, for mutual TLS.").StringVar(&s.KeyFile)
	Flag(app, "tls-ca", "PEM authority that signs the fleet's certificates.").StringVar(&s.CAFile)
}

// LevelFlag adds the flag of the log level to a program.
func LevelFlag(app *kingpin.Application) *string {
	flag := Flag(app, "log-level", "Lowest level of log lines: debug, info, warning or error.")
	return flag.Default("info").Enum("debug", "info", "warning", "error")
}

// ParseLevel returns a level that LevelFlag has accepted.
func ParseLevel(text string) logrus.Level {
	level, err := logrus.ParseLevel(text)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

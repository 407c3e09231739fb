package process

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/settings"
)

// AddFlag adds the flag --name to app. The flag can also be set with the
// environment variable HYSSOP_NAME; see settings.EnvVariable.
func AddFlag(app *kingpin.Application, name, help string) *kingpin.FlagClause {
	return app.Flag(name, help).Envar(settings.EnvVariable(name))
}

// AddSecurityFlags adds the flags that fill s to app.
func AddSecurityFlags(app *kingpin.Application, s *transport.Security) {
	AddFlag(app, "fleet-secret", "Secret shared by all processes of the fleet; required without TLS.").StringVar(&s.Secret)
	AddFlag(app, "tls-cert", "File with the PEM certificate of this process, for mutual TLS.").StringVar(&s.CertFile)
	AddFlag(app, "tls-key", "File with the PEM private key of this process, for mutual TLS.").StringVar(&s.KeyFile)
	AddFlag(app, "tls-ca", "File with the PEM certificate of the authority that signs the certificates of the fleet.").
		StringVar(&s.CAFile)
}

// AddLevelFlag adds the flag --log-level to app. The returned value is set when app
// parses the command line.
func AddLevelFlag(app *kingpin.Application) *string {
	flag := AddFlag(app, "log-level", "Lowest level of the log lines that are written: debug, info, warning or error.")
	return flag.Default("info").Enum("debug", "info", "warning", "error")
}

// ParseLevel returns the logrus level for a value of the flag --log-level. It
// returns logrus.InfoLevel if text is not a level.
func ParseLevel(text string) logrus.Level {
	level, err := logrus.ParseLevel(text)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

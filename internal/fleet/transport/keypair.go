package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrCredentials reports that the certificate, the key or the authority file is
// missing or invalid, or that a server presented no certificate.
const ErrCredentials = errors.ConstError("unusable TLS credentials")

// reloadInterval is the minimum time between two checks of the files'
// modification times.
const reloadInterval = time.Second

// keyPair holds this process's certificate and the authority's certificates. It
// reloads them when a file changes. If the changed files cannot be loaded, the
// previous certificates stay in use. It is safe for concurrent use.
type keyPair struct {
	security Security

	mu        sync.Mutex
	checkedAt time.Time // Last check of the modification times.
	modified  fileTimes // Modification times of the loaded files.
	cert      *tls.Certificate
	roots     *x509.CertPool
}

// fileTimes holds the modification times of the three files.
type fileTimes struct {
	cert, key, ca time.Time
}

// newKeyPair loads the files of s. It returns ErrCredentials if one of them is
// missing or invalid.
func newKeyPair(s Security) (*keyPair, error) {
	p := &keyPair{security: s}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

// load reads the three files. If it returns an error, p is unchanged.
func (p *keyPair) load() error {
	modified, err := modificationTimes(p.security)
	if err != nil {
		return errors.WithType(err, ErrCredentials)
	}
	cert, err := tls.LoadX509KeyPair(p.security.CertFile, p.security.KeyFile)
	if err != nil {
		return errors.WithType(err, ErrCredentials)
	}
	pem, err := os.ReadFile(p.security.CAFile)
	if err != nil {
		return errors.WithType(err, ErrCredentials)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.WithType(errors.Errorf("%s contains no PEM certificate", p.security.CAFile), ErrCredentials)
	}
	p.cert, p.roots, p.modified = &cert, roots, modified
	return nil
}

// current returns the certificates. It first reloads them if a file has changed,
// which it checks at most once per reloadInterval.
func (p *keyPair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.checkedAt) < reloadInterval {
		return p.cert, p.roots
	}
	p.checkedAt = now
	modified, err := modificationTimes(p.security)
	if err == nil && modified != p.modified {
		_ = p.load() // On an error the previous certificates stay in use.
	}
	return p.cert, p.roots
}

// serverConfig requires client certificates signed by the current authority.
func (p *keyPair) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := p.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    roots,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
	}
}

// clientConfig verifies the server against the current authority. Processes call
// each other by IP address, so the server's certificate must contain its IP
// address.
func (p *keyPair) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
		// RootCAs cannot be replaced in a tls.Config that is in use, but the
		// authority can change while the process runs. VerifyConnection verifies
		// the server against the current authority instead.
		InsecureSkipVerify: true,
		VerifyConnection:   p.verifyServer,
	}
}

// verifyServer verifies the server's certificate chain and name against the
// current authority.
func (p *keyPair) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.WithType(errors.New("the server presented no certificate"), ErrCredentials)
	}
	_, roots := p.current()
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       state.ServerName,
		Roots:         roots,
		Intermediates: intermediates,
	})
	return err
}

func modificationTimes(s Security) (fileTimes, error) {
	var times [3]time.Time
	for i, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return fileTimes{}, err
		}
		times[i] = info.ModTime()
	}
	return fileTimes{cert: times[0], key: times[1], ca: times[2]}, nil
}

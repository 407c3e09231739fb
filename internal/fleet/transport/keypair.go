package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrCredentials says that certificate, key or authority cannot be used.
const ErrCredentials = errors.ConstError("unusable TLS credentials")

// reloadInterval bounds how often the files' times are looked at.
const reloadInterval = time.Second

// keyPair holds a certificate and an authority and reads them again when a
// file changes. A change that cannot be read leaves the former pair in use.
type keyPair struct {
	security Security

	mu      sync.Mutex
	checked time.Time
	stamp   fileStamp
	cert    *tls.Certificate
	roots   *x509.CertPool
}

type fileStamp struct {
	cert, key, ca time.Time
}

func newKeyPair(s Security) (*keyPair, error) {
	p := &keyPair{security: s}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *keyPair) load() error {
	stamp, err := stampOf(p.security)
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
		return errors.WithType(errors.Errorf("%s holds no certificate", p.security.CAFile), ErrCredentials)
	}
	p.cert, p.roots, p.stamp = &cert, roots, stamp
	return nil
}

// current returns the pair, read again where a file has changed.
func (p *keyPair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.checked) < reloadInterval {
		return p.cert, p.roots
	}
	p.checked = now
	stamp, err := stampOf(p.security)
	if err == nil && stamp != p.stamp {
		_ = p.load() // The former pair stays in use.
	}
	return p.cert, p.roots
}

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

// clientConfig verifies the server against the present authority. Processes
// call each other by IP numbers, which the certificates must name.
func (p *keyPair) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
		// The authority can change while the process runs, so that the
		// verification is done in VerifyConnection against the present one.
		InsecureSkipVerify: true,
		VerifyConnection:   p.verifyServer,
	}
}

func (p *keyPair) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrCredentials
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

func stampOf(s Security) (fileStamp, error) {
	var times [3]time.Time
	for i, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return fileStamp{}, err
		}
		times[i] = info.ModTime()
	}
	return fileStamp{cert: times[0], key: times[1], ca: times[2]}, nil
}

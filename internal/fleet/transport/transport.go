// Package transport secures the calls between the system's own processes.
//
// With certificate, key and authority it is mutual TLS, and the files are read
// again when they change. Without them it is unencrypted HTTP/2 and a fleet
// secret in HeaderSecret, and a server refuses whoever lacks it. Both carry
// the hybrid logical clock.
package transport

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
)

// HeaderSecret carries the fleet secret where no TLS is configured.
const HeaderSecret = "Hyssop-Fleet-Secret"

const (
	minSecretBytes    = 16
	idleConnsPerHost  = 256
	readHeaderTimeout = 10 * time.Second
	// A silent connection is asked for a sign of life, so that a process that
	// was stopped does not hold its callers until their deadlines.
	pingAfter   = 5 * time.Second
	pingTimeout = 10 * time.Second
)

// Errors of Security.Check.
const (
	ErrNoSecurity  = errors.ConstError("either a fleet secret or certificate, key and authority are required")
	ErrShortSecret = errors.ConstError("the fleet secret must have at least 16 characters")
	ErrPartialTLS  = errors.ConstError("certificate, key and authority must be given together")
)

// Security says how the fleet's processes know each other.
type Security struct {
	Secret   string // Shared by the fleet; unused with TLS.
	CertFile string // PEM certificate of this process.
	KeyFile  string // PEM key of this process.
	CAFile   string // PEM certificates of the authority that signs the fleet.
}

// TLS reports whether the calls are encrypted.
func (s Security) TLS() bool {
	return s.CertFile != "" && s.KeyFile != "" && s.CAFile != ""
}

// Check returns what is wrong with the settings.
func (s Security) Check() error {
	if s.TLS() {
		_, err := newKeyPair(s)
		return err
	}
	if s.CertFile != "" || s.KeyFile != "" || s.CAFile != "" {
		return ErrPartialTLS
	}
	if s.Secret == "" {
		return ErrNoSecurity
	}
	if len(s.Secret) < minSecretBytes {
		return ErrShortSecret
	}
	return nil
}

// Client calls other processes of the fleet.
type Client struct {
	HTTP   *http.Client // Adds the fleet's credentials to each call.
	Scheme string       // "http" or "https".
}

// URL returns the address of path at a process's fleet address.
func (c *Client) URL(address, path string) string {
	return c.Scheme + "://" + address + path
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a Client with the process's own credentials. The clock
// may be nil; connections are opened by dial, over TCP where it is nil.
func NewClient(s Security, clock *hlc.Clock, dial DialFunc) (*Client, error) {
	base := &http.Transport{
		MaxIdleConnsPerHost: idleConnsPerHost,
		DisableCompression:  true,
		DialContext:         dial,
		Protocols:           new(http.Protocols),
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	scheme := "http"
	if s.TLS() {
		pair, err := newKeyPair(s)
		if err != nil {
			return nil, errors.Trace(err)
		}
		base.TLSClientConfig = pair.clientConfig()
		base.Protocols.SetHTTP2(true)
		scheme = "https"
	} else {
		base.Protocols.SetUnencryptedHTTP2(true)
	}
	signed := &signer{next: base, secret: s.Secret, clock: clock}
	// A redirect is an endpoint's answer on its way to a caller.
	pass := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{HTTP: &http.Client{Transport: signed, CheckRedirect: pass}, Scheme: scheme}, nil
}

// NewServer returns a server for a process's fleet address.
func NewServer(s Security, clock *hlc.Clock, handler http.Handler) (*http.Server, error) {
	server := &http.Server{
		Handler:           &gate{next: handler, security: s, clock: clock},
		ReadHeaderTimeout: readHeaderTimeout,
		Protocols:         new(http.Protocols),
	}
	server.Protocols.SetHTTP1(true)
	if !s.TLS() {
		server.Protocols.SetUnencryptedHTTP2(true)
		return server, nil
	}
	pair, err := newKeyPair(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server.Protocols.SetHTTP2(true)
	server.TLSConfig = pair.serverConfig()
	return server, nil
}

// signer adds the fleet's credentials and clock to outgoing calls.
type signer struct {
	next   http.RoundTripper
	secret string
	clock  *hlc.Clock
}

// RoundTrip implements http.RoundTripper.
func (s *signer) RoundTrip(req *http.Request) (*http.Response, error) {
	out := req.Clone(req.Context())
	if s.secret != "" {
		out.Header.Set(HeaderSecret, s.secret)
	}
	if s.clock != nil {
		out.Header.Set(hlc.HeaderClock, s.clock.Now().String())
	}
	resp, err := s.next.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	observe(s.clock, resp.Header)
	return resp, nil
}

// gate refuses callers that are not of the fleet.
type gate struct {
	next     http.Handler
	security Security
	clock    *hlc.Clock
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.admits(r) {
		http.Error(w, "not of this fleet", http.StatusForbidden)
		return
	}
	r.Header.Del(HeaderSecret)
	observe(g.clock, r.Header)
	if g.clock != nil {
		w.Header().Set(hlc.HeaderClock, g.clock.Now().String())
	}
	g.next.ServeHTTP(w, r)
}

func (g *gate) admits(r *http.Request) bool {
	if g.security.TLS() {
		return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
	}
	given := []byte(r.Header.Get(HeaderSecret))
	return subtle.ConstantTimeCompare(given, []byte(g.security.Secret)) == 1
}

func observe(clock *hlc.Clock, h http.Header) {
	if clock == nil {
		return
	}
	t, err := hlc.Parse(h.Get(hlc.HeaderClock))
	if err != nil {
		return
	}
	clock.Observe(t)
}

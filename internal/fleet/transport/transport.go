// Package transport authenticates the HTTP calls between the processes of a
// fleet.
//
// If a certificate, a key and an authority are configured, calls use mutual TLS,
// and the files are reloaded when they change. Otherwise calls use unencrypted
// HTTP/2 with the fleet secret in HeaderSecret. A server refuses calls without
// valid credentials: with TLS the handshake fails, otherwise the status is 403. In
// both modes each call and each response carries the hybrid logical clock.
package transport

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/responsehead"
)

// HeaderSecret carries the fleet secret. A client sends it whenever a secret is
// set, also with TLS; a server with TLS ignores it.
const HeaderSecret = "Hyssop-Fleet-Secret"

const (
	minSecretBytes    = 16
	idleConnsPerHost  = 256
	readHeaderTimeout = 10 * time.Second
	// A client pings a connection on which it receives nothing for pingInterval
	// and closes the connection if the ping is not acknowledged within
	// pingTimeout. Otherwise calls to a stopped process would block until their
	// deadlines.
	pingInterval = 5 * time.Second
	pingTimeout  = 10 * time.Second
	// maxHeadBytes bounds the header section of a response. It may hold those of an endpoint's response.
	maxHeadBytes = 2 * responsehead.MaxBytes
)

// Errors of Security.Validate.
const (
	ErrNoSecurity  = errors.ConstError("no fleet credentials: either a fleet secret or a certificate, key and authority are required")
	ErrShortSecret = errors.ConstError("the fleet secret must have at least 16 characters")
	ErrPartialTLS  = errors.ConstError("incomplete TLS settings: certificate, key and authority are required together")
)

// Security configures how the fleet's processes authenticate each other.
type Security struct {
	Secret   string // Fleet secret, the same in all processes; a server with TLS ignores it.
	CertFile string // PEM certificate of this process.
	KeyFile  string // PEM private key of this process.
	CAFile   string // PEM certificates of the authority that signs the fleet's certificates.
}

// TLS reports whether mutual TLS is configured.
func (s Security) TLS() bool {
	return s.CertFile != "" && s.KeyFile != "" && s.CAFile != ""
}

// Validate returns an error if the settings are incomplete or the files cannot be
// loaded: ErrNoSecurity, ErrShortSecret, ErrPartialTLS or ErrCredentials.
func (s Security) Validate() error {
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

// Client sends HTTP calls to other processes of the fleet.
type Client struct {
	HTTP   *http.Client // Adds the fleet's credentials to each call.
	Scheme string       // "http" or "https".
}

// maxCallBytes bounds the response to a call. The largest hold a piece of a configuration or a page of the timeline,
// some 1 MB.
const maxCallBytes = 16 << 20

// Do sends a call whose response is read whole. Reading more than maxCallBytes of it returns an error.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxCallBytes)
	return resp, nil
}

// URL returns the URL of path on the process with the given fleet address (host
// and port).
func (c *Client) URL(address, path string) string {
	return c.Scheme + "://" + address + path
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a Client with this process's credentials. The clock may be
// nil; then calls carry no clock. The client opens connections with dial, or over
// TCP if dial is nil. The error is ErrCredentials if the TLS files cannot be
// loaded.
func NewClient(s Security, clock *hlc.Clock, dial DialFunc) (*Client, error) {
	base := &http.Transport{
		MaxIdleConnsPerHost:    idleConnsPerHost,
		DisableCompression:     true,
		DialContext:            dial,
		Protocols:              new(http.Protocols),
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		MaxResponseHeaderBytes: maxHeadBytes,
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
	authenticated := &authenticatingTransport{next: base, secret: s.Secret, clock: clock}
	// A redirect is an endpoint's response, which the caller receives. The client
	// must not follow it.
	returnRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{HTTP: &http.Client{Transport: authenticated, CheckRedirect: returnRedirect}, Scheme: scheme}, nil
}

// NewServer returns an HTTP server for a process's fleet address. The server
// passes only calls with valid credentials to handler. The clock may be nil; then
// responses carry no clock. The error is ErrCredentials if the TLS files cannot be
// loaded.
func NewServer(s Security, clock *hlc.Clock, handler http.Handler) (*http.Server, error) {
	server := &http.Server{
		Handler:           &authenticator{next: handler, security: s, clock: clock},
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

// authenticatingTransport adds the fleet secret and the clock to outgoing calls
// and updates the clock from the responses.
type authenticatingTransport struct {
	next   http.RoundTripper
	secret string
	clock  *hlc.Clock
}

// RoundTrip implements http.RoundTripper.
func (t *authenticatingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	out := req.Clone(req.Context())
	if t.secret != "" {
		out.Header.Set(HeaderSecret, t.secret)
	}
	if t.clock != nil {
		out.Header.Set(hlc.HeaderClock, t.clock.Now().String())
	}
	resp, err := t.next.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	observeClock(t.clock, resp.Header)
	return resp, nil
}

// authenticator refuses calls without the fleet's credentials. It removes the
// fleet secret from accepted calls and updates the clock from them.
type authenticator struct {
	next     http.Handler
	security Security
	clock    *hlc.Clock
}

// ServeHTTP implements http.Handler.
func (a *authenticator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !a.isAuthenticated(r) {
		http.Error(w, "not of this fleet", http.StatusForbidden)
		return
	}
	r.Header.Del(HeaderSecret)
	observeClock(a.clock, r.Header)
	if a.clock != nil {
		w.Header().Set(hlc.HeaderClock, a.clock.Now().String())
	}
	a.next.ServeHTTP(w, r)
}

// isAuthenticated reports whether the call has a verified client certificate or,
// without TLS, the fleet secret.
func (a *authenticator) isAuthenticated(r *http.Request) bool {
	if a.security.TLS() {
		return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
	}
	secret := []byte(r.Header.Get(HeaderSecret))
	return subtle.ConstantTimeCompare(secret, []byte(a.security.Secret)) == 1
}

// observeClock updates the clock from the timestamp in h. A missing or malformed
// timestamp is ignored.
func observeClock(clock *hlc.Clock, h http.Header) {
	if clock == nil {
		return
	}
	timestamp, err := hlc.Parse(h.Get(hlc.HeaderClock))
	if err != nil {
		return
	}
	clock.Observe(timestamp)
}

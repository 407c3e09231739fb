package transport

import (
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/credentials"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const testSecret = "a-secret-of-the-fleet"

// serve runs a fleet server until the test ends and returns its address. The
// server responds with the protocol and the secret that its handler received.
func serve(t *testing.T, s Security, clock *hlc.Clock) string {
	t.Helper()
	return serveHandler(t, s, clock, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto+r.Header.Get(HeaderSecret))
	})
}

// serveHandler runs a fleet server with a handler until the test ends and returns its address.
func serveHandler(t *testing.T, s Security, clock *hlc.Clock, handler http.HandlerFunc) string {
	t.Helper()
	server, err := NewServer(s, clock, handler)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if server.TLSConfig != nil {
			_ = server.ServeTLS(l, "", "")
			return
		}
		_ = server.Serve(l)
	}()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// get calls the address with the credentials s and returns the response's status
// and body.
func get(t *testing.T, s Security, clock *hlc.Clock, address string) (int, string, error) {
	t.Helper()
	client, err := NewClient(s, clock, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.HTTP.Get(client.URL(address, "/"))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// issue writes a VM's certificate and key, signed by the authority, and the
// authority's certificate to dir.
func issue(t *testing.T, dir string, authority credentials.Pair, name string) Security {
	t.Helper()
	vm := credentials.VM{Name: ident.VM(name), Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	pair, err := credentials.Issue(authority, vm, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	s := Security{
		CertFile: filepath.Join(dir, name+".crt"),
		KeyFile:  filepath.Join(dir, name+".key"),
		CAFile:   filepath.Join(dir, name+".ca"),
	}
	write(t, s.CertFile, pair.Certificate)
	write(t, s.KeyFile, pair.Key)
	write(t, s.CAFile, authority.Certificate)
	return s
}

func write(t *testing.T, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// newAuthority returns a certificate authority that is valid for an hour.
func newAuthority(t *testing.T) credentials.Pair {
	t.Helper()
	authority, err := credentials.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func TestSecretIsRequiredAndRemovedFromAcceptedCalls(t *testing.T) {
	address := serve(t, Security{Secret: testSecret}, nil)
	status, body, err := get(t, Security{Secret: testSecret}, nil, address)
	if err != nil || status != http.StatusOK || body != "HTTP/2.0" {
		t.Errorf("call has status %d, body %q, error %v; want 200 and HTTP/2.0 without the secret", status, body, err)
	}
	for _, invalid := range []string{"", "a-different-fleet-secret"} {
		status, _, err := get(t, Security{Secret: invalid}, nil, address)
		if err != nil || status != http.StatusForbidden {
			t.Errorf("call with secret %q has status %d, error %v; want 403", invalid, status, err)
		}
	}
}

func TestMutualTLSAcceptsOnlyClientsOfTheAuthority(t *testing.T) {
	dir := t.TempDir()
	authority := newAuthority(t)
	server := issue(t, dir, authority, "server")
	address := serve(t, server, nil)
	status, body, err := get(t, issue(t, dir, authority, "client"), nil, address)
	if err != nil || status != http.StatusOK || body != "HTTP/2.0" {
		t.Errorf("call has status %d, body %q, error %v; want 200 and HTTP/2.0", status, body, err)
	}
	foreignClient := issue(t, dir, newAuthority(t), "stranger")
	if _, _, err := get(t, foreignClient, nil, address); err == nil {
		t.Error("client with a certificate of another authority was served, want an error")
	}
	if status, _, err := get(t, Security{Secret: testSecret}, nil, address); err == nil && status == http.StatusOK {
		t.Error("client without TLS was served, want it refused")
	}
}

func TestClientRefusesServerOfAnotherAuthority(t *testing.T) {
	dir := t.TempDir()
	authority, other := newAuthority(t), newAuthority(t)
	client := issue(t, dir, authority, "client")
	foreignServer := issue(t, dir, other, "imposter")
	write(t, foreignServer.CAFile, authority.Certificate) // The server accepts the client.
	address := serve(t, foreignServer, nil)
	if _, _, err := get(t, client, nil, address); err == nil {
		t.Error("client accepted a server with a certificate of another authority, want an error")
	}
}

// TestChangedCredentialFilesAreReloaded replaces the files by those of another
// authority. It sets their modification times a minute ahead, because a rewrite
// within the file system's time resolution would not be detected.
func TestChangedCredentialFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	first, second := newAuthority(t), newAuthority(t)
	s := issue(t, dir, first, "vm")
	pair, err := newKeyPair(s)
	if err != nil {
		t.Fatal(err)
	}
	before, _ := pair.current()
	issue(t, dir, second, "vm")
	later := time.Now().Add(time.Minute)
	for _, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if err := os.Chtimes(name, later, later); err != nil {
			t.Fatal(err)
		}
	}
	pair.checkedAt = time.Time{}
	after, _ := pair.current()
	if string(before.Certificate[0]) == string(after.Certificate[0]) {
		t.Error("previous certificate is still in use after the files changed")
	}
	write(t, s.CertFile, []byte("no certificate"))
	pair.checkedAt = time.Time{}
	afterInvalid, _ := pair.current()
	if afterInvalid != after {
		t.Error("invalid certificate file replaced the certificate in use")
	}
}

func TestServerClockFollowsTheClientClock(t *testing.T) {
	ahead := hlc.New(func() time.Time { return time.Now().Add(time.Minute) })
	behind := hlc.New(nil)
	address := serve(t, Security{Secret: testSecret}, behind)
	sent := ahead.Now()
	if _, _, err := get(t, Security{Secret: testSecret}, ahead, address); err != nil {
		t.Fatal(err)
	}
	if !sent.Before(behind.Now()) {
		t.Errorf("server clock is not after the client timestamp %v that the call carried", sent)
	}
}

func TestValidateReportsIncompleteCredentials(t *testing.T) {
	cases := []struct {
		security Security
		want     error
	}{
		{Security{}, ErrNoSecurity},
		{Security{Secret: "short"}, ErrShortSecret},
		{Security{CertFile: "a"}, ErrPartialTLS},
		{Security{CertFile: "a", KeyFile: "b", CAFile: "c"}, ErrCredentials},
		{Security{Secret: testSecret}, nil},
	}
	for _, c := range cases {
		if err := c.security.Validate(); !errors.Is(err, c.want) && err != c.want {
			t.Errorf("Validate() of %+v = %v, want %v", c.security, err, c.want)
		}
	}
}

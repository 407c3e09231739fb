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

// serve runs a server of the fleet until the test ends and returns its address.
func serve(t *testing.T, s Security, clock *hlc.Clock) string {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto+r.Header.Get(HeaderSecret))
	})
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

// issue writes a VM's credentials of an authority to a folder.
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

func newAuthority(t *testing.T) credentials.Pair {
	t.Helper()
	authority, err := credentials.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func TestSecretIsRequiredAndNotPassedOn(t *testing.T) {
	address := serve(t, Security{Secret: testSecret}, nil)
	status, body, err := get(t, Security{Secret: testSecret}, nil, address)
	if err != nil || status != http.StatusOK || body != "HTTP/2.0" {
		t.Errorf("status %d, body %q, error %v", status, body, err)
	}
	for _, wrong := range []string{"", "another-secret-of-16"} {
		status, _, err := get(t, Security{Secret: wrong}, nil, address)
		if err != nil || status != http.StatusForbidden {
			t.Errorf("secret %q: status %d, error %v", wrong, status, err)
		}
	}
}

func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	authority := newAuthority(t)
	server := issue(t, dir, authority, "server")
	address := serve(t, server, nil)
	status, body, err := get(t, issue(t, dir, authority, "client"), nil, address)
	if err != nil || status != http.StatusOK || body != "HTTP/2.0" {
		t.Errorf("status %d, body %q, error %v", status, body, err)
	}
	stranger := issue(t, dir, newAuthority(t), "stranger")
	if _, _, err := get(t, stranger, nil, address); err == nil {
		t.Error("a client of another authority was served")
	}
	if status, _, err := get(t, Security{Secret: testSecret}, nil, address); err == nil && status == http.StatusOK {
		t.Error("a client without TLS was served")
	}
}

func TestServerOfAnotherAuthorityIsRefused(t *testing.T) {
	dir := t.TempDir()
	authority, other := newAuthority(t), newAuthority(t)
	client := issue(t, dir, authority, "client")
	imposter := issue(t, dir, other, "imposter")
	write(t, imposter.CAFile, authority.Certificate) // It accepts the client.
	address := serve(t, imposter, nil)
	if _, _, err := get(t, client, nil, address); err == nil {
		t.Error("the client accepted a server of another authority")
	}
}

func TestChangedFilesAreReadAgain(t *testing.T) {
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
	pair.checked = time.Time{}
	after, _ := pair.current()
	if string(before.Certificate[0]) == string(after.Certificate[0]) {
		t.Error("the former certificate is still in use")
	}
	write(t, s.CertFile, []byte("no certificate"))
	pair.checked = time.Time{}
	kept, _ := pair.current()
	if kept != after {
		t.Error("an unreadable file replaced the pair in use")
	}
}

func TestClockRidesOnCalls(t *testing.T) {
	ahead := hlc.New(func() time.Time { return time.Now().Add(time.Minute) })
	behind := hlc.New(nil)
	address := serve(t, Security{Secret: testSecret}, behind)
	sent := ahead.Now()
	if _, _, err := get(t, Security{Secret: testSecret}, ahead, address); err != nil {
		t.Fatal(err)
	}
	if !sent.Before(behind.Now()) {
		t.Error("the server's clock did not follow the caller's")
	}
}

func TestSecurityCheck(t *testing.T) {
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
		if err := c.security.Check(); !errors.Is(err, c.want) && err != c.want {
			t.Errorf("%+v: %v, want %v", c.security, err, c.want)
		}
	}
}

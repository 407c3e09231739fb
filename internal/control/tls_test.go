package control

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
)

func runProgram(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := NewProgram(&out).Run(context.Background(), args, &errOut)
	return code, out.String(), errOut.String()
}

func TestIssuedCertificatesAreUsable(t *testing.T) {
	dir := t.TempDir()
	if code, _, errOut := runProgram(t, "tls", "authority", "--dir", dir); code != ExitOK {
		t.Fatal(errOut)
	}
	if code, out, errOut := runProgram(t, "tls", "issue", "--dir", dir, "entry-1", "127.0.0.1"); code != ExitOK || !strings.Contains(out, "entry-1.crt") {
		t.Fatal(out, errOut)
	}
	s := transport.Security{
		CertFile: filepath.Join(dir, "entry-1.crt"),
		KeyFile:  filepath.Join(dir, "entry-1.key"),
		CAFile:   filepath.Join(dir, "authority.crt"),
	}
	if err := s.Check(); err != nil {
		t.Error(err)
	}
	info, err := os.Stat(s.KeyFile)
	if err != nil || info.Mode().Perm() != keyMode {
		t.Errorf("key file mode %v, error %v", info.Mode(), err)
	}
}

func TestTLSCommandsRefuseBadInputAndReplaceNoKey(t *testing.T) {
	dir := t.TempDir()
	cases := [][]string{
		{"tls", "issue", "--dir", dir, "entry-1", "127.0.0.1"}, // No authority yet.
		{"tls", "issue", "--dir", dir, "authority", "127.0.0.1"},
		{"tls", "issue", "--dir", dir, "a/b", "127.0.0.1"},
	}
	for _, args := range cases {
		if code, _, errOut := runProgram(t, args...); code != ExitInvalid || errOut == "" {
			t.Errorf("%v: code %d, %q", args, code, errOut)
		}
	}
	runProgram(t, "tls", "authority", "--dir", dir)
	before, _ := os.ReadFile(filepath.Join(dir, "authority.key"))
	if code, _, _ := runProgram(t, "tls", "authority", "--dir", dir); code != ExitInvalid {
		t.Errorf("code %d", code)
	}
	after, _ := os.ReadFile(filepath.Join(dir, "authority.key"))
	if !bytes.Equal(before, after) {
		t.Error("the authority's key was replaced")
	}
}

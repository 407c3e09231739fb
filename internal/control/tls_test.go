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

// runProgram runs hyssopctl and returns the exit code, the output and the errors.
func runProgram(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := NewProgram(&out).Run(context.Background(), args, &errOut)
	return code, out.String(), errOut.String()
}

func TestIssuedCertificatePassesSecurityCheck(t *testing.T) {
	dir := t.TempDir()
	if code, _, errOut := runProgram(t, "tls", "authority", "--dir", dir); code != ExitOK {
		t.Fatalf("tls authority has exit code %d, want ExitOK; errors: %s", code, errOut)
	}
	if code, out, errOut := runProgram(t, "tls", "issue", "--dir", dir, "entry-1", "127.0.0.1"); code != ExitOK || !strings.Contains(out, "entry-1.crt") {
		t.Fatalf("tls issue has exit code %d, want ExitOK and entry-1.crt in the output: %s%s", code, out, errOut)
	}
	s := transport.Security{
		CertFile: filepath.Join(dir, "entry-1.crt"),
		KeyFile:  filepath.Join(dir, "entry-1.key"),
		CAFile:   filepath.Join(dir, "authority.crt"),
	}
	if err := s.Validate(); err != nil {
		t.Errorf("Validate() of the issued certificate = %v, want nil", err)
	}
	info, err := os.Stat(s.KeyFile)
	if err != nil || info.Mode().Perm() != keyMode {
		t.Errorf("key file has mode %v, error %v; want mode 0600", info.Mode(), err)
	}
}

func TestTLSCommandsRejectInvalidInputAndKeepExistingKeys(t *testing.T) {
	dir := t.TempDir()
	cases := [][]string{
		{"tls", "issue", "--dir", dir, "entry-1", "127.0.0.1"}, // No authority yet.
		{"tls", "issue", "--dir", dir, "authority", "127.0.0.1"},
		{"tls", "issue", "--dir", dir, "a/b", "127.0.0.1"},
	}
	for _, args := range cases {
		if code, _, errOut := runProgram(t, args...); code != ExitInvalid || errOut == "" {
			t.Errorf("%v: exit code %d with errors %q, want ExitInvalid and an error", args, code, errOut)
		}
	}
	runProgram(t, "tls", "authority", "--dir", dir)
	before, _ := os.ReadFile(filepath.Join(dir, "authority.key"))
	if code, _, _ := runProgram(t, "tls", "authority", "--dir", dir); code != ExitInvalid {
		t.Errorf("exit code of a second tls authority is %d, want ExitInvalid", code)
	}
	after, _ := os.ReadFile(filepath.Join(dir, "authority.key"))
	if !bytes.Equal(before, after) {
		t.Error("authority key was replaced by the second tls authority")
	}
}

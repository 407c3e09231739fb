package control

import (
	"bytes"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/operatorapi"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
)

const sessionToken = "session-operators-token"

// singleEntry is the membership view of a fleet of one entry.
type singleEntry struct{}

func (singleEntry) Self() members.Member      { return members.Member{VM: "entry-1"} }
func (singleEntry) Entries() []members.Member { return []members.Member{{VM: "entry-1"}} }

// freshConfirmations implements config.Confirmations. It always reports a fresh
// configuration.
type freshConfirmations struct{}

func (freshConfirmations) RecordConfirmation(time.Time, config.Revision) {}
func (freshConfirmations) ConfirmedAt() time.Time                        { return time.Now() }
func (freshConfirmations) HasMajority() bool                             { return true }
func (freshConfirmations) IsFresh() bool                                 { return true }

// session is an entry's operators' interface, its store, and a directory for files.
type session struct {
	t           *testing.T
	address     string
	dir         string
	memoryStore *store.Memory
}

// newSession serves the operators' interface until the test ends.
func newSession(t *testing.T) *session {
	log := logrus.New()
	log.SetOutput(io.Discard)
	memory := store.NewMemory()
	replica := config.NewReplica(config.ReplicaOptions{
		Store: memory, Members: singleEntry{}, Confirmations: freshConfirmations{}, Log: logrus.NewEntry(log), Metrics: tally.NoopScope,
	})
	go func() { _ = replica.Serve(t.Context()) }()
	server := httptest.NewServer(operatorapi.NewHandler(operatorapi.Options{
		VM: "entry-1", Editor: config.NewEditor(memory), Survey: config.NewSurvey(singleEntry{}, nil, replica),
		Config: replica.Current, Token: sessionToken,
	}))
	t.Cleanup(server.Close)
	return &session{t: t, address: server.Listener.Addr().String(), dir: t.TempDir(), memoryStore: memory}
}

// run runs a command, checks its exit code, checks that its output contains want,
// and returns its standard output.
func (s *session) run(code int, want string, args ...string) string {
	s.t.Helper()
	var out, errOut bytes.Buffer
	args = append([]string{"--operators", s.address, "--operators-token", sessionToken}, args...)
	got := NewProgram(&out).Run(s.t.Context(), args, &errOut)
	output := out.String() + errOut.String()
	if got != code || !strings.Contains(output, want) {
		s.t.Errorf("%v: exit code %d, want %d; want output with %q, got:\n%s", args[4:], got, code, want, output)
	}
	return out.String()
}

// writeFile writes text to a file in the session's directory and returns its path.
func (s *session) writeFile(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func TestListCommandsDetectInvalidAndConflictingEdits(t *testing.T) {
	s := newSession(t)
	allowances := s.writeFile("allowances.yaml", "# revision: 0\nallowances:\n- {plan: gold, tokens_per_second: 10, burst: 300}\n")
	s.run(ExitOK, "1", "allowances", "apply", allowances)
	s.run(ExitInvalid, `line 2, column 27: the allowances list has no plan "glod"; did you mean "gold"?`,
		"plans", "check", s.writeFile("bad.yaml", "plans:\n- {organisation: a, plan: glod}\n"))
	s.run(ExitInvalid, "--revision", "plans", "apply", s.writeFile("none.yaml", "plans: []\n"))
	good := s.writeFile("plans.yaml", "# revision: 1\nplans: # all\n- {organisation: lima, plan: gold}\n")
	s.run(ExitOK, "2", "plans", "apply", good)
	s.run(ExitConflict, "read at revision 1 and changed at revision 2", "plans", "apply", good)
	got := s.run(ExitOK, "", "plans", "get")
	if got != "# revision: 2\nplans: # all\n- {organisation: lima, plan: gold}\n" {
		t.Errorf("plans get printed a list that differs from the applied one:\n%s", got)
	}
	s.run(ExitUsage, "try --help", "plans", "aply", good)
	s.memoryStore.SetFault(store.FaultDown)
	s.run(ExitFailure, "does not answer", "plans", "get")
}

func TestKeysAreGrantedListedAndWithdrawn(t *testing.T) {
	s := newSession(t)
	s.run(ExitOK, "", "allowances", "apply", "--revision", "0",
		s.writeFile("a", "# revision: 0\nallowances:\n- {plan: gold, tokens_per_second: 10, burst: 300}\n"))
	s.run(ExitOK, "", "plans", "apply", s.writeFile("p", "# revision: 1\nplans:\n- {organisation: lima, plan: gold}\n"))
	s.run(ExitInvalid, `did you mean "lima"?`, "keys", "grant", "lma")
	granted := s.run(ExitOK, `"key"`, "keys", "grant", "lima", "-o", "json")
	s.run(ExitOK, `"organisation": "lima"`, "keys", "list", "lima", "-o", "json")
	key := strings.Split(granted, `"`)[3]
	for _, e := range s.memoryStore.Export() {
		if bytes.Contains(e.Value, []byte(key)) {
			t.Errorf("store entry %s contains the key, want only its hash", e.Key)
		}
	}
	s.run(ExitInvalid, "begins with", "keys", "withdraw", "lima", "zzzz")
	s.run(ExitOK, "1 of 1", "keys", "withdraw", "lima")
	s.run(ExitInvalid, "no key", "keys", "withdraw", "lima")
	s.run(ExitOK, "entry-1", "status")
	var errOut bytes.Buffer
	args := []string{"--operators", s.address, "--operators-token", "wrong", "status"}
	if code := NewProgram(io.Discard).Run(t.Context(), args, &errOut); code != ExitDenied {
		t.Errorf("exit code with an invalid token is %d, want ExitDenied; output: %s", code, errOut.String())
	}
}

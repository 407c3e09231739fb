package config

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const testAllowances = `# what each plan may use
allowances:
  - plan: gold # the large one
    tokens_per_second: 100
    burst: 1000
    adapters:
      - {name: maps, version: v1, base: base-7b}
`

const testPlans = "plans:\n  - {organisation: lima, plan: gold}\n"

// newSeededStore returns a store that holds both lists and one key, at revision 3.
func newSeededStore(t *testing.T) *store.Memory {
	t.Helper()
	memory := store.NewMemory()
	e := NewEditor(memory)
	mustApply(t, e, ListAllowances, testAllowances, 0)
	mustApply(t, e, ListPlans, testPlans, 1)
	if _, err := e.GrantKey(t.Context(), Key{Hash: ident.HashKey("k1"), Organisation: "lima"}); err != nil {
		t.Fatalf("GrantKey() error = %v", err)
	}
	return memory
}

// mustApply applies a list that was read at the given revision, and fails the test
// on an error.
func mustApply(t *testing.T, e *Editor, list List, text string, read Revision) Revision {
	t.Helper()
	revision, err := e.Apply(t.Context(), list, text, read)
	if err != nil {
		t.Fatalf("Apply(%s) at revision %d error = %v", list, read, err)
	}
	return revision
}

func TestReadKeepsComments(t *testing.T) {
	e := NewEditor(newSeededStore(t))
	text, revision, err := e.Read(t.Context(), ListAllowances)
	if err != nil || text != testAllowances || revision != 3 {
		t.Errorf("Read() = revision %d, error %v, want revision 3 and the applied text; text:\n%s", revision, err, text)
	}
	mustApply(t, e, ListAllowances, RevisionComment+"3\n"+testAllowances, 3)
	if text, _, _ = e.Read(t.Context(), ListAllowances); text != testAllowances {
		t.Errorf("Read() after Apply() with a revision comment, want the text without it:\n%s", text)
	}
}

// TestLongTextIsStoredInPieces checks that a text of 20,000 lines is read back
// unchanged and that a change of one line writes only a few chunks.
func TestLongTextIsStoredInPieces(t *testing.T) {
	memory := newSeededStore(t)
	e := NewEditor(memory)
	var long strings.Builder
	long.WriteString(testAllowances)
	for i := range 20_000 {
		fmt.Fprintf(&long, "      - {name: a%d, version: v1, base: base-7b}\n", i)
	}
	mustApply(t, e, ListAllowances, long.String(), 3)
	text, _, err := e.Read(t.Context(), ListAllowances)
	if err != nil || text != long.String() {
		t.Fatalf("Read() returned %d bytes, error %v, want the %d bytes applied", len(text), err, long.Len())
	}
	before := memory.Calls().Writes
	mustApply(t, e, ListAllowances, strings.Replace(long.String(), "a777,", "b777,", 1), 4)
	if writes := memory.Calls().Writes - before; writes > 20 {
		t.Errorf("a change of one line took %d writes, want at most 20", writes)
	}
}

func TestApplyAtOlderRevisionReturnsConflict(t *testing.T) {
	e := NewEditor(newSeededStore(t))
	mustApply(t, e, ListPlans, testPlans+"# first\n", 3)
	_, err := e.Apply(t.Context(), ListPlans, testPlans+"# second\n", 3)
	var conflict *Conflict
	if !errors.As(err, &conflict) || conflict.ReadRevision != 3 || conflict.ListRevision != 4 || conflict.CurrentRevision != 4 {
		t.Errorf("second Apply() error = %v, want a Conflict with ReadRevision 3, ListRevision 4 and CurrentRevision 4", err)
	}
	mustApply(t, e, ListAllowances, testAllowances, 3) // The allowances list has not changed.
}

// TestLostResponsesAndWrites guards against edits that are lost or applied twice.
// The store first drops its response to a write that took effect, and then drops
// the write itself. Only the first edit may be reported as done.
func TestLostResponsesAndWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newSeededStore(t)
		e := NewEditor(memory)
		memory.SetFault(store.FaultResponseLost)
		revision, err := e.GrantKey(t.Context(), Key{Hash: ident.HashKey("k2"), Organisation: "lima"})
		if err != nil || revision != 4 {
			t.Fatalf("GrantKey() with a lost response = revision %d, error %v, want revision 4", revision, err)
		}
		memory.SetFault(store.FaultWriteLost)
		if _, err = e.GrantKey(t.Context(), Key{Hash: ident.HashKey("k3"), Organisation: "lima"}); err == nil {
			t.Fatal("GrantKey() with a lost write succeeded, want an error")
		}
		memory.SetFault(store.FaultNone)
		keys, revision, err := e.Keys(t.Context())
		if err != nil || len(keys) != 2 || revision != 4 {
			t.Errorf("Keys() = %v at revision %d, error %v, want 2 keys at revision 4", keys, revision, err)
		}
	})
}

// concurrentEditStore loses the response to the first swap of the head, and makes
// another edit before that swap's outcome is read back.
type concurrentEditStore struct {
	store.Store
	memory *store.Memory
	edit   func()
}

// CompareAndSwap implements store.Store.
func (s *concurrentEditStore) CompareAndSwap(ctx context.Context, key string, value []byte, prev store.Index) (bool, error) {
	ok, err := s.memory.CompareAndSwap(ctx, key, value, prev)
	if key == headKey && s.edit != nil {
		edit := s.edit
		s.edit = nil
		edit()
		return false, store.ErrOutcomeUnknown
	}
	return ok, err
}

// TestLostResponseIsResolvedAfterLaterEdit checks that an edit whose response is
// lost is found in the head even if another edit has changed the head since.
func TestLostResponseIsResolvedAfterLaterEdit(t *testing.T) {
	memory := newSeededStore(t)
	other := NewEditor(memory)
	s := &concurrentEditStore{Store: memory, memory: memory}
	s.edit = func() {
		if _, err := other.GrantKey(t.Context(), Key{Hash: ident.HashKey("k9"), Organisation: "lima"}); err != nil {
			t.Error(err)
		}
	}
	revision, err := NewEditor(s).GrantKey(t.Context(), Key{Hash: ident.HashKey("k2"), Organisation: "lima"})
	if err != nil || revision != 4 {
		t.Errorf("GrantKey() = revision %d, error %v, want revision 4", revision, err)
	}
	keys, revision, err := other.Keys(t.Context())
	if err != nil || len(keys) != 3 || revision != 5 {
		t.Errorf("Keys() = %v at revision %d, error %v, want 3 keys at revision 5", keys, revision, err)
	}
}

// TestEditAfterStoreRegression guards against the loss of accepted edits after the
// store is restored from older data. The next edit must use a revision above the
// one in force and restore the configuration in force.
func TestEditAfterStoreRegression(t *testing.T) {
	memory := newSeededStore(t)
	older := memory.Export()
	e := NewEditor(memory)
	if _, err := e.WithdrawKey(t.Context(), ident.HashKey("k1")); err != nil {
		t.Fatalf("WithdrawKey() error = %v", err)
	}
	inForce := snapshotFrom(t, memory)
	memory.Import(older)
	highest := inForce.Revision()
	fleet := NewFleetEditor(EditorOptions{
		Store: memory, Current: func() *Snapshot { return inForce },
		HighestRevision: func() Revision { return highest }, Catalog: func() Catalog { return Catalog{} },
	})
	revision, err := fleet.Apply(t.Context(), ListPlans, testPlans, inForce.Revision())
	if err != nil || revision != 5 {
		t.Fatalf("Apply() = revision %d, error %v, want revision 5", revision, err)
	}
	if _, granted := snapshotFrom(t, memory).Key(ident.HashKey("k1")); granted {
		t.Error("the key withdrawn before the regression is granted again")
	}
	if text, _, err := fleet.Read(t.Context(), ListAllowances); err != nil || !strings.Contains(text, "maps") {
		t.Errorf("Read(allowances) error = %v, want a text with the adapter maps:\n%s", err, text)
	}
	highest = 9
	if _, err := fleet.Apply(t.Context(), ListPlans, testPlans, 5); !errors.Is(err, ErrUnavailable) {
		t.Errorf("Apply() with revision 9 in force elsewhere: error = %v, want ErrUnavailable", err)
	}
}

// snapshotFrom returns the snapshot of the configuration in a store.
func snapshotFrom(t *testing.T, memory *store.Memory) *Snapshot {
	t.Helper()
	h, _, err := readHead(t.Context(), memory)
	if err != nil {
		t.Fatalf("readHead() error = %v", err)
	}
	top, err := chunkStore{memory}.tree(t.Context(), [16]byte(h.Root), nil)
	if err != nil {
		t.Fatalf("tree() error = %v", err)
	}
	s, err := snapshotOf(h.Revision, top)
	if err != nil {
		t.Fatalf("snapshotOf() error = %v", err)
	}
	return s
}

func TestGrantKeyForUnknownOrganisationSuggestsNearest(t *testing.T) {
	_, err := NewEditor(newSeededStore(t)).GrantKey(t.Context(), Key{Hash: "x", Organisation: "limo"})
	if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), `"lima"`) {
		t.Errorf("GrantKey() error = %v, want ErrInvalid that suggests \"lima\"", err)
	}
}

package hashtree

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func rowsOf(values map[string]string) []Row {
	rows := make([]Row, 0, len(values))
	for k, v := range values {
		rows = append(rows, Row{Key: k, Value: []byte(v)})
	}
	return rows
}

func drawRows(t *rapid.T, label string) map[string]string {
	return rapid.MapOfN(rapid.StringMatching(`[a-z]{1,4}`), rapid.StringMatching(`[a-z]{0,200}`), 0, 200).Draw(t, label)
}

func TestTreeHoldsItsRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawRows(t, "rows")
		tree := Build(rowsOf(want))
		if tree.Len() != len(want) {
			t.Fatalf("%d rows, want %d", tree.Len(), len(want))
		}
		for k, v := range want {
			row, ok := tree.Get(k)
			if !ok || string(row.Value) != v {
				t.Fatalf("key %q: %q, %t", k, row.Value, ok)
			}
		}
		if _, ok := tree.Get("UNKNOWN"); ok {
			t.Fatal("found a key that is not there")
		}
	})
}

// TestAssemblyNeedsWhatDiffersOnly checks that a tree comes out of a former
// one and the chunks that differ, and that equal contents have equal names.
func TestAssemblyNeedsWhatDiffersOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Build([]Row{{Key: "a", Tree: Build(rowsOf(drawRows(t, "before")))}, {Key: "b"}})
		rows := rowsOf(drawRows(t, "after"))
		after := Build([]Row{{Key: "a", Tree: Build(rows)}, {Key: "c"}})
		assembly := NewAssembly(after.Hash(), before)
		after.Chunks(before, func(_ Hash, raw []byte) bool {
			assembly.Add(raw)
			return true
		})
		got, missing, err := assembly.Build()
		if err != nil || len(missing) > 0 {
			t.Fatalf("missing %v, error %v", missing, err)
		}
		if got.Hash() != after.Hash() {
			t.Fatal("another tree came out")
		}
		row, _ := got.Get("a")
		for _, r := range rows {
			if found, ok := row.Tree.Get(r.Key); !ok || string(found.Value) != string(r.Value) {
				t.Fatalf("key %q: %q, %t", r.Key, found.Value, ok)
			}
		}
	})
}

func TestSmallChangeMakesFewChunks(t *testing.T) {
	const rows = 130_000
	all := make([]Row, 0, rows)
	for i := range rows {
		all = append(all, Row{Key: fmt.Sprintf("adapter-%06d", i), Value: []byte("version-1.base-7b")})
	}
	before := Build(all)
	all[77].Value = []byte("version-2.base-7b")
	after := Build(all)
	size := 0
	after.Chunks(before, func(_ Hash, raw []byte) bool {
		size += len(raw)
		return true
	})
	if size == 0 || size > 10_000 {
		t.Errorf("a change of one row of %d makes chunks of %d bytes", rows, size)
	}
}

func TestChunkThatIsNoNodeIsCorrupt(t *testing.T) {
	for _, raw := range [][]byte{{0xff}, {0x12, 0x04, 0x08, 0x63, 0x12, 0x00}} {
		assembly := NewAssembly(HashOf(raw), nil)
		assembly.Add(raw)
		if _, _, err := assembly.Build(); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%x: %v", raw, err)
		}
	}
}

func FuzzAssembly(f *testing.F) {
	f.Add([]byte{})
	f.Add(Build([]Row{{Key: "a", Value: []byte("b"), Tree: Build([]Row{{Key: "c"}})}}).raw)
	f.Add([]byte{0x12, 0x04, 0x08, 0x63, 0x12, 0x00})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		assembly := NewAssembly(HashOf(raw), nil)
		assembly.Add(raw)
		tree, missing, err := assembly.Build()
		if err == nil && len(missing) == 0 {
			tree.Each(func(Row) {})
			tree.Get("a")
		}
	})
}

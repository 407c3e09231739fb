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

// rowsOf returns a row for each key and value.
func rowsOf(values map[string]string) []Row {
	rows := make([]Row, 0, len(values))
	for k, v := range values {
		rows = append(rows, Row{Key: k, Value: []byte(v)})
	}
	return rows
}

// drawRows draws up to 200 keys with values.
func drawRows(t *rapid.T, label string) map[string]string {
	return rapid.MapOfN(rapid.StringMatching(`[a-z]{1,4}`), rapid.StringMatching(`[a-z]{0,200}`), 0, 200).Draw(t, label)
}

func TestGetReturnsBuiltRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawRows(t, "rows")
		tree := Build(rowsOf(want))
		if tree.Len() != len(want) {
			t.Fatalf("Len() = %d, want %d", tree.Len(), len(want))
		}
		for k, v := range want {
			row, ok := tree.Get(k)
			if !ok || string(row.Value) != v {
				t.Fatalf("Get(%q) = %q, %t, want %q, true", k, row.Value, ok, v)
			}
		}
		if _, ok := tree.Get("UNKNOWN"); ok {
			t.Fatal("Get(\"UNKNOWN\") found a row, want none")
		}
	})
}

// TestAssemblerNeedsOnlyNewChunks checks that a tree can be assembled from a
// previous tree and the chunks that differ, with the same root hash and rows.
func TestAssemblerNeedsOnlyNewChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Build([]Row{{Key: "a", Tree: Build(rowsOf(drawRows(t, "before")))}, {Key: "b"}})
		rows := rowsOf(drawRows(t, "after"))
		after := Build([]Row{{Key: "a", Tree: Build(rows)}, {Key: "c"}})
		assembler := NewAssembler(after.Hash(), before)
		after.EachNewChunk(before, func(_ Hash, raw []byte) bool {
			assembler.Add(raw)
			return true
		})
		got, missing, err := assembler.Build()
		if err != nil || len(missing) > 0 {
			t.Fatalf("Build() misses %v, error %v, want no missing chunks", missing, err)
		}
		if got.Hash() != after.Hash() {
			t.Fatalf("assembled tree has hash %s, want %s", got.Hash(), after.Hash())
		}
		row, _ := got.Get("a")
		for _, r := range rows {
			if found, ok := row.Tree.Get(r.Key); !ok || string(found.Value) != string(r.Value) {
				t.Fatalf("Get(%q) in the assembled tree = %q, %t, want %q, true", r.Key, found.Value, ok, r.Value)
			}
		}
	})
}

// TestSmallChangeProducesFewChunks checks that a change of one row of 130,000
// produces at most 10,000 bytes of new chunks.
func TestSmallChangeProducesFewChunks(t *testing.T) {
	const rows = 130_000
	all := make([]Row, 0, rows)
	for i := range rows {
		all = append(all, Row{Key: fmt.Sprintf("adapter-%06d", i), Value: []byte("version-1.base-7b")})
	}
	before := Build(all)
	all[77].Value = []byte("version-2.base-7b")
	after := Build(all)
	size := 0
	after.EachNewChunk(before, func(_ Hash, raw []byte) bool {
		size += len(raw)
		return true
	})
	if size == 0 || size > 10_000 {
		t.Errorf("a change of one row of %d produces %d bytes of chunks, want 1 to 10,000", rows, size)
	}
}

func TestAssemblerRejectsInvalidChunks(t *testing.T) {
	// The second chunk has a child in slot 99 (0x63).
	for _, raw := range [][]byte{{0xff}, {0x12, 0x04, 0x08, 0x63, 0x12, 0x00}} {
		assembler := NewAssembler(HashOf(raw), nil)
		assembler.Add(raw)
		if _, _, err := assembler.Build(); !errors.Is(err, ErrCorrupt) {
			t.Errorf("Build() with chunk %x: error = %v, want ErrCorrupt", raw, err)
		}
	}
}

func FuzzAssembler(f *testing.F) {
	f.Add([]byte{})
	f.Add(Build([]Row{{Key: "a", Value: []byte("b"), Tree: Build([]Row{{Key: "c"}})}}).raw)
	f.Add([]byte{0x12, 0x04, 0x08, 0x63, 0x12, 0x00})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		assembler := NewAssembler(HashOf(raw), nil)
		assembler.Add(raw)
		tree, missing, err := assembler.Build()
		if err == nil && len(missing) == 0 {
			tree.Each(func(Row) {})
			tree.Get("a")
		}
	})
}

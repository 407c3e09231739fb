package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const maxBytes = 4 << 20

// A string is decoded as it was encoded, whatever the base.
func TestDecodeReturnsEncodedString(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.OneOf(
			rapid.SliceOfN(rapid.Byte(), 0, 300),
			rapid.Map(rapid.IntRange(0, 3), func(seed int) []byte { return text(seed, 3000) }),
		)
		parts := func(label string) []byte {
			return bytes.Join(rapid.SliceOfN(part, 0, 6).Draw(t, label), nil)
		}
		base, target := parts("base"), parts("target")
		got, err := Decode(base, Encode(base, target), maxBytes)
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("decoded %d bytes, error %v; want the %d encoded ones", len(got), err, len(target))
		}
	})
}

// text returns entries that differ, like those of a configuration.
func text(seed, size int) []byte {
	rng := rand.New(rand.NewPCG(uint64(seed), 1))
	var out bytes.Buffer
	for out.Len() < size {
		fmt.Fprintf(&out, `{"name":"r-%07x","path-prefix":"/%08x/","weight":%d},`, rng.Uint32(), rng.Uint32(), rng.IntN(100))
	}
	return out.Bytes()
}

// A change of one entry takes few bytes however large the string is, also if it moves what follows.
func TestSmallChangeHasSmallEncoding(t *testing.T) {
	for _, size := range []int{10 << 10, 100 << 10, 1 << 20} {
		base := text(1, size)
		for name, change := range map[string]func([]byte) []byte{
			"replaced": func(b []byte) []byte { copy(b[len(b)/2:], "changed"); return b },
			"inserted": func(b []byte) []byte {
				return bytes.Join([][]byte{b[:len(b)/3], []byte(`{"name":"new"},`), b[len(b)/3:]}, nil)
			},
			"removed": func(b []byte) []byte { return append(b[:len(b)/4], b[len(b)/4+60:]...) },
			"both ends": func(b []byte) []byte {
				return bytes.Join([][]byte{[]byte("version 2"), b[:len(b)-30]}, nil)
			},
		} {
			target := change(bytes.Clone(base))
			if n := len(Encode(base, target)); n > 400 {
				t.Errorf("%s in %d bytes: encoding of %d bytes, want at most 400", name, size, n)
			}
		}
	}
}

// An encoding of another base, a spoiled one and one that is too large are rejected.
func TestInvalidEncodingIsRejected(t *testing.T) {
	base, target := text(1, 5000), append(text(1, 5000), "end"...)
	encoded := Encode(base, target)
	for name, tc := range map[string]struct {
		base, encoded []byte
		most          int
	}{
		"other base": {text(2, 5000), encoded, maxBytes},
		"no base":    {nil, encoded, maxBytes},
		"cut":        {base, encoded[:len(encoded)/2], maxBytes},
		"empty":      {base, nil, maxBytes},
		"too large":  {base, encoded, len(target) - 1},
	} {
		if got, err := Decode(tc.base, tc.encoded, tc.most); err == nil {
			t.Errorf("%s: decoded %d bytes, want an error", name, len(got))
		}
	}
}

// Whatever is decoded, the result is within the limit and the memory for it too.
func FuzzDecode(f *testing.F) {
	base := text(1, 2000)
	f.Add(Encode(base, text(2, 2000)))
	f.Add(Encode(base, append(text(1, 2000), 1)))
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if got, err := Decode(base, encoded, 10000); err == nil && len(got) > 10000 {
			t.Errorf("decoded %d bytes, want at most 10000", len(got))
		}
	})
}

// A change of one entry, and a whole string, by size.
func BenchmarkEncode(b *testing.B) {
	for _, size := range []int{10 << 10, 100 << 10, 1000 << 10} {
		base := text(1, size)
		changed := bytes.Clone(base)
		copy(changed[len(changed)/2:], "changed")
		for name, from := range map[string][]byte{"change": base, "whole": nil} {
			b.Run(fmt.Sprint(name, "/", size>>10, "KB"), func(b *testing.B) {
				b.SetBytes(int64(len(changed)))
				b.ReportMetric(float64(len(Encode(from, changed))), "encoded-bytes")
				for b.Loop() {
					Encode(from, changed)
				}
			})
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, size := range []int{10 << 10, 100 << 10, 1000 << 10} {
		base := text(1, size)
		changed := bytes.Clone(base)
		copy(changed[len(changed)/2:], "changed")
		encoded := Encode(base, changed)
		b.Run(fmt.Sprint(size>>10, "KB"), func(b *testing.B) {
			b.SetBytes(int64(len(changed)))
			for b.Loop() {
				if _, err := Decode(base, encoded, maxBytes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

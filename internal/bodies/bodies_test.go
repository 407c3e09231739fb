package bodies

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/memorybudget"
)

func claim(expected int64) memorybudget.Claim {
	return memorybudget.Claim{Kind: memorybudget.KindBody, Organisation: "smithy", Expected: expected}
}

// Bodies of any length must be read whole, in order, up to their limit.
func TestBodyHoldsWhatWasRead(t *testing.T) {
	m := NewMemory(memorybudget.DefaultLimits(8 << 20))
	for _, size := range []int{0, 1, firstPieceBytes, firstPieceBytes + 1, firstPieceBytes + pieceBytes, 1 << 20} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(rand.IntN(256))
		}
		for name, r := range map[string]io.Reader{"whole": bytes.NewReader(want), "in halves": iotest.HalfReader(bytes.NewReader(want))} {
			b := NewBody(m.Open(claim(int64(size)), nil))
			if err := b.ReadAll(context.Background(), r, int64(size)); err != nil {
				t.Fatalf("%d bytes, %s: %v", size, name, err)
			}
			if got := bytes.Join(b.Pieces(), nil); !bytes.Equal(got, want) || b.Len() != size {
				t.Errorf("%d bytes, %s: read %d other bytes", size, name, len(got))
			}
			b.Release()
		}
		b := NewBody(m.Open(claim(int64(size)), nil))
		if err := b.ReadAll(context.Background(), bytes.NewReader(append(want, 'x')), int64(size)); err != ErrTooLarge {
			t.Errorf("%d bytes with a limit of %d: %v", size+1, size, err)
		}
		b.Release()
	}
	if m.budget.Total() != 0 {
		t.Errorf("%d bytes are still held", m.budget.Total())
	}
}

// A piece that a sender still reads must not be given to another body.
func TestPiecesAreKeptForLastUser(t *testing.T) {
	m := NewMemory(memorybudget.DefaultLimits(8 << 20))
	b := NewBody(m.Open(claim(1), nil))
	if err := b.ReadAll(context.Background(), bytes.NewReader([]byte("x")), 1); err != nil {
		t.Fatal(err)
	}
	b.Retain()
	b.Release()
	if m.Held(memorybudget.KindBody) == 0 || len(b.Pieces()) != 1 {
		t.Error("the pieces were returned before the last user has released them")
	}
	b.Release()
	if m.Held(memorybudget.KindBody) != 0 {
		t.Error("the pieces were not returned")
	}
}

// Many bodies at once must stay within the budget, and some of them must be read to their end.
func TestConcurrentBodiesStayWithinBudget(t *testing.T) {
	l := memorybudget.DefaultLimits(2 << 20)
	m := NewMemory(l)
	var wg sync.WaitGroup
	var mu sync.Mutex
	complete := 0
	for range 60 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			b := NewBody(m.Open(claim(256<<10), cancel))
			defer b.Release()
			err := b.ReadAll(ctx, iotest.HalfReader(bytes.NewReader(make([]byte, 256<<10))), 256<<10)
			if err != nil && !errors.Is(err, ErrNoRoom) {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil && b.account.Complete() {
				complete++
			}
			if held := m.Held(memorybudget.KindBody) + m.Held(memorybudget.KindRequest); held > l.Total {
				t.Errorf("%d bytes held of %d", held, l.Total)
			}
		})
	}
	wg.Wait()
	if complete == 0 || m.budget.Total() != 0 {
		t.Errorf("%d bodies complete, %d bytes still held", complete, m.budget.Total())
	}
}

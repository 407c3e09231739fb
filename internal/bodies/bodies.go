// Package bodies holds the bodies of requests and responses in pieces whose bytes are reserved from a memory budget.
//
// Package memorybudget decides who gets bytes and who returns them; this package carries its decisions out.
package bodies

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/memorybudget"
)

// Errors of Body.ReadFrom and Account.Reserve.
const (
	// ErrNoRoom means that the budget has no room, or that the bytes were given to another holder.
	ErrNoRoom = errors.ConstError("no memory for the body")
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.ConstError("body exceeds its limit")
)

const (
	// firstPieceBytes is the size of a body's first piece. Most bodies with prompts of a few hundred tokens fit into it.
	firstPieceBytes = 4 << 10
	// pieceBytes is the size of all other pieces.
	pieceBytes = 16 << 10
)

// pools keep pieces that are not in use, so that bytes that were returned to the budget do not wait for the garbage
// collector while others reserve them.
var (
	firstPieces = sync.Pool{New: func() any { return new([firstPieceBytes]byte) }}
	pieces      = sync.Pool{New: func() any { return new([pieceBytes]byte) }}
)

// Memory is the budget of a process. It is safe for concurrent use.
type Memory struct {
	// OnRefused is called for a holder that gets no room, and OnYield for one that loses what it holds. Both may be nil.
	OnRefused, OnYield func(memorybudget.Kind)

	mu     sync.Mutex
	budget *memorybudget.Budget
	owners map[*memorybudget.Holder]*Account
	freed  chan struct{} // Closed when bytes were returned or a holder has yielded; nil while nobody waits.
}

// NewMemory returns a Memory with the given limits.
func NewMemory(l memorybudget.Limits) *Memory {
	return &Memory{budget: memorybudget.New(l), owners: make(map[*memorybudget.Holder]*Account)}
}

// memoryShare is the part of a VM's memory that bodies and responses may hold. A router takes 33 to 49 MB besides
// (docs/CAPACITY.md), and the garbage collector needs room for what it has not collected yet.
const memoryShare = 0.25

// NewMemoryOfVM returns the budget of a process on a VM with mb MB of memory, and counts in scope who gets no room and who
// yields. It returns nil, which sets no limit, if mb is 0. A holder of at most smallBytes counts as small.
func NewMemoryOfVM(mb int, smallBytes int64, scope tally.Scope) *Memory {
	if mb == 0 {
		return nil
	}
	l := memorybudget.DefaultLimits(int64(memoryShare * float64(mb) * (1 << 20)))
	l.SmallBytes = smallBytes
	m := NewMemory(l)
	count := func(name string) func(memorybudget.Kind) {
		return func(k memorybudget.Kind) {
			scope.Tagged(map[string]string{"kind": memorybudget.Names[k]}).Counter(name).Inc(1)
		}
	}
	m.OnRefused, m.OnYield = count("memory_refused_total"), count("memory_yielded_total")
	return m
}

// Held returns the bytes held of a kind.
func (m *Memory) Held(k memorybudget.Kind) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Held(k)
}

// Account is one holder of a Memory. Close must be called. A nil Account has no limit.
type Account struct {
	memory  *Memory
	holder  *memorybudget.Holder
	onYield func() // Ends what the holder does; must not block.
}

// Open begins an account. onYield is called when the account has to return its bytes: the caller of its methods closes it
// then. It may be nil for an account that never yields. Open returns nil for a nil Memory.
func (m *Memory) Open(c memorybudget.Claim, onYield func()) *Account {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &Account{memory: m, holder: m.budget.Add(c, time.Now()), onYield: onYield}
	m.owners[a.holder] = a
	return a
}

// Reserve takes n bytes from the budget. It waits for room for a short time and returns ErrNoRoom if there is none.
func (a *Account) Reserve(ctx context.Context, n int) error {
	if a == nil {
		return nil
	}
	var timer *time.Timer
	for {
		granted, freed, wait := a.tryReserve(int64(n))
		if granted {
			return nil
		}
		if freed == nil {
			a.memory.recordRefused(a.holder.Kind)
			return ErrNoRoom
		}
		if timer == nil {
			timer = time.NewTimer(wait)
			defer timer.Stop()
		}
		select {
		case <-freed:
		case <-timer.C:
			timer.Reset(wait) // The next answer is a refusal unless there is room.
		case <-ctx.Done():
			return ErrNoRoom
		}
	}
}

// tryReserve asks the budget once. If the account has to wait, it returns a channel that is closed when it may ask again,
// and the longest wait; the channel is nil if the account is refused.
func (a *Account) tryReserve(n int64) (granted bool, freed <-chan struct{}, wait time.Duration) {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.budget.Reserve(a.holder, n, time.Now())
	for _, v := range d.Yield {
		if m.OnYield != nil {
			m.OnYield(v.Kind)
		}
		if owner := m.owners[v]; owner.onYield != nil {
			owner.onYield()
		}
	}
	if len(d.Yield) > 0 {
		m.notify() // One of them may be waiting for room.
	}
	switch d.Verdict {
	case memorybudget.Granted:
		return true, nil, 0
	case memorybudget.Refused:
		return false, nil, 0
	default:
		if m.freed == nil {
			m.freed = make(chan struct{})
		}
		return false, m.freed, m.budget.Limits().Wait
	}
}

func (m *Memory) recordRefused(k memorybudget.Kind) {
	if m.OnRefused != nil {
		m.OnRefused(k)
	}
}

// notify makes all that wait ask again. The caller holds m.mu.
func (m *Memory) notify() {
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// do calls change under the lock of the Memory.
func (a *Account) do(change func(*memorybudget.Budget)) {
	if a == nil {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	change(a.memory.budget)
}

// Release returns n bytes to the budget.
func (a *Account) Release(n int) {
	a.do(func(b *memorybudget.Budget) {
		b.Release(a.holder, int64(n))
		a.memory.notify()
	})
}

// Progress records that n bytes were received or written.
func (a *Account) Progress(n int) {
	a.do(func(b *memorybudget.Budget) { b.Progress(a.holder, int64(n), time.Now()) })
}

// Complete records that the body is complete and belongs to a request that is served. It returns false if the account
// has yielded before.
func (a *Account) Complete() bool {
	complete := true
	a.do(func(b *memorybudget.Budget) {
		if complete = !a.holder.Yielded(); complete {
			b.Complete(a.holder)
		}
	})
	return complete
}

// SetWriting records whether the bytes are being written to their reader.
func (a *Account) SetWriting(writing bool) {
	a.do(func(b *memorybudget.Budget) { b.SetWriting(a.holder, writing, time.Now()) })
}

// Yielded reports whether the account has lost its bytes to another one.
func (a *Account) Yielded() bool {
	yielded := false
	a.do(func(*memorybudget.Budget) { yielded = a.holder.Yielded() })
	return yielded
}

// Close returns all bytes to the budget. onYield is not called afterwards.
func (a *Account) Close() {
	a.do(func(b *memorybudget.Budget) {
		b.Remove(a.holder)
		delete(a.memory.owners, a.holder)
		a.memory.notify()
	})
}

// Body is a body in pieces. Its creator must call Release; Retain and Release count its users.
type Body struct {
	account *Account
	filled  net.Buffers // Filled parts of the pieces.
	size    int
	users   atomic.Int32
}

// NewBody returns an empty body whose bytes are reserved from an account. The body closes the account.
func NewBody(a *Account) *Body {
	b := &Body{account: a}
	b.users.Store(1)
	return b
}

// Len returns the number of bytes.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Pieces returns the body in pieces, which are valid until the last user calls Release.
func (b *Body) Pieces() [][]byte {
	if b == nil {
		return nil
	}
	return b.filled
}

// Account returns the account of the body.
func (b *Body) Account() *Account {
	if b == nil {
		return nil
	}
	return b.account
}

// Retain adds a user.
func (b *Body) Retain() {
	if b != nil {
		b.users.Add(1)
	}
}

// Release ends the use by one user. The last one returns the pieces.
func (b *Body) Release() {
	if b == nil || b.users.Add(-1) != 0 {
		return
	}
	for _, piece := range b.filled {
		putPiece(piece)
	}
	b.filled, b.size = nil, 0
	b.account.Close()
}

// ReadAll reads r to its end. It returns ErrTooLarge for more than maxBytes, ErrNoRoom if the budget has no room, or the error
// of r.
func (b *Body) ReadAll(ctx context.Context, r io.Reader, maxBytes int64) error {
	for {
		piece, err := b.addPiece(ctx)
		if err != nil {
			return err
		}
		last := len(b.filled) - 1
		for len(piece) < cap(piece) {
			n, err := r.Read(piece[len(piece):cap(piece)])
			piece = piece[:len(piece)+n]
			b.filled[last] = piece
			b.size += n
			b.account.Progress(n)
			if int64(b.size) > maxBytes {
				return ErrTooLarge
			}
			if err == io.EOF {
				return nil
			}
			if err != nil {
				return err
			}
		}
	}
}

// Join returns the body as one slice, and returns its pieces. It reserves copies times its length, for the slice and what is made
// of it, until the last user calls Release.
func (b *Body) Join(ctx context.Context, copies int) ([]byte, error) {
	if err := b.account.Reserve(ctx, copies*b.size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, b.size)
	held := 0
	for _, piece := range b.filled {
		data = append(data, piece...)
		held += cap(piece)
		putPiece(piece)
	}
	b.filled = nil
	b.account.Release(held)
	return data, nil
}

// addPiece adds an empty piece.
func (b *Body) addPiece(ctx context.Context) ([]byte, error) {
	size := pieceBytes
	if len(b.filled) == 0 {
		size = firstPieceBytes
	}
	if err := b.account.Reserve(ctx, size); err != nil {
		return nil, err
	}
	piece := getPiece(size)
	b.filled = append(b.filled, piece)
	return piece, nil
}

func getPiece(size int) []byte {
	if size == firstPieceBytes {
		return firstPieces.Get().(*[firstPieceBytes]byte)[:0]
	}
	return pieces.Get().(*[pieceBytes]byte)[:0]
}

func putPiece(piece []byte) {
	if cap(piece) == firstPieceBytes {
		firstPieces.Put((*[firstPieceBytes]byte)(piece[:firstPieceBytes]))
		return
	}
	pieces.Put((*[pieceBytes]byte)(piece[:pieceBytes]))
}

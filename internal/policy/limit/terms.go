package limit

import (
	"math"
	"math/bits"
	"time"
)

const (
	// Shares is the number of shares of each account.
	Shares = 4
	// GrantLifetime is how long after asking an asker may use an answer.
	GrantLifetime = 200 * time.Millisecond
	// FreshFor is how long an answer's balance is trusted to show that asking
	// again is in vain.
	FreshFor = 5 * time.Millisecond
	// PauseLimit is how long a holder may be without a sign of its own life
	// before it must confirm its generation. It is shorter than the time after
	// which a process off the VM list counts as gone.
	PauseLimit = 3 * time.Second
	// TokenLifetime is when an unsettled reservation of tokens counts as used.
	TokenLifetime = 10 * time.Minute
	// PermitLifetime is when an unreturned permit is free again.
	PermitLifetime = time.Minute
)

// Account names what is limited, such as the tokens of one organisation.
type Account string

// Parts counts tokens in units of 1/Shares token, so that each share's rate
// and burst in parts equal the account's rate and burst in tokens.
type Parts int64

// PartsOf returns a number of tokens in parts.
func PartsOf(tokens int64) Parts {
	return Parts(tokens) * Shares
}

// units are billionths of a part, so that refill by the nanosecond is exact.
type units int64

const unitsPerPart = units(time.Second)

// MaxBurst is the largest burst of an account in tokens.
const MaxBurst = math.MaxInt64 / int64(time.Second) / 4

// Terms are the limits of an account. Rate and Burst are in tokens of the
// account, which are parts of each share.
type Terms struct {
	Rate     int64  // Tokens a second.
	Burst    int64  // Tokens.
	Revision uint64 // Of the configuration; later terms replace earlier ones.
	// Permits marks an account of rate zero whose tokens are permits to do
	// something now: they come back when they are settled or expire.
	Permits bool
}

func (t Terms) burst() units {
	return units(min(t.Burst, MaxBurst)) * unitsPerPart
}

func (t Terms) lifetime() time.Duration {
	if t.Permits {
		return PermitLifetime
	}
	return TokenLifetime
}

// refill returns what flows in over d, at most room.
func (t Terms) refill(d time.Duration, room units) units {
	if d <= 0 || room <= 0 || t.Rate <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(t.Rate), uint64(d))
	if high != 0 || low > uint64(room) {
		return room
	}
	return units(low)
}

// Estimate returns what a share that had left parts holds after d, if nobody
// has taken any.
func (t Terms) Estimate(left Parts, d time.Duration) Parts {
	room := t.burst() - units(left)*unitsPerPart
	return left + Parts(t.refill(d, room)/unitsPerPart)
}

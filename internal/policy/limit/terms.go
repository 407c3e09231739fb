package limit

import (
	"math"
	"math/bits"
	"time"
)

const (
	// Shares is the number of shares of each account.
	Shares = 4
	// ResponseLifetime is how long after sending a request its response is valid.
	ResponseLifetime = 200 * time.Millisecond
	// FreshBalanceAge is the age up to which a reported balance suffices to
	// refuse a reservation without another request to the holder.
	FreshBalanceAge = 5 * time.Millisecond
	// MaxHeartbeatGap is the longest gap between heartbeats after which a holder
	// need not confirm its generation. It is shorter than the time after which a
	// process that is off the VM list counts as removed.
	MaxHeartbeatGap = 3 * time.Second
	// TokenLifetime is the time after which the tokens of an unsettled reservation
	// count as used.
	TokenLifetime = 10 * time.Minute
	// PermitLifetime is the time after which an unreturned permit is available
	// again.
	PermitLifetime = time.Minute
)

// Account names a limited resource, such as the tokens of one organisation.
type Account string

// Parts counts tokens in units of 1/Shares token. A share's rate and burst in
// parts are therefore equal to the account's rate and burst in tokens.
type Parts int64

// PartsOf converts tokens to parts.
func PartsOf(tokens int64) Parts {
	return Parts(tokens) * Shares
}

// units are billionths of a part. With them, a refill over a whole number of
// nanoseconds is exact.
type units int64

const unitsPerPart = units(time.Second)

// MaxBurst is the largest burst of an account in tokens.
const MaxBurst = math.MaxInt64 / int64(time.Second) / 4

// Terms are the limits of an account. Rate and Burst are in tokens for the
// account, and in parts for each share.
type Terms struct {
	Rate     int64 // Per second.
	Burst    int64
	Revision uint64 // Configuration revision; higher revisions replace lower ones.
	// Permits marks an account with rate zero whose tokens are permits for an
	// action in progress. A permit returns when it is settled or expires.
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

// refill returns the amount added during d, at most free.
func (t Terms) refill(d time.Duration, free units) units {
	if d <= 0 || free <= 0 || t.Rate <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(t.Rate), uint64(d))
	if high != 0 || low > uint64(free) {
		return free
	}
	return units(low)
}

// EstimateAvailable returns how many parts a share has d after it had available
// parts, provided that none were taken in between.
func (t Terms) EstimateAvailable(available Parts, d time.Duration) Parts {
	free := t.burst() - units(available)*unitsPerPart
	return available + Parts(t.refill(d, free)/unitsPerPart)
}

package limit

const (
	// spreadDivisor is the divisor of a share's burst that gives the largest
	// amount taken from a single share without spreading. A larger reservation is
	// spread over several shares. This keeps all shares equally full, so that
	// none overflows while another is empty.
	spreadDivisor = 10
	// maxRequestsPerShare is how many requests a plan sends for one share.
	maxRequestsPerShare = 2
)

// spreadThreshold returns the largest amount that is taken from one share
// without spreading.
func (p *Plan) spreadThreshold() Parts {
	return max(Parts(p.terms.Burst/spreadDivisor), PartsOf(1))
}

// nextShare returns the index of the share to request from next: the
// reserver's own share if it covers all missing parts at once, otherwise the
// fullest share. It returns false if every share is excluded.
func (p *Plan) nextShare(self Member, missing Parts) (int, bool) {
	best := -1
	for i := range p.shares {
		if p.shares[i].excluded {
			continue
		}
		if best < 0 || p.preferred(i, best, self, missing) {
			best = i
		}
	}
	return best, best >= 0
}

// preferred reports whether share i is requested before share j.
func (p *Plan) preferred(i, j int, self Member, missing Parts) bool {
	first, second := p.ownShareSuffices(i, self, missing), p.ownShareSuffices(j, self, missing)
	if first != second {
		return first
	}
	return p.shares[i].balance > p.shares[j].balance
}

// ownShareSuffices reports whether self holds share i, the share has all
// missing parts, and their number is too small for spreading.
func (p *Plan) ownShareSuffices(i int, self Member, missing Parts) bool {
	return missing <= p.spreadThreshold() && p.shares[i].balance >= missing && p.HolderOf(i) == self
}

// amountFrom returns how much to take from a share so that this share and the
// shares not yet requested end up equally full. The binary search finds the
// highest common level that still yields the missing parts.
func (p *Plan) amountFrom(index int, missing Parts) Parts {
	low, high := Parts(0), p.shares[index].balance
	for low < high {
		level := (low + high + 1) / 2
		if p.sumAbove(level, index) >= missing {
			low = level
		} else {
			high = level - 1
		}
	}
	amount := max(p.shares[index].balance-low, p.spreadThreshold())
	return min(amount, missing)
}

// sumAbove returns how many parts the given share and the shares not yet
// requested hold above a level.
func (p *Plan) sumAbove(level Parts, index int) Parts {
	sum := Parts(0)
	for i := range p.shares {
		if i == index || !p.shares[i].excluded {
			sum += max(p.shares[i].balance-level, 0)
		}
	}
	return sum
}

// allowRepeats permits a second request to each share that responded with a
// remaining balance, once no share is left to request from.
func (p *Plan) allowRepeats() {
	for i := range p.shares {
		if !p.shares[i].excluded {
			return
		}
	}
	for i := range p.shares {
		view := &p.shares[i]
		mayRepeat := view.responded && view.requests < maxRequestsPerShare && view.balance > 0
		view.excluded = !mayRepeat
	}
}

package limit

const (
	// spreadFraction of a share's burst is taken from one share at once; a
	// larger reservation is spread, so that all shares stay equally full and
	// none runs over while another is empty.
	spreadFraction = 10
	// maxAsks is how often a plan asks one share.
	maxAsks = 2
)

// least returns how much is taken from one share without spreading.
func (p *Plan) least() Parts {
	return max(Parts(p.terms.Burst/spreadFraction), PartsOf(1))
}

// best returns the share to ask next: the asker's own where that gives all at
// once, else the fullest.
func (p *Plan) best(self Member, missing Parts) (int, bool) {
	best := -1
	for i := range p.shares {
		if p.shares[i].skip {
			continue
		}
		if best < 0 || p.before(i, best, self, missing) {
			best = i
		}
	}
	return best, best >= 0
}

// before reports whether share i is asked before share j.
func (p *Plan) before(i, j int, self Member, missing Parts) bool {
	first, second := p.suffices(i, self, missing), p.suffices(j, self, missing)
	if first != second {
		return first
	}
	return p.shares[i].left > p.shares[j].left
}

// suffices reports whether a share is the asker's own and has all that is
// missing, which is too little to be spread.
func (p *Plan) suffices(i int, self Member, missing Parts) bool {
	return missing <= p.least() && p.shares[i].left >= missing && p.HolderOf(i) == self
}

// want returns how much to take from a share so that it and those not asked
// yet are left equally full.
func (p *Plan) want(index int, missing Parts) Parts {
	low, high := Parts(0), p.shares[index].left
	for low < high {
		level := (low + high + 1) / 2
		if p.above(level, index) >= missing {
			low = level
		} else {
			high = level - 1
		}
	}
	want := max(p.shares[index].left-low, p.least())
	return min(want, missing)
}

// above returns what a share and those not asked yet hold above a level.
func (p *Plan) above(level Parts, index int) Parts {
	sum := Parts(0)
	for i := range p.shares {
		if i == index || !p.shares[i].skip {
			sum += max(p.shares[i].left-level, 0)
		}
	}
	return sum
}

// askAgain lets shares that have something left be asked once more, where all
// have been asked.
func (p *Plan) askAgain() {
	for i := range p.shares {
		if !p.shares[i].skip {
			return
		}
	}
	for i := range p.shares {
		view := &p.shares[i]
		again := view.answered && view.asks < maxAsks && view.left > 0
		view.skip = !again
	}
}

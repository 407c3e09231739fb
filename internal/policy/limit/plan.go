package limit

import (
	"math"
	"time"
)

// Part is what one share gave to a reservation of an asker.
type Part struct {
	Share  ShareID
	Holder Member
	ID     ReservationID
	Amount Parts

	asked   time.Time // When the asker sent the request.
	pending bool      // The part counts only when the whole plan is admitted.
}

// Ask is the next request that a plan sends.
type Ask struct {
	Holder  Member
	Request Request
}

// Plan gathers the tokens of one reservation from the shares of an account:
// all of them or none.
//
// Invariant: what is admitted was given by the holders that the plan's
// generation names, in that generation, by answers not older than
// GrantLifetime.
type Plan struct {
	gen     Generation
	account Account
	terms   Terms
	id      ReservationID
	need    Parts
	parts   []Part
	shares  [Shares]shareView
}

// shareView is what a plan knows of one share.
type shareView struct {
	left     Parts // Last known or estimated.
	skip     bool  // Asked, or not to be asked.
	answered bool  // The holder has answered with a balance.
}

// NewPlan returns a plan for a number of tokens under a unique id.
func NewPlan(gen Generation, account Account, terms Terms, id ReservationID, tokens int64) *Plan {
	p := &Plan{gen: gen, account: account, terms: terms, id: id, need: PartsOf(tokens)}
	for i := range p.shares {
		p.shares[i].left = Parts(terms.Burst)
	}
	return p
}

// Estimate tells what a share is thought to have left.
func (p *Plan) Estimate(index int, left Parts) {
	p.shares[index].left = left
}

// Skip leaves out a share whose holder does not answer.
func (p *Plan) Skip(index int) {
	p.shares[index].skip = true
}

// HolderOf returns the member that holds one of the account's shares.
func (p *Plan) HolderOf(index int) Member {
	return p.gen.Holder(p.share(index))
}

// Next returns the next request, to the fullest share that was not asked, or
// false where there is none or nothing is missing. prefer names the asker
// itself: its own share goes first where that has all that is missing.
func (p *Plan) Next(prefer Member) (Ask, bool) {
	missing := p.missing()
	if missing == 0 {
		return Ask{}, false
	}
	best := -1
	for i := range p.shares {
		if p.shares[i].skip {
			continue
		}
		if best < 0 || p.before(i, best, prefer, missing) {
			best = i
		}
	}
	if best < 0 {
		return Ask{}, false
	}
	p.shares[best].skip = true
	ask := Ask{Holder: p.HolderOf(best), Request: Request{
		Generation: p.gen.Number,
		Share:      p.share(best),
		Terms:      p.terms,
		ID:         p.id,
		Want:       missing,
		Least:      1,
		Pending:    true,
	}}
	if len(p.parts) == 0 && p.suffices(best, prefer, missing) {
		// All at once from the asker's own share: it is admitted as it is given.
		ask.Request.Least = missing
		ask.Request.Pending = false
	}
	return ask, true
}

// before reports whether share i is asked before share j.
func (p *Plan) before(i, j int, prefer Member, missing Parts) bool {
	first, second := p.suffices(i, prefer, missing), p.suffices(j, prefer, missing)
	if first != second {
		return first
	}
	return p.shares[i].left > p.shares[j].left
}

func (p *Plan) suffices(i int, prefer Member, missing Parts) bool {
	return p.HolderOf(i) == prefer && p.shares[i].left >= missing
}

// Take adds an answer. It returns false where the answer is not valid: what
// it gave must go back.
func (p *Plan) Take(sent, now time.Time, ask Ask, answer Answer) bool {
	if answer.Status != StatusOK {
		return true
	}
	view := &p.shares[ask.Request.Share.Index]
	view.left = answer.Left
	view.answered = true
	if answer.Amount == 0 {
		view.skip = ask.Request.Pending
		return true
	}
	if !p.valid(ask, answer) || now.Sub(sent) > GrantLifetime {
		return false
	}
	p.parts = append(p.parts, Part{
		Share: ask.Request.Share, Holder: ask.Holder, ID: ask.Request.ID, Amount: answer.Amount,
		asked: sent, pending: ask.Request.Pending,
	})
	return true
}

// valid reports whether an answer comes from the holder that was asked, in
// the same life and generation.
func (p *Plan) valid(ask Ask, answer Answer) bool {
	return answer.Generation == p.gen.Number && answer.Holder == ask.Holder
}

// Admit reports whether all tokens are there and every answer is still valid
// at now: the moment at which they count.
func (p *Plan) Admit(now time.Time) bool {
	if p.missing() > 0 {
		return false
	}
	for _, part := range p.parts {
		if part.pending && now.Sub(part.asked) > GrantLifetime {
			return false
		}
	}
	return true
}

// Parts returns what was given so far.
func (p *Plan) Parts() []Part {
	return p.parts
}

// Answered reports whether any holder has answered with a balance.
func (p *Plan) Answered() bool {
	for _, view := range p.shares {
		if view.answered {
			return true
		}
	}
	return false
}

// RetryAfter estimates when the tokens will be there, from the shares that
// have answered. It returns false where those can never give so many.
func (p *Plan) RetryAfter() (time.Duration, bool) {
	var left, most Parts
	answered := 0
	for _, view := range p.shares {
		if !view.answered {
			continue
		}
		answered++
		left += view.left
		most += Parts(p.terms.Burst)
	}
	for _, part := range p.parts {
		left += part.Amount
	}
	if p.need > most || p.terms.Rate <= 0 {
		return 0, false
	}
	short := max(p.need-left, 0)
	seconds := float64(short) / (float64(p.terms.Rate) * float64(answered))
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

func (p *Plan) share(index int) ShareID {
	return ShareID{Account: p.account, Index: index}
}

func (p *Plan) missing() Parts {
	got := Parts(0)
	for _, part := range p.parts {
		got += part.Amount
	}
	return p.need - got
}

// Use splits the used tokens of an admitted reservation over its parts: the
// returned slice has what was used of each.
func Use(parts []Part, tokens int64) []Parts {
	left := PartsOf(tokens)
	out := make([]Parts, len(parts))
	for i, part := range parts {
		out[i] = min(left, part.Amount)
		left -= out[i]
	}
	return out
}

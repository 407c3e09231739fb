package limit

import (
	"math"
	"strconv"
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
	holders [Shares]Member
}

// shareView is what a plan knows of one share.
type shareView struct {
	left     Parts // Last known or estimated.
	asks     int   // How often it was asked.
	skip     bool  // Not to be asked now.
	answered bool  // The holder has answered with a balance.
	fresh    bool  // What is left was answered a moment ago.
}

// NewPlan returns a plan for a number of tokens under a unique id.
func NewPlan(gen Generation, account Account, terms Terms, id ReservationID, tokens int64) *Plan {
	p := &Plan{gen: gen, account: account, terms: terms, id: id, need: PartsOf(tokens)}
	for i := range p.shares {
		p.shares[i].left = Parts(terms.Burst)
		p.holders[i] = gen.Holder(p.share(i))
	}
	return p
}

// Estimate tells what a share had left a while ago.
func (p *Plan) Estimate(index int, left Parts, ago time.Duration) {
	p.shares[index].left = p.terms.Estimate(left, ago)
	p.shares[index].fresh = ago < FreshFor
}

// InVain reports whether fresh answers already show that the tokens are not
// to be had, so that nobody needs to be asked.
func (p *Plan) InVain() bool {
	sum := Parts(0)
	for _, view := range p.shares {
		if !view.fresh && !view.skip {
			return false
		}
		if !view.skip {
			sum += view.left
		}
	}
	return sum < p.need
}

// Skip leaves out a share whose holder does not answer.
func (p *Plan) Skip(index int) {
	p.shares[index].skip = true
}

// HolderOf returns the member that holds one of the account's shares.
func (p *Plan) HolderOf(index int) Member {
	return p.holders[index]
}

// Next returns the next request, or false where nothing is missing or nobody
// is left to be asked. self names the asker: what its own share can give as
// well as others goes first and costs no call.
func (p *Plan) Next(self Member) (Ask, bool) {
	missing := p.missing()
	if missing == 0 {
		return Ask{}, false
	}
	p.askAgain()
	best, ok := p.best(self, missing)
	if !ok {
		return Ask{}, false
	}
	ask := Ask{Holder: p.HolderOf(best), Request: Request{
		Generation: p.gen.Number,
		Share:      p.share(best),
		Terms:      p.terms,
		ID:         p.requestID(best),
		Want:       p.want(best, missing),
		Least:      1,
		Pending:    true,
	}}
	if len(p.parts) == 0 && p.suffices(best, self, missing) {
		// All at once from the asker's own share: it is admitted as it is given.
		ask.Request.Least = missing
		ask.Request.Pending = false
	}
	p.shares[best].skip = true
	p.shares[best].asks++
	return ask, true
}

// requestID names a request apart from an earlier one to the same share.
func (p *Plan) requestID(index int) ReservationID {
	if p.shares[index].asks == 0 {
		return p.id
	}
	return p.id + "+" + ReservationID(strconv.Itoa(p.shares[index].asks))
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
	if !p.valid(ask, answer) || now.Sub(sent) >= GrantLifetime {
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
		if part.pending && now.Sub(part.asked) >= GrantLifetime {
			return false
		}
	}
	return true
}

// Parts returns what was given so far.
func (p *Plan) Parts() []Part {
	return p.parts
}

// Tell reports whether the holders are to be told that the plan was admitted.
// Large reservations are worth the calls: until then, the shares that gave
// them are not refilled beyond what the reservation leaves free.
func (p *Plan) Tell() bool {
	return p.need > p.least() && !p.terms.Permits
}

// Answered reports whether any holder has answered with a balance.
func (p *Plan) Answered() bool {
	for _, view := range p.shares {
		if view.answered || view.fresh {
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
		if !view.answered && !view.fresh {
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

// Use splits the used tokens of an admitted reservation over its parts in
// proportion to them, so that what comes back is spread as what was taken. The
// returned slice has what was used of each part.
func Use(parts []Part, tokens int64) []Parts {
	total := Parts(0)
	for _, part := range parts {
		total += part.Amount
	}
	left := min(max(PartsOf(tokens), 0), total)
	out := make([]Parts, len(parts))
	for i, part := range parts {
		if total == 0 {
			break
		}
		out[i] = Parts(float64(left) * float64(part.Amount) / float64(total))
		out[i] = min(out[i], part.Amount, left)
		if i == len(parts)-1 {
			out[i] = left
		}
		left -= out[i]
		total -= part.Amount
	}
	return out
}

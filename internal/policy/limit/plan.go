package limit

import (
	"math"
	"strconv"
	"time"
)

// Part is the amount that one share contributed to a reservation.
type Part struct {
	Share  ShareID
	Holder Member
	ID     ReservationID
	Amount Parts

	sentAt  time.Time // When the reserver sent the request.
	pending bool      // The part counts only once the whole plan is admitted.
}

// HolderRequest is a request together with the holder that it goes to.
type HolderRequest struct {
	Holder  Member
	Request Request
}

// Plan collects the tokens of one reservation from the shares of an account,
// all of them or none.
//
// Invariant: admitted tokens come from the holders that the plan's generation
// names, from responses in that generation that are younger than ResponseLifetime.
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

// shareView is a plan's view of one share.
type shareView struct {
	balance   Parts // Last reported or estimated balance.
	requests  int   // Number of requests sent.
	excluded  bool  // The next request goes to another share.
	responded bool  // The holder has reported a balance to this plan.
	fresh     bool  // The balance is younger than FreshBalanceAge.
}

// NewPlan returns a plan that reserves tokens under a unique id. It assumes
// that each share is full until SetEstimate or a response changes its balance.
func NewPlan(gen Generation, account Account, terms Terms, id ReservationID, tokens int64) *Plan {
	p := &Plan{gen: gen, account: account, terms: terms, id: id, need: PartsOf(tokens)}
	for i := range p.shares {
		p.shares[i].balance = Parts(terms.Burst)
		p.holders[i] = gen.Holder(p.shareID(i))
	}
	return p
}

// SetEstimate estimates the balance of a share from the available parts of an
// earlier report and the age of that report.
func (p *Plan) SetEstimate(index int, available Parts, age time.Duration) {
	p.shares[index].balance = p.terms.EstimateAvailable(available, age)
	p.shares[index].fresh = age < FreshBalanceAge
}

// CannotSucceed reports whether fresh balances already show that the tokens are
// not available, so that no request is needed.
func (p *Plan) CannotSucceed() bool {
	sum := Parts(0)
	for _, view := range p.shares {
		if !view.fresh && !view.excluded {
			return false
		}
		if !view.excluded {
			sum += view.balance
		}
	}
	return sum < p.need
}

// ExcludeShare excludes a share whose holder does not respond.
func (p *Plan) ExcludeShare(index int) {
	p.shares[index].excluded = true
}

// HolderOf returns the member that holds the share with the given index.
func (p *Plan) HolderOf(index int) Member {
	return p.holders[index]
}

// Next returns the next request. It returns false if no parts are missing or no
// share is left to request from. self is the reserver: its own share is used
// first if it covers the missing parts, because that needs no call.
func (p *Plan) Next(self Member) (HolderRequest, bool) {
	missing := p.missing()
	if missing == 0 {
		return HolderRequest{}, false
	}
	p.allowRepeats()
	best, ok := p.nextShare(self, missing)
	if !ok {
		return HolderRequest{}, false
	}
	call := HolderRequest{Holder: p.HolderOf(best), Request: Request{
		Generation:      p.gen.Number,
		Share:           p.shareID(best),
		Terms:           p.terms,
		ID:              p.reservationID(best),
		Max:             p.amountFrom(best, missing),
		Min:             1,
		AwaitsAdmission: true,
	}}
	if len(p.parts) == 0 && p.ownShareSuffices(best, self, missing) {
		// The reserver's own share covers everything: the tokens are admitted at
		// once, when they are taken.
		call.Request.Min = missing
		call.Request.AwaitsAdmission = false
	}
	p.shares[best].excluded = true
	p.shares[best].requests++
	return call, true
}

// reservationID returns an ID that differs from those of earlier requests to
// the same share.
func (p *Plan) reservationID(index int) ReservationID {
	if p.shares[index].requests == 0 {
		return p.id
	}
	return p.id + "+" + ReservationID(strconv.Itoa(p.shares[index].requests))
}

// AddResponse adds the response to a request that was sent at the time sent. It
// returns false if the holder took parts, but the response is too old or comes
// from another holder or generation. The caller must then settle the reservation
// with nothing used.
func (p *Plan) AddResponse(sent, now time.Time, call HolderRequest, response Response) bool {
	if response.Status != StatusOK {
		return true
	}
	view := &p.shares[call.Request.Share.Index]
	view.balance = response.Remaining
	view.responded = true
	if response.Amount == 0 {
		view.excluded = call.Request.AwaitsAdmission
		return true
	}
	if !p.valid(call, response) || now.Sub(sent) >= ResponseLifetime {
		return false
	}
	p.parts = append(p.parts, Part{
		Share: call.Request.Share, Holder: call.Holder, ID: call.Request.ID, Amount: response.Amount,
		sentAt: sent, pending: call.Request.AwaitsAdmission,
	})
	return true
}

// valid reports whether a response comes from the requested holder, in the same
// incarnation and generation.
func (p *Plan) valid(call HolderRequest, response Response) bool {
	return response.Generation == p.gen.Number && response.Holder == call.Holder
}

// Admit reports whether the plan has all tokens and every response is still
// valid at now. The tokens count at that moment.
func (p *Plan) Admit(now time.Time) bool {
	if p.missing() > 0 {
		return false
	}
	for _, part := range p.parts {
		if part.pending && now.Sub(part.sentAt) >= ResponseLifetime {
			return false
		}
	}
	return true
}

// Parts returns the contributions collected so far.
func (p *Plan) Parts() []Part {
	return p.parts
}

// NeedsNotification reports whether the caller must notify the holders that the
// plan was admitted. Until the notification, the claims stay fixed and the shares
// lose refill that exceeds their burst. The extra calls are worthwhile only for
// large reservations.
func (p *Plan) NeedsNotification() bool {
	return p.need > p.spreadThreshold() && !p.terms.Permits
}

// HasBalance reports whether the plan has at least one reported balance: from a
// response to its own requests or from a fresh estimate.
func (p *Plan) HasBalance() bool {
	for _, view := range p.shares {
		if view.responded || view.fresh {
			return true
		}
	}
	return false
}

// RetryAfter estimates the time until the tokens are available, from the shares
// with a reported balance. It returns false if these can never provide them.
func (p *Plan) RetryAfter() (time.Duration, bool) {
	var available, capacity Parts
	responses := 0
	for _, view := range p.shares {
		if !view.responded && !view.fresh {
			continue
		}
		responses++
		available += view.balance
		capacity += Parts(p.terms.Burst)
	}
	for _, part := range p.parts {
		available += part.Amount
	}
	if p.need > capacity || p.terms.Rate <= 0 {
		return 0, false
	}
	shortfall := max(p.need-available, 0)
	seconds := float64(shortfall) / (float64(p.terms.Rate) * float64(responses))
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

func (p *Plan) shareID(index int) ShareID {
	return ShareID{Account: p.account, Index: index}
}

// missing returns how many parts are still to be collected.
func (p *Plan) missing() Parts {
	collected := Parts(0)
	for _, part := range p.parts {
		collected += part.Amount
	}
	return p.need - collected
}

// SplitUsed splits the used tokens of an admitted reservation over its parts, in
// proportion to their amounts, so that unused tokens return to the shares in
// the proportions in which they were taken. Element i of the result is the
// used amount of parts[i].
func SplitUsed(parts []Part, tokens int64) []Parts {
	total := Parts(0)
	for _, part := range parts {
		total += part.Amount
	}
	remaining := min(max(PartsOf(tokens), 0), total)
	used := make([]Parts, len(parts))
	for i, part := range parts {
		if total == 0 {
			break
		}
		used[i] = Parts(float64(remaining) * float64(part.Amount) / float64(total))
		used[i] = min(used[i], part.Amount, remaining)
		if i == len(parts)-1 {
			used[i] = remaining
		}
		remaining -= used[i]
		total -= part.Amount
	}
	return used
}

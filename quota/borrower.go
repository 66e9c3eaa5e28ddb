package quota

import "time"

const (
	// demandMemory is how far back a host looks for the requests of an account that it expects.
	demandMemory = time.Second
	// maxRefusing bounds the time for which a host refuses the requests of an account without
	// asking the lender again. The quota may be raised meanwhile.
	maxRefusing = 500 * time.Millisecond
	// idleTime is how long a host remembers an account without requests.
	idleTime = 5 * time.Second
)

// Ask is a request to the lender.
type Ask struct {
	Account string
	// Waiting is the number of requests that wait for a token, and Expected the number of further
	// ones that are expected soon.
	Waiting, Expected int
	SentAt            time.Time
}

// Verdict is what becomes of a request.
type Verdict int

const (
	// Wait means that the verdict depends on the lender's answer.
	Wait Verdict = iota
	// Admitted means that the request has a token.
	Admitted
	// OverQuota means that the lender has no token for the request.
	OverQuota
)

// Outcome is the verdict on a request.
type Outcome struct {
	Request uint64
	Verdict Verdict
	// UsableUntil is when the token of an admitted request expires.
	UsableUntil time.Time
	// RoomIn is the time until the account has room again, if the request is over the quota, and
	// Spread the time from then on over which those refused should return.
	RoomIn, Spread time.Duration
}

// Borrower holds the tokens that this host has borrowed.
type Borrower struct {
	life     time.Duration
	accounts map[string]*balance
	prunedAt time.Time
}

// balance is what this host has of an account.
type balance struct {
	tokens  []token  // oldest first
	waiting []uint64 // requests, oldest first
	asking  bool     // an ask is on its way
	// refusingUntil is until when requests are refused without an ask, and spread the time over
	// which they should return.
	refusingUntil time.Time
	spread        time.Duration
	demand        demand
}

// token may be used for one request.
type token struct{ until time.Time }

// demand counts requests in spans of demandMemory.
type demand struct {
	began             time.Time
	current, previous int
}

func (d *demand) add(now time.Time) {
	if passed := now.Sub(d.began); passed >= demandMemory {
		d.previous, d.current, d.began = d.current, 0, now
		if passed >= 2*demandMemory {
			d.previous = 0
		}
	}
	d.current++
}

// within returns how many requests are expected in a time. One request alone doesn't announce others.
func (d *demand) within(t time.Duration) int {
	return int(float64(max(d.current-1, d.previous)) * t.Seconds() / demandMemory.Seconds())
}

// NewBorrower returns a borrower without tokens.
func NewBorrower(bounds Bounds) *Borrower {
	return &Borrower{life: bounds.TokenLife(), accounts: map[string]*balance{}}
}

// SetBounds replaces the bounds.
func (b *Borrower) SetBounds(bounds Bounds) { b.life = bounds.TokenLife() }

// Accounts returns the number of accounts that this host remembers.
func (b *Borrower) Accounts() int { return len(b.accounts) }

// Request decides on a request of an account. It also returns whether the ask must be sent.
func (b *Borrower) Request(now time.Time, account string, request uint64) (Outcome, Ask, bool) {
	b.prune(now)
	a := b.accounts[account]
	if a == nil {
		a = &balance{}
		b.accounts[account] = a
	}
	a.demand.add(now)
	a.expire(now)
	if len(a.tokens) > 0 {
		until := a.tokens[0].until
		a.tokens = a.tokens[1:]
		ask, ok := b.ask(now, account, a)
		return Outcome{Request: request, Verdict: Admitted, UsableUntil: until}, ask, ok
	}
	if now.Before(a.refusingUntil) {
		return Outcome{Request: request, Verdict: OverQuota, RoomIn: a.refusingUntil.Sub(now), Spread: a.spread}, Ask{}, false
	}
	a.waiting = append(a.waiting, request)
	ask, ok := b.ask(now, account, a)
	return Outcome{Request: request, Verdict: Wait}, ask, ok
}

// ask returns the ask that is due: for the requests that wait, or ahead of those expected.
func (b *Borrower) ask(now time.Time, account string, a *balance) (Ask, bool) {
	// Tokens for half their life leave time to use them before they expire.
	expected := a.demand.within(b.life/2) - len(a.tokens)
	// Asking ahead for a single token costs more calls than it saves.
	ahead := expected >= 2 && !now.Before(a.refusingUntil)
	if a.asking || len(a.waiting) == 0 && !ahead {
		return Ask{}, false
	}
	a.asking = true
	return Ask{Account: account, Waiting: len(a.waiting), Expected: max(expected, 0), SentAt: now}, true
}

// Answer gives the tokens of a loan to the requests that wait. It also returns whether another ask
// must be sent.
func (b *Borrower) Answer(now time.Time, ask Ask, loan Loan) ([]Outcome, Ask, bool) {
	a := b.accounts[ask.Account]
	if a == nil {
		return nil, Ask{}, false
	}
	a.asking = false
	until := ask.SentAt.Add(b.life)
	for range loan.Tokens {
		a.tokens = append(a.tokens, token{until})
	}
	outcomes := b.serve(now, a)
	if loan.Tokens < ask.Waiting {
		a.refusingUntil, a.spread = now.Add(min(loan.RoomIn, maxRefusing)), loan.Spread
		for _, request := range a.waiting {
			outcomes = append(outcomes, Outcome{Request: request, Verdict: OverQuota, RoomIn: loan.RoomIn, Spread: loan.Spread})
		}
		a.waiting = nil
	}
	next, ok := b.ask(now, ask.Account, a)
	return outcomes, next, ok
}

// serve admits waiting requests as long as there are tokens.
func (b *Borrower) serve(now time.Time, a *balance) []Outcome {
	a.expire(now)
	var outcomes []Outcome
	for len(a.waiting) > 0 && len(a.tokens) > 0 {
		outcomes = append(outcomes, Outcome{Request: a.waiting[0], Verdict: Admitted, UsableUntil: a.tokens[0].until})
		a.waiting, a.tokens = a.waiting[1:], a.tokens[1:]
	}
	return outcomes
}

// Failed records that an ask got no answer. Retry asks again.
func (b *Borrower) Failed(ask Ask) {
	if a := b.accounts[ask.Account]; a != nil {
		a.asking = false
	}
}

// Retry returns the ask for the requests of an account that still wait.
func (b *Borrower) Retry(now time.Time, account string) (Ask, bool) {
	a := b.accounts[account]
	if a == nil || len(a.waiting) == 0 {
		return Ask{}, false
	}
	return b.ask(now, account, a)
}

// Abandon removes a request that no longer waits. It returns false if the request has its verdict
// already.
func (b *Borrower) Abandon(account string, request uint64) bool {
	a := b.accounts[account]
	if a == nil {
		return false
	}
	for i, r := range a.waiting {
		if r == request {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Return gives back the token of a request that no replica got, and admits a request that waits with
// it. It returns false if the token has expired.
func (b *Borrower) Return(now time.Time, account string, until time.Time) ([]Outcome, bool) {
	a := b.accounts[account]
	if a == nil || !now.Before(until) {
		return nil, false
	}
	a.tokens = append([]token{{until}}, a.tokens...)
	return b.serve(now, a), true
}

// expire removes tokens that may no longer be used.
func (a *balance) expire(now time.Time) {
	kept := a.tokens[:0]
	for _, t := range a.tokens {
		if now.Before(t.until) {
			kept = append(kept, t)
		}
	}
	a.tokens = kept
}

// prune removes accounts that have been idle.
func (b *Borrower) prune(now time.Time) {
	if now.Sub(b.prunedAt) < idleTime {
		return
	}
	b.prunedAt = now
	for name, a := range b.accounts {
		if len(a.waiting) == 0 && !a.asking && now.Sub(a.demand.began) >= idleTime {
			delete(b.accounts, name)
		}
	}
}
